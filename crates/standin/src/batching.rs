//! A stand-in engine's batch in real time: the pure model of [`crate::batch`], stepped by a task.
//!
//! With it a stand-in engine behaves under load as engines do: its memory fills in the middle of
//! generations, streams are preempted and computed again, and known prompt beginnings are skipped.

use std::collections::HashMap;
use std::sync::{Arc, Weak};

use std::time::Instant;

use fireflyhoist_policy::gate::Report;
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

use crate::batch::{Batch, Event, Job, Shape};

/// Bytes of prompt for one token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of a prompt's beginning by which the cache knows it again.
const PREFIX_BYTES: usize = 256;

/// How long an idle engine sleeps before it looks for work again.
const IDLE: std::time::Duration = std::time::Duration::from_millis(1);

/// One stream's course.
#[derive(Clone, Copy, Debug, Default)]
struct Course {
    number: u64,
    produced: u64,
    preemptions: u32,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    numbers: u64,
    courses: HashMap<id::Generation, Course>,
    names: HashMap<u64, id::Generation>,
}

/// A batch that steps until its last owner drops it.
#[derive(Debug)]
pub(crate) struct Batching {
    origin: Instant,
    state: Mutex<State>,
}

impl Batching {
    /// Spawns the task that steps the batch; needs a running ntex system.
    pub(crate) fn spawn(shape: Shape) -> Arc<Self> {
        let state = State {
            batch: Batch::open(shape),
            numbers: 0,
            courses: HashMap::new(),
            names: HashMap::new(),
        };
        let batching = Arc::new(Self { origin: Instant::now(), state: Mutex::new(state) });
        ntex::rt::spawn(step(Arc::downgrade(&batching))).detach();
        batching
    }

    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Takes in a stream; a second push of it changes nothing.
    pub(crate) fn push(
        &self,
        generation: id::Generation,
        prompt: &str,
        length: u64,
        limit: u64,
        priority: u8,
    ) {
        let now = self.now();
        let mut state = self.state.lock();
        if state.courses.contains_key(&generation) {
            return;
        }
        state.numbers += 1;
        let number = state.numbers;
        state.courses.insert(generation, Course { number, ..Course::default() });
        state.names.insert(number, generation);
        let beginning = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let job = Job {
            id: number,
            prompt: prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64,
            prefix: xxh3_64(beginning),
            shared: (beginning.len() / BYTES_PER_TOKEN) as u64,
            length: length.max(1),
            limit,
            priority,
        };
        state.batch.push(now, job);
    }

    /// Tokens of a stream that are ready.
    pub(crate) fn produced(&self, generation: id::Generation) -> u64 {
        self.state.lock().courses.get(&generation).map_or(0, |course| course.produced)
    }

    /// How often a stream was preempted.
    pub(crate) fn preemptions(&self, generation: id::Generation) -> u32 {
        self.state.lock().courses.get(&generation).map_or(0, |course| course.preemptions)
    }

    /// Forgets a stream and frees its memory.
    pub(crate) fn cancel(&self, generation: id::Generation) {
        let mut state = self.state.lock();
        if let Some(course) = state.courses.remove(&generation) {
            state.names.remove(&course.number);
            state.batch.cancel(course.number);
        }
    }

    /// What the engine says of itself.
    pub(crate) fn report(&self) -> Report {
        self.state.lock().batch.report()
    }
}

impl State {
    fn end(&mut self, now: Time) {
        let mut events = Vec::new();
        self.batch.end(now, &mut events);
        self.note(&events);
        let Self { batch, courses, .. } = self;
        for course in courses.values_mut() {
            if let Some(produced) = batch.produced(course.number) {
                course.produced = produced;
            }
        }
    }

    fn note(&mut self, events: &[Event]) {
        for event in events {
            let (number, produced) = match event {
                Event::Done(number, produced) => (number, Some(*produced)),
                Event::Preempted(number, _) => (number, None),
                Event::First(_) | Event::Late(..) | Event::Progress(..) => continue,
            };
            let Some(generation) = self.names.get(number) else { continue };
            let Some(course) = self.courses.get_mut(generation) else { continue };
            match produced {
                Some(produced) => course.produced = produced,
                None => course.preemptions += 1,
            }
        }
    }
}

async fn step(batching: Weak<Batching>) {
    loop {
        let span = {
            let Some(batching) = batching.upgrade() else { return };
            let mut state = batching.state.lock();
            if state.batch.is_idle() {
                None
            } else {
                let mut events = Vec::new();
                let span = state.batch.begin(&mut events);
                state.note(&events);
                Some(span)
            }
        };
        ntex::time::sleep(span.unwrap_or(IDLE)).await;
        let Some(batching) = batching.upgrade() else { return };
        if span.is_some() {
            let now = batching.now();
            batching.state.lock().end(now);
        }
    }
}
