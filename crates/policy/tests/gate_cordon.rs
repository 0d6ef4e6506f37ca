//! A third of the engines is cordoned under load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{Class, Gate, Outcome, Reason, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::stagger::Order;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const ENGINES: usize = 9;
const MEMORY_TOKENS: u64 = 21_808;
const PROMPT_TOKENS: u64 = 2_200;
const OBJECTIVE: Duration = Duration::from_millis(1_500);
const TIMEOUT: Duration = Duration::from_secs(6);

/// How long the answer to a request takes.
const ANSWER_TIME: Duration = Duration::from_millis(900);

const POLL: Duration = Duration::from_millis(20);

/// When the third is cordoned and when the cordon is lifted, in milliseconds.
const CORDON_MS: (u64, u64) = (10_000, 20_000);

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn engine(n: usize) -> id::Target {
    format!("e-{n}").parse().expect("a name")
}

fn cordoned_third() -> BTreeSet<id::Target> {
    (0..ENGINES / 3).map(engine).collect()
}

fn gate() -> Gate {
    let settings = Settings {
        share: false,
        charge_overnight: true,
        choices: 6,
        prefill_bound: true,
        shed_late: true,
        ..Settings::default()
    };
    let mut gate = Gate::open(settings);
    gate.set_targets(Time::ZERO, (0..ENGINES).map(engine).collect());
    let report = Report { capacity: Tokens::new(MEMORY_TOKENS), ..Report::default() };
    (0..ENGINES).for_each(|n| gate.report(Time::ZERO, &engine(n), &report, Duration::ZERO));
    gate
}

fn request(number: u128, now: Time) -> Request {
    Request {
        id: id::Request::new(number),
        workspace: "w".parse().expect("a name"),
        class: Class::Live,
        rank: 0,
        prompt: Tokens::new(PROMPT_TOKENS),
        limit: Tokens::new(40),
        prefix: 0,
        objective: now + OBJECTIVE,
        deadline: now + TIMEOUT,
        retry: false,
        avoid: None,
    }
}

/// Outcomes of the requests that arrived while the third was cordoned.
#[derive(Debug, Default)]
struct Results {
    requests: usize,
    on_time: usize,
    late: usize,
    refused: usize,
    /// Requests that were sent to the third meanwhile.
    sent_to_cordoned: usize,
    /// The longest wait for a refusal.
    max_refusal_wait: Duration,
    /// The most requests sent to any engine of the third within 250 ms after the cordon was lifted.
    max_burst: usize,
}

/// Simulates 30 s of requests at the given rate.
fn run(requests_per_second: f64) -> Results {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut arrivals = SmallRng::seed_from_u64(13);
    let mut gate = gate();
    let mut results = Results::default();
    let mut running: Vec<(Time, id::Request)> = Vec::new();
    let mut arrived: Vec<Time> = Vec::new();
    let mut bursts: BTreeMap<id::Target, usize> = BTreeMap::new();
    let mut now = Time::ZERO;
    while now < at(30_000) {
        if now == at(CORDON_MS.0) {
            gate.set_cordoned(now, &cordoned_third());
        }
        if now == at(CORDON_MS.1) {
            gate.set_cordoned(now, &BTreeSet::new());
        }
        let ended: Vec<(Time, id::Request)> =
            running.extract_if(.., |(end, _)| *end <= now).collect();
        ended.iter().for_each(|(_, request)| gate.finish(now, *request, Outcome::Whole));
        let mut decided = gate.poll(now, &mut rng);
        let is_cordoned = |time: Time| time >= at(CORDON_MS.0) && time < at(CORDON_MS.1);
        for _ in 0..arrivals
            .random_range(0..=(2.0 * requests_per_second * POLL.as_secs_f64()).round() as usize)
        {
            let number = arrived.len() as u128;
            arrived.push(now);
            results.requests += usize::from(is_cordoned(now));
            decided
                .push((id::Request::new(number), gate.offer(now, &mut rng, request(number, now))));
        }
        for (request, verdict) in decided {
            let arrived_at = arrived[usize::try_from(request.get()).expect("a small number")];
            let waited = now.since(arrived_at);
            match verdict {
                Verdict::Send(target) => {
                    let in_third = cordoned_third().contains(&target);
                    results.sent_to_cordoned += usize::from(in_third && is_cordoned(now));
                    if in_third && now >= at(CORDON_MS.1) && now < at(CORDON_MS.1 + 250) {
                        *bursts.entry(target).or_default() += 1;
                    }
                    if is_cordoned(arrived_at) {
                        results.on_time += usize::from(waited <= OBJECTIVE);
                        results.late += usize::from(waited > OBJECTIVE);
                    }
                    running.push((now + ANSWER_TIME, request));
                    gate.progress(now, request, Tokens::new(1));
                }
                Verdict::Refuse(_) if is_cordoned(arrived_at) => {
                    results.refused += 1;
                    results.max_refusal_wait = results.max_refusal_wait.max(waited);
                }
                Verdict::Refuse(_) | Verdict::Wait => {}
            }
        }
        now = now + POLL;
    }
    results.max_burst = bursts.values().copied().max().unwrap_or_default();
    results
}

