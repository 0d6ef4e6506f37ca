//! Pattern `cordoned-third`: a third of the engines gets nothing new while answers go on coming.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{Class, Gate, Outcome, Reason, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::newcomer::Order;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const ENGINES: usize = 9;
const MEMORY: u64 = 21_808;
const PROMPT: u64 = 2_200;
const OBJECTIVE: Duration = Duration::from_millis(1_500);
const PATIENCE: Duration = Duration::from_secs(6);

/// How long a question's answer takes.
const RUN: Duration = Duration::from_millis(900);

const POLL: Duration = Duration::from_millis(20);

/// When the third is cordoned, and when that is lifted.
const CORDON: (u64, u64) = (10_000, 20_000);

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn engine(n: usize) -> id::Target {
    format!("e-{n}").parse().expect("a name")
}

fn third() -> BTreeSet<id::Target> {
    (0..ENGINES / 3).map(engine).collect()
}

fn gate() -> Gate {
    let settings = Settings {
        share: false,
        charge_all: true,
        choices: 6,
        ahead: true,
        late: true,
        ..Settings::default()
    };
    let mut gate = Gate::open(settings);
    gate.set_targets(Time::ZERO, (0..ENGINES).map(engine).collect());
    let report = Report { capacity: Tokens::new(MEMORY), ..Report::default() };
    (0..ENGINES).for_each(|n| gate.report(Time::ZERO, &engine(n), &report, Duration::ZERO));
    gate
}

fn ask(request: u128, now: Time) -> Request {
    Request {
        id: id::Request::new(request),
        workspace: "w".parse().expect("a name"),
        class: Class::Live,
        prompt: Tokens::new(PROMPT),
        limit: Tokens::new(40),
        prefix: 0,
        objective: now + OBJECTIVE,
        deadline: now + PATIENCE,
        retry: false,
        avoid: None,
    }
}

/// What became of those asked while the third was cordoned.
#[derive(Debug, Default)]
struct Seen {
    asked: usize,
    on_time: usize,
    late: usize,
    refused: usize,
    /// Requests that reached the third meanwhile.
    inside: usize,
    /// The longest wait for a refusal.
    longest: Duration,
    /// Sent to each of the third within a quarter of a second after its return.
    rush: usize,
}

/// Half a minute of questions, so many a second.
fn play(asked: f64) -> Seen {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut arrivals = SmallRng::seed_from_u64(13);
    let mut gate = gate();
    let mut seen = Seen::default();
    let mut running: Vec<(Time, id::Request)> = Vec::new();
    let mut wanted: Vec<Time> = Vec::new();
    let mut back: BTreeMap<id::Target, usize> = BTreeMap::new();
    let mut now = Time::ZERO;
    while now < at(30_000) {
        if now == at(CORDON.0) {
            gate.set_cordoned(now, &third());
        }
        if now == at(CORDON.1) {
            gate.set_cordoned(now, &BTreeSet::new());
        }
        let ended: Vec<(Time, id::Request)> =
            running.extract_if(.., |(end, _)| *end <= now).collect();
        ended.iter().for_each(|(_, request)| gate.finish(now, *request, Outcome::Whole));
        let mut decided = gate.poll(now, &mut rng);
        let cordoned = |time: Time| time >= at(CORDON.0) && time < at(CORDON.1);
        for _ in 0..arrivals.random_range(0..=(2.0 * asked * POLL.as_secs_f64()).round() as usize) {
            let number = wanted.len() as u128;
            wanted.push(now);
            seen.asked += usize::from(cordoned(now));
            decided.push((id::Request::new(number), gate.offer(now, &mut rng, ask(number, now))));
        }
        for (request, verdict) in decided {
            let came = wanted[usize::try_from(request.get()).expect("a small number")];
            let waited = now.since(came);
            match verdict {
                Verdict::Send(target) => {
                    let third = third().contains(&target);
                    seen.inside += usize::from(third && cordoned(now));
                    if third && now >= at(CORDON.1) && now < at(CORDON.1 + 250) {
                        *back.entry(target).or_default() += 1;
                    }
                    if cordoned(came) {
                        seen.on_time += usize::from(waited <= OBJECTIVE);
                        seen.late += usize::from(waited > OBJECTIVE);
                    }
                    running.push((now + RUN, request));
                    gate.progress(now, request, Tokens::new(1));
                }
                Verdict::Refuse(_) if cordoned(came) => {
                    seen.refused += 1;
                    seen.longest = seen.longest.max(waited);
                }
                Verdict::Refuse(_) | Verdict::Wait => {}
            }
        }
        now = now + POLL;
    }
    seen.rush = back.values().copied().max().unwrap_or_default();
    seen
}

