//! Decisions of an entry that shuts down.

use std::time::Duration;

use fireflyhoist_policy::call_time::Expected;
use fireflyhoist_policy::shutdown::{Decision, Kind, State, Work, decide, is_held};
use fireflyhoist_policy::unit::Tokens;
use yare::parameterized;

const ADDRESS_TTL: Duration = Duration::from_secs(1);
const GRACE_MS: u64 = 7_500;

/// The time left of a caller that waits longer than any drain takes.
const PATIENT: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the state of an entry that closes 400 ms before the end of its grace period.
fn state(peers_accept: bool, draining_for: u64) -> State {
    State {
        peers_accept,
        draining_for: ms(draining_for),
        remaining: ms(GRACE_MS - draining_for),
        open_for: ms((GRACE_MS - draining_for).saturating_sub(400)),
        address_ttl: ADDRESS_TTL,
    }
}

fn generation(expected: u64, limit: Option<u64>, long: bool) -> Work {
    let (expected, limit) = (Tokens::new(expected), limit.map(Tokens::new));
    Work { kind: Kind::Generation { expected, limit, long }, time_left: PATIENT }
}

/// Guards against a request being refused by several stopping entries in a row and then abandoned:
/// a caller that retries at once uses cached addresses of entries that are also stopping. It must
/// be told to retry once these have expired.
#[parameterized(
    immediately = { 0, 1_050 },
    shortly_after = { 400, 650 },
    after_the_ttl = { 2_500, 50 },
)]
fn caller_retries_after_its_addresses_expire(draining_for: u64, after: u64) {
    let decided = decide(&state(true, draining_for), &generation(20, Some(1_000), true));
    assert_eq!(decided, Decision::RetryAfter(ms(after)));
}

/// All entries are stopped within two seconds. Guards against every request being refused
/// meanwhile: answers short enough to finish within the grace period are served, and the others are
/// told to retry after the restart.
#[parameterized(
    short = { 200, 500, Decision::Serve },
    long = { 600, 500, Decision::RetryAfter(Duration::from_millis(7_700)) },
    short_but_late_in_the_grace_period = { 20, 4_000, Decision::RetryAfter(Duration::from_millis(4_200)) },
)]
fn without_peers_short_answers_are_served(tokens: u64, draining_for: u64, decision: Decision) {
    let work = generation(tokens, Some(1_000), true);
    assert_eq!(decide(&state(false, draining_for), &work), decision);
}

/// Guards against answers that are cut at the end of the drain because their callers' estimates are
/// too low. Late in a drain an answer must end in time at the length that its caller allows, whether
/// other entries accept callers or not.
#[parameterized(
    early = { 1_000, Some(4_000), true },
    late = { 4_000, Some(4_000), false },
    late_with_a_low_limit = { 4_000, Some(80), true },
    late_without_a_limit = { 4_000, None, false },
    too_late_for_a_low_limit = { 5_900, Some(80), false },
    late_with_a_limit_too_long_to_hold = { 4_000, Some(120), false },
)]
fn low_estimates_do_not_count_late_in_a_drain(draining_for: u64, limit: Option<u64>, served: bool) {
    for peers_accept in [false, true] {
        let decided = decide(&state(peers_accept, draining_for), &generation(20, limit, false));
        assert_eq!(decided == Decision::Serve, served, "{peers_accept} {decided:?}");
    }
}

/// Returns a lookup of a route of which `ended` says how long others took, in milliseconds.
fn call(objective: u64, ended: Option<u64>, running: u64, repeatable: bool) -> Kind {
    let expected = Expected { ended: ended.map(ms), running: ms(running) };
    Kind::Lookup { objective: ms(objective), expected, repeatable }
}

