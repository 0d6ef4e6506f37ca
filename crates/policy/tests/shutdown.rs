//! Decisions of an entry that shuts down.

use std::time::Duration;

use fireflyhoist_policy::shutdown::{Choice, Situation, choose};
use fireflyhoist_policy::unit::Tokens;
use yare::parameterized;

const FRESH: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a request being refused by several stopping entries in a row and then abandoned:
/// a caller that retries at once uses cached addresses of entries that are also stopping. It must
/// be told to retry once these have expired.
#[parameterized(
    at_once = { 0, 1_050 },
    a_little_later = { 400, 650 },
    by_an_old_answer = { 2_500, 50 },
)]
fn a_caller_comes_back_with_new_addresses(since: u64, after: u64) {
    let situation = Situation { others: true, since: ms(since), left: ms(7_000), fresh: FRESH };
    assert_eq!(choose(&situation, Tokens::new(20)), Choice::ComeBack(ms(after)));
}

/// All entries are stopped within two seconds. Guards against every request being refused
/// meanwhile: answers short enough to finish within the grace period are served, and the others are
/// told to retry after the restart.
#[parameterized(
    short = { 200, 500, Choice::Serve },
    long = { 600, 500, Choice::ComeBack(Duration::from_millis(7_700)) },
    short_but_late_in_the_grace = { 20, 4_000, Choice::ComeBack(Duration::from_millis(4_200)) },
)]
fn without_another_entry_what_can_end_is_served(tokens: u64, since: u64, choice: Choice) {
    let left = ms(7_500 - since);
    let situation = Situation { others: false, since: ms(since), left, fresh: FRESH };
    assert_eq!(choose(&situation, Tokens::new(tokens)), choice);
}
