//! The engine's memory model.

use fireflyhoist_policy::time::Time;
use fireflyhoist_standin::batch::{Admission, Batch, Event, Job, Shape};

fn job(id: u64, prompt: u64, length: u64) -> Job {
    Job { id, prompt, prefix: 0, shared: 0, length, limit: 1_000, priority: 1 }
}

/// Steps until idle; all events, and how often each stream's tokens were told as ordinary.
fn finish(batch: &mut Batch) -> Vec<Event> {
    let mut now = Time::ZERO;
    let mut events = Vec::new();
    while !batch.is_idle() {
        now = now + batch.begin(&mut events);
        batch.end(now, &mut events);
    }
    events
}

fn done(events: &[Event]) -> Vec<(u64, u64)> {
    let of = |event: &Event| match event {
        Event::Done(id, tokens) => Some((*id, *tokens)),
        _ => None,
    };
    events.iter().filter_map(of).collect()
}

/// Two generations fit when they begin and not when both have grown: the younger is preempted,
/// computed again, and both still end whole.
#[test]
fn a_memory_that_fills_preempts_and_recomputes() {
    let mut batch = Batch::open(Shape { memory: 300, ..Shape::default() });
    batch.push(Time::ZERO, job(1, 100, 100));
    batch.push(Time::ZERO, job(2, 50, 120));
    let events = finish(&mut batch);
    assert!(events.iter().any(|e| matches!(e, Event::Preempted(2, _))), "{events:?}");
    assert_eq!(done(&events), [(1, 100), (2, 120)]);
    assert_eq!(batch.preemptions(), 1);
    assert!(batch.recomputed() > 50);
    assert_eq!(batch.report().used.get(), 0);
}

#[test]
fn reserving_the_maximum_never_preempts() {
    let shape = Shape { memory: 2_500, admission: Admission::Reserve, ..Shape::default() };
    let mut batch = Batch::open(shape);
    (0..8).for_each(|id| batch.push(Time::ZERO, job(id, 100, 900)));
    let mut events = Vec::new();
    batch.begin(&mut events);
    assert_eq!(batch.report().running, 2, "two of 1,100 fit into 2,500");
    batch.end(Time::from_micros(1), &mut events);
    assert_eq!(done(&finish(&mut batch)).len(), 8);
    assert_eq!(batch.preemptions(), 0);
}

#[test]
fn a_prefix_met_again_is_not_computed_again() {
    let mut batch = Batch::open(Shape::default());
    let asks = Job { prefix: 9, shared: 1_000, ..job(1, 1_100, 1) };
    batch.push(Time::ZERO, asks.clone());
    let mut events = Vec::new();
    let cold = batch.begin(&mut events);
    batch.end(Time::ZERO + cold, &mut events);
    batch.push(Time::ZERO + cold, Job { id: 2, ..asks });
    let warm = batch.begin(&mut events);
    assert!(warm * 3 < cold * 2, "cold {cold:?}, warm {warm:?}");
}

#[test]
fn a_cancelled_stream_frees_its_memory() {
    let mut batch = Batch::open(Shape::default());
    batch.push(Time::ZERO, job(1, 100, 500));
    batch.begin(&mut Vec::new());
    assert!(batch.cancel(1));
    assert!(batch.is_idle());
    assert_eq!(batch.report().used.get(), 0);
    assert!(!batch.cancel(1));
}