/// Guards against sends to the third, and against the rest not carrying what it can.
#[parameterized(
    half = { 20.0, 0.99 },
    full = { 40.0, 0.9 },
    over_full = { 80.0, 0.4 },
)]
fn the_rest_carries_what_it_can(asked: f64, on_time: f64) {
    let seen = play(asked);
    println!("{seen:?}");
    assert_eq!(seen.inside, 0);
    assert!(seen.on_time as f64 >= on_time * seen.asked as f64, "{seen:?}");
    assert!(seen.longest <= OBJECTIVE + Duration::from_millis(500), "{seen:?}");
}

/// Guards against all that waits rushing to engines that come back and look empty.
#[test]
fn engines_that_come_back_are_not_rushed() {
    let seen = play(80.0);
    assert!(seen.rush <= 12, "{seen:?}");
}

/// Guards against a repeat, or an answer that must go on elsewhere, choosing a cordoned engine.
#[test]
fn no_path_of_the_gate_chooses_a_cordoned_engine() {
    let (mut gate, mut rng) = (gate(), SmallRng::seed_from_u64(1));
    let all: BTreeSet<id::Target> = (1..ENGINES).map(engine).collect();
    gate.set_cordoned(at(0), &all);
    assert_eq!(gate.offer(at(0), &mut rng, ask(1, at(0))), Verdict::Send(engine(0)));
    let request = id::Request::new(1);
    assert!(gate.refuges(at(0), &mut rng, request, &BTreeSet::new(), None).is_empty());
    assert!(gate.refuges(at(0), &mut rng, request, &BTreeSet::new(), Some(0.5)).is_empty());
    let repeat = Request { avoid: Some(engine(0)), retry: true, ..ask(2, at(0)) };
    assert_eq!(gate.offer(at(0), &mut rng, repeat), Verdict::Wait);
    let lookup = Request { class: Class::Lookup, limit: Tokens::default(), ..ask(3, at(0)) };
    let lookup = Request { avoid: Some(engine(0)), ..lookup };
    assert_eq!(gate.offer(at(0), &mut rng, lookup), Verdict::Send(engine(0)));
    assert_eq!(gate.exclusions(at(0)), BTreeMap::from([(Exclusion::Cordoned, ENGINES - 1)]));
    // The last one as well: nothing waits for a place that does not come.
    gate.set_cordoned(at(10), &(0..ENGINES).map(engine).collect());
    let decided = gate.poll(at(20), &mut rng);
    let [(waiting, Verdict::Refuse(refusal))] = &decided[..] else { panic!("{decided:?}") };
    assert_eq!((*waiting, refusal.reason), (id::Request::new(2), Reason::Cordoned));
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

/// Guards against entries that rush together to engines that come back.
#[test]
fn entries_take_turns_at_engines_that_come_back() {
    let hosts: Vec<id::Host> =
        (0..20).map(|n| format!("entry-{n}").parse().expect("a name")).collect();
    let mut at_once = 0;
    for own in &hosts {
        let (mut gate, mut rng) = (gate(), SmallRng::seed_from_u64(1));
        gate.set_order(Order::of(own.clone(), hosts.clone()));
        gate.set_cordoned(at(5_000), &(0..ENGINES).map(engine).collect());
        gate.set_cordoned(at(6_000), &(1..ENGINES).map(engine).collect());
        let sent = gate.offer(at(6_010), &mut rng, ask(1, at(6_010)));
        at_once += usize::from(matches!(sent, Verdict::Send(_)));
    }
    assert_eq!(at_once, 1);
}
