//! Answers of several entries are migrated from one engine over its single link.

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

fn migration(request: &str, remaining: u64) -> Migration {
    let entry = "entry-1".parse().expect("name");
    Migration { entry, request: request.into(), remaining: Tokens::new(remaining) }
}

fn poll(queues: &mut Queues, ms: u64) -> Vec<String> {
    queues.poll(at(ms)).into_iter().map(|(_, migration)| migration.request.to_string()).collect()
}

/// Guards against copies that slow each other down on the same link, and against a short answer
/// going before the longest one, which is the most certain to be interrupted.
#[test]
fn migrations_run_one_at_a_time_longest_first() {
    let mut queues = Queues::new();
    queues.enqueue(at(0), &engine(), migration("short", 50));
    queues.enqueue(at(5), &engine(), migration("long", 4_000));
    queues.enqueue(at(9), &engine(), migration("middle", 900));
    assert!(poll(&mut queues, 10).is_empty(), "others may still learn that the engine leaves");
    assert_eq!(poll(&mut queues, 12), ["long"]);
    assert!(poll(&mut queues, 100).is_empty());
    queues.finish(&engine(), "long");
    assert_eq!(poll(&mut queues, 220), ["middle"]);
    queues.finish(&engine(), "middle");
    assert_eq!(poll(&mut queues, 400), ["short"]);
    queues.finish(&engine(), "short");
    poll(&mut queues, 401);
    assert!(queues.is_idle());
}

/// Guards against an entry that dies during its migration and makes all others wait until the
/// engine is gone.
#[test]
fn unfinished_migration_times_out() {
    let mut queues = Queues::new();
    queues.enqueue(at(0), &engine(), migration("lost", 4_000));
    queues.enqueue(at(0), &engine(), migration("next", 900));
    assert_eq!(poll(&mut queues, 20), ["lost"]);
    assert!(poll(&mut queues, 800).is_empty());
    assert_eq!(poll(&mut queues, 950), ["next"]);
}

/// Guards against waiting for an answer that ended before its migration started.
#[test]
fn finished_answer_leaves_the_queue() {
    let mut queues = Queues::new();
    queues.enqueue(at(0), &engine(), migration("ended", 4_000));
    queues.enqueue(at(0), &engine(), migration("next", 900));
    queues.finish(&engine(), "ended");
    assert_eq!(poll(&mut queues, 20), ["next"]);
}

/// Guards against two engines, each with its own link, waiting for each other when they leave at
/// once.
#[test]
fn engines_have_separate_queues() {
    let mut queues = Queues::new();
    let other: id::Target = "e-2".parse().expect("name");
    queues.enqueue(at(0), &engine(), migration("one", 10));
    queues.enqueue(at(0), &other, migration("two", 10));
    assert_eq!(poll(&mut queues, 20), ["one", "two"]);
}
