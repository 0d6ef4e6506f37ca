//! Streams that may go on only at some targets, beside new ones that may begin at any.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{Class, Gate, Outcome, Reason, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 30;

/// Engines of the version that few have.
const FEW: usize = 2;

fn target(number: usize) -> id::Target {
    format!("t{number}").parse().expect("a name")
}

fn few() -> BTreeSet<id::Target> {
    (0..FEW).map(target).collect()
}

fn request(number: u128, now: Time) -> Request {
    Request {
        id: id::Request::new(number),
        workspace: "archive".parse().expect("a name"),
        class: Class::Live,
        rank: 0,
        prompt: Tokens::new(200),
        limit: Tokens::new(400),
        prefix: 0,
        objective: now + Duration::from_secs(5),
        deadline: now + Duration::from_secs(5),
        retry: false,
        avoid: None,
    }
}

fn gate() -> Gate {
    let settings = Settings { share: false, shed_late: true, ..Settings::default() };
    let mut gate = Gate::open(settings);
    gate.set_targets(Time::ZERO, (0..ENGINES).map(target).collect());
    let idle = Report {
        capacity: Tokens::new(10_000),
        used: Tokens::default(),
        running: 0,
        waiting: 0,
        preemptions: 0,
    };
    (0..ENGINES).for_each(|at| gate.report(Time::ZERO, &target(at), &idle, Duration::ZERO));
    gate.set_scarce(few());
    gate
}

/// Guards against new streams that fill the engines of a version which few have, and so leave no room
/// for those that can go on only there; and against engines that stay idle while others are full.
#[test]
fn new_streams_use_a_scarce_version_only_where_others_are_full() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut gate, mut at_few, mut elsewhere) = (gate(), 0, 0);
    for number in 0..10_000 {
        match gate.offer(Time::ZERO, &mut rng, request(number, Time::ZERO)) {
            Verdict::Send(target) if few().contains(&target) => at_few += 1,
            Verdict::Send(_) => {
                assert_eq!(at_few, 0, "others had room");
                elsewhere += 1;
            }
            _ => break,
        }
        gate.progress(Time::ZERO, id::Request::new(number), Tokens::new(1));
    }
    assert!(at_few > 0, "{elsewhere} elsewhere");
}

/// Guards against a stream that loses its place to new ones: at engines that are full of them it is
/// sent on all the same, spread over the engines that may go on with it.
#[test]
fn a_stream_goes_on_at_crowded_engines_of_its_version() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate();
    let full = Report {
        capacity: Tokens::new(10_000),
        used: Tokens::new(10_000),
        running: 24,
        waiting: 3,
        preemptions: 0,
    };
    (0..ENGINES).for_each(|at| gate.report(Time::ZERO, &target(at), &full, Duration::ZERO));
    let mut used = BTreeSet::new();
    for number in 0..20 {
        match gate.offer_among(Time::ZERO, &mut rng, request(number, Time::ZERO), &few()) {
            Verdict::Send(target) => used.insert(target),
            other => panic!("{other:?}"),
        };
    }
    assert_eq!(used, few());
}

/// Guards against a stream that waits for an engine which will not come, or goes on elsewhere.
#[test]
fn a_stream_without_an_engine_of_its_version_is_refused_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate();
    let gone: BTreeSet<id::Target> = [target(99)].into();
    for allowed in [BTreeSet::new(), gone] {
        let verdict = gate.offer_among(Time::ZERO, &mut rng, request(1, Time::ZERO), &allowed);
        let Verdict::Refuse(refusal) = verdict else { panic!("{verdict:?}") };
        assert_eq!(refusal.reason, Reason::Version);
    }
    let rest = Duration::from_secs(2);
    few().iter().for_each(|at| gate.suspend(Time::ZERO, at, rest, Exclusion::Resting));
    let verdict = gate.offer_among(Time::ZERO, &mut rng, request(2, Time::ZERO), &few());
    assert!(matches!(verdict, Verdict::Refuse(_)), "a target that rests gets nothing");
}

/// Guards against a repeat at the engine that has just failed while another of its version is up.
#[test]
fn a_stream_avoids_the_engine_that_failed_it() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate();
    for number in 0..20 {
        let again = Request { avoid: Some(target(0)), ..request(number, Time::ZERO) };
        let verdict = gate.offer_among(Time::ZERO, &mut rng, again, &few());
        assert_eq!(verdict, Verdict::Send(target(1)));
        gate.finish(Time::ZERO, id::Request::new(number), Outcome::Whole);
    }
}
