//! Overload: more long answers are requested than fit, for longer than their objectives.

use std::time::Duration;

use fireflyhoist_policy::gate::{Class, Gate, Outcome, Reason, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Engines, their memory and a prompt in tokens, as in a large fleet at a sixth of its size.
const ENGINES: usize = 9;
const MEMORY: u64 = 21_874;
const PROMPT: u64 = 3_000;

/// The objective for the first token there.
const OBJECTIVE: Duration = Duration::from_millis(1_800);

/// How long callers there wait for the first token.
const PATIENCE: Duration = Duration::from_millis(6_900);

/// Interval at which queued requests are polled.
const POLL: Duration = Duration::from_millis(20);

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn engine(n: usize) -> id::Target {
    format!("e-{n}").parse().expect("a name")
}

fn ask(request: u128, now: Time, arrived: Time) -> Request {
    Request {
        id: id::Request::new(request),
        workspace: "w".parse().expect("a name"),
        class: Class::Overnight,
        rank: 0,
        prompt: Tokens::new(PROMPT),
        limit: Tokens::new(1_756),
        prefix: 0,
        objective: arrived + OBJECTIVE,
        deadline: now + PATIENCE,
        retry: false,
        avoid: None,
    }
}

fn gate(shed_late: bool, engines: usize) -> Gate {
    let settings =
        Settings { share: false, fair: false, choices: 6, shed_late, ..Settings::default() };
    let mut gate = Gate::open(settings);
    gate.set_targets(Time::ZERO, (0..engines).map(engine).collect());
    (0..engines).for_each(|n| hold(&mut gate, n, Time::ZERO, 0.0));
    gate
}

/// Reports that other entries hold a part of an engine's memory.
fn hold(gate: &mut Gate, n: usize, now: Time, part: f64) {
    let used = Tokens::new((MEMORY as f64 * part) as u64);
    let running = u32::from(part > 0.0) * 4;
    let report = Report { capacity: Tokens::new(MEMORY), used, running, ..Report::default() };
    gate.report(now, &engine(n), &report, Duration::ZERO);
}

/// Counts of requests by outcome.
#[derive(Debug, Default)]
struct Counts {
    asked: u32,
    on_time: u32,
    late: u32,
    refused: u32,
}

/// Simulates a minute in which a fifth more is requested than nine engines hold; answers take eight
/// seconds.
fn overloaded(shed_late: bool) -> Counts {
    const RUN: Duration = Duration::from_secs(8);
    // Seven answers fit into an engine, so nine engines complete 7.9 a second.
    const ASKED: f64 = 9.4;
    let (mut rng, mut arrivals) = (SmallRng::seed_from_u64(3), SmallRng::seed_from_u64(5));
    let mut gate = gate(shed_late, ENGINES);
    let mut counts = Counts::default();
    let mut running: Vec<(Time, id::Request)> = Vec::new();
    let mut arrived: Vec<Time> = Vec::new();
    let mut now = Time::ZERO;
    while now < at(60_000) {
        let ended: Vec<(Time, id::Request)> =
            running.extract_if(.., |(end, _)| *end <= now).collect();
        ended.iter().for_each(|(_, request)| gate.finish(now, *request, Outcome::Whole));
        let mut decided = gate.poll(now, &mut rng);
        if arrivals.random_bool(ASKED * POLL.as_secs_f64()) {
            let request = id::Request::new(arrived.len() as u128);
            arrived.push(now);
            counts.asked += 1;
            decided.push((
                request,
                gate.offer(now, &mut rng, ask(arrived.len() as u128 - 1, now, now)),
            ));
        }
        for (request, verdict) in decided {
            let number = usize::try_from(request.get()).expect("a small number");
            match verdict {
                Verdict::Send(_) if now.since(arrived[number]) <= OBJECTIVE => counts.on_time += 1,
                Verdict::Send(_) => counts.late += 1,
                Verdict::Refuse(_) => counts.refused += 1,
                Verdict::Wait => {}
            }
            if matches!(verdict, Verdict::Send(_)) {
                running.push((now + RUN, request));
                gate.progress(now, request, Tokens::new(1));
            }
        }
        now = now + POLL;
    }
    counts
}

/// Guards against a third of the answers beginning late, although one in six would have to: late
/// requests would take the memory of those that are not yet late.
#[test]
fn memory_goes_to_requests_that_can_be_on_time() {
    let (before, after) = (overloaded(false), overloaded(true));
    let part = |counts: &Counts| f64::from(counts.on_time) / f64::from(counts.asked);
    assert!(part(&after) > part(&before) + 0.05, "{after:?} {before:?}");
    assert!(after.late < before.late / 2, "{after:?} {before:?}");
}

/// A request that finds no room and can no longer begin by its objective must be refused soon, with
/// a delay after which reclaimed engines are replaced, instead of waiting until its caller leaves.
#[test]
fn a_late_request_is_refused_soon() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut gate = gate(true, 1);
    hold(&mut gate, 0, at(0), 0.97);
    assert_eq!(gate.offer(at(0), &mut rng, ask(1, at(0), at(0))), Verdict::Wait);
    assert!(gate.poll(at(1_300), &mut rng).is_empty());
    let decided = gate.poll(at(1_620), &mut rng);
    let [(_, Verdict::Refuse(refusal))] = &decided[..] else { panic!("{decided:?}") };
    assert_eq!(refusal.reason, Reason::Late);
    let after = refusal.retry_after;
    assert!(after >= Duration::from_secs(5) && after <= Duration::from_millis(7_500), "{after:?}");
}

/// A late request that returns must not take room that a new one could use, only spare capacity,
/// and may wait for it until its deadline.
#[test]
fn a_returning_late_request_uses_only_spare_capacity() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut gate = gate(true, 1);
    hold(&mut gate, 0, at(10_000), 0.6);
    let returned = ask(1, at(10_000), at(3_000));
    assert_eq!(gate.offer(at(10_000), &mut rng, returned), Verdict::Wait);
    assert!(matches!(
        gate.offer(at(10_010), &mut rng, ask(2, at(10_010), at(10_010))),
        Verdict::Send(_)
    ));
    assert!(gate.poll(at(13_000), &mut rng).is_empty(), "it is not refused early");
    gate.finish(at(14_000), id::Request::new(2), Outcome::Whole);
    hold(&mut gate, 0, at(14_000), 0.3);
    let decided = gate.poll(at(14_000), &mut rng);
    assert!(matches!(&decided[..], [(_, Verdict::Send(_))]), "{decided:?}");
}