/// Guards against lookups that are cut when the process ends, and against lookups being refused while
/// they can still be answered.
#[parameterized(
    in_time = { 6_900, call(150, None, 0, false), true },
    too_late = { 7_000, call(150, None, 0, false), false },
    high_objective = { 6_000, call(20_000, Some(900), 0, false), true },
    high_objective_too_late = { 6_200, call(20_000, Some(900), 0, false), false },
    high_objective_short = { 6_900, call(20_000, Some(150), 0, true), true },
    high_objective_unknown = { 0, call(20_000, None, 0, false), false },
    high_objective_unknown_repeatable = { 0, call(20_000, None, 0, true), true },
    high_objective_unknown_repeatable_late = { 4_000, call(20_000, None, 0, true), false },
    longer_than_its_objective = { 4_000, call(150, Some(3_500), 0, true), false },
    as_long_as_the_drain = { 0, call(150, Some(7_200), 0, false), false },
    long_in_time = { 0, call(150, Some(6_500), 0, false), true },
    others_run_for_longer = { 4_000, call(150, Some(200), 3_500, false), false },
    others_run_for_longer_than_an_objective = { 4_000, call(150, None, 3_500, true), false },
)]
fn lookups_are_served_while_they_end_in_time(draining_for: u64, kind: Kind, served: bool) {
    for peers_accept in [false, true] {
        let decided =
            decide(&state(peers_accept, draining_for), &Work { kind, time_left: PATIENT });
        assert_eq!(decided == Decision::Serve, served, "{peers_accept} {decided:?}");
    }
}

/// Guards against answers that are cut late in a drain because their engine stalls. One that takes its
/// usual time and a stall of 1.3 s ends before the entry closes, or is held back until it is complete.
#[parameterized(
    short = { 12, 680 },
    longer = { 60, 1_400 },
    too_long_to_hold = { 120, 2_300 },
)]
fn a_stall_cuts_no_late_answer(limit: u64, usual: u64) {
    const STALL: Duration = Duration::from_millis(1_300);
    for draining_for in (GRACE_MS / 3 + 1..GRACE_MS).step_by(50) {
        let (state, work) = (state(false, draining_for), generation(4, Some(limit), false));
        let served = decide(&state, &work) == Decision::Serve;
        let ends = ms(usual) + STALL < state.open_for;
        assert!(!served || ends || is_held(&state, &work), "{draining_for}");
    }
}

/// Guards against short answers being refused late in a drain although their engines work.
#[test]
fn short_answers_are_served_until_the_last_second() {
    for draining_for in (0..6_000).step_by(50) {
        let decided = decide(&state(false, draining_for), &generation(4, Some(12), false));
        assert_eq!(decided, Decision::Serve, "{draining_for}");
    }
}

/// Guards against an answer without events for so long that its caller gives up, and against answers
/// being held back although there is time for a stall.
#[parameterized(
    long = { 4_000, 120, false },
    short = { 4_000, 80, true },
    early = { 2_700, 80, false },
)]
fn only_late_short_answers_are_held_back(draining_for: u64, limit: u64, held: bool) {
    let work = generation(4, Some(limit), false);
    assert_eq!(is_held(&state(true, draining_for), &work), held);
}

/// Guards against requests being refused although their callers give up before the drain ends,
/// whatever their targets do.
#[parameterized(
    lookup = { call(5_000, None, 0, false) },
    long_lookup = { call(150, Some(7_200), 7_200, false) },
    stream = { generation(20, Some(4_000), false).kind },
    stream_without_a_limit = { generation(20, None, false).kind },
)]
fn a_request_that_ends_at_its_deadline_is_served(kind: Kind) {
    for time_left in [100, 1_000, 2_000].map(ms) {
        for draining_for in (0..GRACE_MS).step_by(50) {
            let state = state(true, draining_for);
            let served = decide(&state, &Work { kind, time_left }) == Decision::Serve;
            assert!(served || time_left >= state.open_for, "{time_left:?} {draining_for}");
        }
    }
}

/// Guards against answers that are cut because their engine stalls twice: it runs again for little
/// more than a second in between.
#[parameterized(
    short = { 12 },
    longer = { 60 },
    longest_held = { 100 },
)]
fn two_stalls_cut_no_late_answer(limit: u64) {
    const STALL_MS: u64 = 1_300;
    const PERIOD_MS: u64 = 2_500;
    let usual = 500 + 15 * limit;
    let stalled = |at: u64| at % PERIOD_MS < STALL_MS;
    for draining_for in (GRACE_MS / 3 + 1..GRACE_MS).step_by(50) {
        let (state, work) = (state(false, draining_for), generation(4, Some(limit), false));
        if decide(&state, &work) != Decision::Serve || is_held(&state, &work) {
            continue;
        }
        for phase in (0..PERIOD_MS).step_by(50) {
            let mut left = usual;
            let ends = (phase..).find(|at| {
                left -= u64::from(!stalled(*at));
                left == 0
            });
            let took = ms(ends.expect("the engine runs") - phase);
            assert!(took < state.open_for, "{draining_for} {phase} {took:?}");
        }
    }
}
