//! Pattern `reclaim`: answers of several entries leave one engine over its one link.

use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::migration_queue::{Migration, Queues};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn engine() -> id::Target {
    "e-1".parse().expect("name")
}

fn ask(request: &str, left: u64) -> Migration {
    let entry = "entry-1".parse().expect("name");
    Migration { entry, request: request.into(), left: Tokens::new(left) }
}

fn due(turns: &mut Queues, ms: u64) -> Vec<String> {
    turns.poll(at(ms)).into_iter().map(|(_, ask)| ask.request.to_string()).collect()
}

/// Copies that share a link stand in each other's way: only one answer moves at a time, and the
/// longest goes first, since it is the most certain to be cut where it is.
#[test]
fn one_answer_moves_at_a_time_the_longest_first() {
    let mut turns = Queues::open();
    turns.ask(at(0), &engine(), ask("short", 50));
    turns.ask(at(5), &engine(), ask("long", 4_000));
    turns.ask(at(9), &engine(), ask("middle", 900));
    assert!(due(&mut turns, 10).is_empty(), "others may still learn that the engine leaves");
    assert_eq!(due(&mut turns, 12), ["long"]);
    assert!(due(&mut turns, 100).is_empty());
    turns.done(&engine(), "long");
    assert_eq!(due(&mut turns, 220), ["middle"]);
    turns.done(&engine(), "middle");
    assert_eq!(due(&mut turns, 400), ["short"]);
    turns.done(&engine(), "short");
    due(&mut turns, 401);
    assert!(turns.is_idle());
}

/// An entry dies with the turn: all others would wait until the engine is gone.
#[test]
fn a_turn_that_never_ends_is_passed_on() {
    let mut turns = Queues::open();
    turns.ask(at(0), &engine(), ask("lost", 4_000));
    turns.ask(at(0), &engine(), ask("next", 900));
    assert_eq!(due(&mut turns, 20), ["lost"]);
    assert!(due(&mut turns, 800).is_empty());
    assert_eq!(due(&mut turns, 950), ["next"]);
}

/// An answer ends before its turn comes; nobody waits for it.
#[test]
fn an_answer_that_ended_takes_no_turn() {
    let mut turns = Queues::open();
    turns.ask(at(0), &engine(), ask("ended", 4_000));
    turns.ask(at(0), &engine(), ask("next", 900));
    turns.done(&engine(), "ended");
    assert_eq!(due(&mut turns, 20), ["next"]);
}

/// Two engines leave at once; they have a link each.
#[test]
fn engines_have_queues_of_their_own() {
    let mut turns = Queues::open();
    let other: id::Target = "e-2".parse().expect("name");
    turns.ask(at(0), &engine(), ask("one", 10));
    turns.ask(at(0), &other, ask("two", 10));
    assert_eq!(due(&mut turns, 20), ["one", "two"]);
}
