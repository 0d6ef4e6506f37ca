//! A gate whose targets have asked for rest, without a network.

use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{Gate, Reason, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::placement::NO_PREFIX;
use fireflyhoist_policy::request::Class;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn target(nth: usize) -> id::Target {
    format!("t-{nth}").parse().expect("a name")
}

fn request(number: u128, class: Class, deadline: Time) -> Request {
    Request {
        id: id::Request::new(number),
        workspace: "archive".parse().expect("a name"),
        class,
        rank: 0,
        prompt: Tokens::new(100),
        limit: Tokens::new(if class == Class::Lookup { 0 } else { 100 }),
        prefix: NO_PREFIX,
        objective: deadline,
        deadline,
        avoid: None,
        retry: false,
    }
}

/// A gate with three targets, the first `resting` of which rest until 3 s.
fn gate(resting: usize) -> (Gate, ChaCha8Rng) {
    let mut gate = Gate::open(Settings::default());
    gate.set_targets(at(0), (0..3).map(target).collect());
    for nth in 0..resting {
        gate.suspend(at(1_000), &target(nth), Duration::from_secs(2), Exclusion::Resting);
    }
    (gate, ChaCha8Rng::seed_from_u64(1))
}

/// A request goes to a target that rests while another could serve it.
#[parameterized(
    lookup = { Class::Lookup },
    generation = { Class::Live },
)]
fn requests_go_to_targets_that_do_not_rest(class: Class) {
    let (mut gate, mut rng) = gate(2);
    for number in 0..20 {
        let verdict = gate.offer(at(1_100), &mut rng, request(number, class, at(9_000)));
        assert!(verdict == Verdict::Send(target(2)) || verdict == Verdict::Wait, "{verdict:?}");
    }
}

/// A request waits past its deadline for targets that all rest.
#[parameterized(
    lookup = { Class::Lookup, 2_500 },
    generation = { Class::Live, 2_500 },
)]
fn a_request_is_refused_at_once_if_the_rest_outlasts_it(class: Class, deadline: u64) {
    let (mut gate, mut rng) = gate(3);
    let verdict = gate.offer(at(1_500), &mut rng, request(1, class, at(deadline)));
    let Verdict::Refuse(refusal) = verdict else { panic!("{verdict:?}") };
    assert_eq!(refusal.reason, Reason::Resting);
    let after = refusal.retry_after;
    assert!((1_500..2_000).contains(&after.as_millis()), "{after:?}");
}

/// A generation that could begin after the rest is refused, or one that waits already keeps waiting
/// although the rest outlasts it.
#[test]
fn generations_wait_only_for_a_rest_that_ends_in_time() {
    let (mut gate, mut rng) = gate(3);
    assert_eq!(gate.offer(at(1_500), &mut rng, request(1, Class::Live, at(9_000))), Verdict::Wait);
    assert!(gate.poll(at(1_600), &mut rng).is_empty());
    for nth in 0..3 {
        gate.suspend(at(1_700), &target(nth), Duration::from_secs(60), Exclusion::Resting);
    }
    let decided = gate.poll(at(1_800), &mut rng);
    assert!(
        matches!(&decided[..], [(_, Verdict::Refuse(refusal))] if refusal.reason == Reason::Resting)
    );
    assert!(gate.poll(at(3_100), &mut rng).is_empty());
}

/// A target that has restarted is left out because of the rest that its earlier start asked for.
#[test]
fn a_restart_ends_a_rest() {
    let (mut gate, mut rng) = gate(3);
    gate.restarted(at(1_200), &target(0));
    let verdict = gate.offer(at(1_300), &mut rng, request(1, Class::Lookup, at(9_000)));
    assert_eq!(verdict, Verdict::Send(target(0)));
}