/// Guards against requests being sent to the cordoned third, and against the other engines carrying
/// less than they can.
#[parameterized(
    half = { 20.0, 0.99 },
    full = { 40.0, 0.9 },
    over_full = { 80.0, 0.4 },
)]
fn remaining_engines_carry_the_load(requests_per_second: f64, min_on_time: f64) {
    let results = run(requests_per_second);
    println!("{results:?}");
    assert_eq!(results.sent_to_cordoned, 0);
    assert!(results.on_time as f64 >= min_on_time * results.requests as f64, "{results:?}");
    assert!(results.max_refusal_wait <= OBJECTIVE + Duration::from_millis(500), "{results:?}");
}

/// Guards against all waiting requests being sent at once to engines that look idle after their
/// cordon was lifted.
#[test]
fn uncordoned_engines_are_not_flooded() {
    let results = run(80.0);
    assert!(results.max_burst <= 12, "{results:?}");
}

/// Guards against a retry, or an answer that must be resumed elsewhere, selecting a cordoned
/// engine.
#[test]
fn gate_never_selects_a_cordoned_engine() {
    let (mut gate, mut rng) = (gate(), SmallRng::seed_from_u64(1));
    let all: BTreeSet<id::Target> = (1..ENGINES).map(engine).collect();
    gate.set_cordoned(at(0), &all);
    assert_eq!(gate.offer(at(0), &mut rng, request(1, at(0))), Verdict::Send(engine(0)));
    let first = id::Request::new(1);
    assert!(gate.migration_targets(at(0), &mut rng, first, &BTreeSet::new(), None).is_empty());
    assert!(gate.migration_targets(at(0), &mut rng, first, &BTreeSet::new(), Some(0.5)).is_empty());
    let repeat = Request { avoid: Some(engine(0)), retry: true, ..request(2, at(0)) };
    assert_eq!(gate.offer(at(0), &mut rng, repeat), Verdict::Wait);
    let lookup = Request { class: Class::Lookup, limit: Tokens::default(), ..request(3, at(0)) };
    let lookup = Request { avoid: Some(engine(0)), ..lookup };
    assert_eq!(gate.offer(at(0), &mut rng, lookup), Verdict::Send(engine(0)));
    assert_eq!(gate.exclusions(at(0)), BTreeMap::from([(Exclusion::Cordoned, ENGINES - 1)]));
    // Once the last engine is cordoned as well, waiting requests are refused, since no place will
    // become free.
    gate.set_cordoned(at(10), &(0..ENGINES).map(engine).collect());
    let decided = gate.poll(at(20), &mut rng);
    let [(waiting, Verdict::Refuse(refusal))] = &decided[..] else { panic!("{decided:?}") };
    assert_eq!((*waiting, refusal.reason), (id::Request::new(2), Reason::Cordoned));
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

/// Guards against all entries sending at once to engines whose cordon was lifted.
#[test]
fn entries_stagger_sends_to_uncordoned_engines() {
    let hosts: Vec<id::Host> =
        (0..20).map(|n| format!("entry-{n}").parse().expect("a name")).collect();
    let mut sent_at_once = 0;
    for own in &hosts {
        let (mut gate, mut rng) = (gate(), SmallRng::seed_from_u64(1));
        gate.set_order(Order::of(own.clone(), hosts.clone()));
        gate.set_cordoned(at(5_000), &(0..ENGINES).map(engine).collect());
        gate.set_cordoned(at(6_000), &(1..ENGINES).map(engine).collect());
        let sent = gate.offer(at(6_010), &mut rng, request(1, at(6_010)));
        sent_at_once += usize::from(matches!(sent, Verdict::Send(_)));
    }
    assert_eq!(sent_at_once, 1);
}
