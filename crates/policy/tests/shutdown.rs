//! Decisions of an entry that shuts down.

use std::time::Duration;

use fireflyhoist_policy::shutdown::{Decision, State, decide};
use fireflyhoist_policy::unit::Tokens;
use yare::parameterized;

const ADDRESS_TTL: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
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
    let state = State {
        peers_accept: true,
        draining_for: ms(draining_for),
        remaining: ms(7_000),
        address_ttl: ADDRESS_TTL,
    };
    assert_eq!(decide(&state, Tokens::new(20)), Decision::RetryAfter(ms(after)));
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
    let remaining = ms(7_500 - draining_for);
    let state = State {
        peers_accept: false,
        draining_for: ms(draining_for),
        remaining,
        address_ttl: ADDRESS_TTL,
    };
    assert_eq!(decide(&state, Tokens::new(tokens)), decision);
}
