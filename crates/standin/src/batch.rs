//! The memory and time of one model engine, as a pure model in virtual time.
//!
//! Streams join and leave a running batch at every step. Each token a stream holds takes room in a
//! memory of fixed size, which therefore fills in the middle of generations: then the youngest
//! stream of the lowest priority is preempted, loses what it held, and is computed again from its
//! prompt once there is room. This is what common engines do, and what an entry must foresee.

use std::collections::VecDeque;
use std::time::Duration;

use fireflyhoist_policy::gate::Report;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;

/// Which waiting streams the engine lets into its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Whatever fits now; the usual setting.
    Now,
    /// Only what would fit if every stream ran to its limit.
    Reserve,
    /// At most this many streams.
    Fixed(usize),
}

/// What an engine can do.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Tokens that the memory holds.
    pub memory: u64,
    /// The most streams of a batch.
    pub streams: usize,
    /// Microseconds of a step with no work: reading the weights.
    pub base: f64,
    /// Microseconds for each stream of a step.
    pub stream: f64,
    /// Microseconds for each token held in memory, read at every step.
    pub held: f64,
    /// Microseconds for each prompt token computed in a step.
    pub prompt: f64,
    /// The most prompt tokens of a step.
    pub chunk: u64,
    /// Tokens of prompt beginnings that the prefix cache remembers.
    pub cache: u64,
    /// Who is let in.
    pub admission: Admission,
}

impl Default for Shape {
    /// Near a 14-billion-parameter model on one borrowed accelerator: 14 ms to read the weights,
    /// 20,000 prompt tokens a second, 64,000 tokens of key-value memory.
    fn default() -> Self {
        Self {
            memory: 64_000,
            streams: 192,
            base: 14_000.0,
            stream: 150.0,
            held: 0.2,
            prompt: 50.0,
            chunk: 2_048,
            cache: 16_000,
            admission: Admission::Now,
        }
    }
}

impl Shape {
    /// Tokens a second at a memory kept exactly full of average streams: the most that any
    /// sending could reach for answers of this size.
    pub fn best(&self, prompt: f64, length: f64, resident: f64) -> f64 {
        let streams = (self.memory as f64 / resident).min(self.streams as f64);
        let decode = self.base + self.stream * streams + self.held * streams * resident;
        let prefill = streams * prompt * self.prompt / length;
        streams * 1e6 / (decode + prefill)
    }
}

/// One stream to generate.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's number for it.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// A name for the prompt's beginning.
    pub prefix: u64,
    /// Tokens of the prompt's beginning that others share.
    pub shared: u64,
    /// Tokens it will produce, which nobody knows ahead.
    pub length: u64,
    /// The most it may produce.
    pub limit: u64,
    /// Smaller is served first.
    pub priority: u8,
}

#[derive(Clone, Debug)]
struct Stream {
    job: Job,
    order: u64,
    produced: u64,
    /// Tokens still to compute before the next one can be produced.
    pending: u64,
    /// Whether it has been preempted and not caught up since.
    behind: bool,
    /// When its latest token was ready; the time it came in before that.
    latest: Time,
}

impl Stream {
    fn held(&self) -> u64 {
        self.job.prompt + self.produced
    }
}

/// What one step did for one stream, told only where it is out of the ordinary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Its first token came.
    First(u64),
    /// A token came this long after the one before, longer than the step itself.
    Late(u64, Duration),
    /// It has produced so many tokens; told every [`PROGRESS`] tokens.
    Progress(u64, u64),
    /// It is complete with so many tokens.
    Done(u64, u64),
    /// Its memory was taken; so many tokens must be computed again.
    Preempted(u64, u64),
}

/// How often progress is told, in tokens.
pub const PROGRESS: u64 = 16;

/// One engine.
#[derive(Debug)]
pub struct Batch {
    shape: Shape,
    running: Vec<Stream>,
    waiting: VecDeque<Stream>,
    cache: VecDeque<(u64, u64)>,
    used: u64,
    order: u64,
    slowness: f64,
    preemptions: u64,
    recomputed: u64,
    span: Duration,
}

impl Batch {
    /// Opens an idle engine.
    pub fn open(shape: Shape) -> Self {
        Self {
            shape,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            used: 0,
            order: 0,
            slowness: 1.0,
            preemptions: 0,
            recomputed: 0,
            span: Duration::ZERO,
        }
    }

    /// Makes every later step take `factor` times as long.
    pub fn slow(&mut self, factor: f64) {
        self.slowness = factor;
    }

    /// Takes in a stream, which waits for its place in the batch.
    pub fn push(&mut self, now: Time, job: Job) {
        self.order += 1;
        let pending = job.prompt;
        let stream =
            Stream { job, order: self.order, produced: 0, pending, behind: false, latest: now };
        self.enqueue(stream);
    }

    fn enqueue(&mut self, stream: Stream) {
        let key = (stream.job.priority, stream.order);
        let at = self.waiting.partition_point(|s| (s.job.priority, s.order) < key);
        self.waiting.insert(at, stream);
    }

    /// Forgets a stream; whether it was known.
    pub fn cancel(&mut self, id: u64) -> bool {
        if let Some(at) = self.running.iter().position(|s| s.job.id == id) {
            self.used -= self.running.swap_remove(at).held();
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|s| s.job.id != id);
        self.waiting.len() < before
    }

    /// Ends the engine: the numbers of all streams it held.
    pub fn clear(&mut self) -> Vec<u64> {
        let ids = self.running.iter().chain(&self.waiting).map(|s| s.job.id).collect();
        self.running.clear();
        self.waiting.clear();
        self.cache.clear();
        self.used = 0;
        ids
    }

    /// Tokens that a stream has produced so far, while the engine holds it.
    pub fn produced(&self, id: u64) -> Option<u64> {
        let held = self.running.iter().chain(&self.waiting);
        held.filter(|s| s.job.id == id).map(|s| s.produced).next()
    }

    /// Whether a step would do anything.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Whether a stream that had begun waits for memory.
    pub fn is_over(&self) -> bool {
        self.waiting.iter().any(|s| s.behind)
    }

    /// What the engine says of itself now.
    pub fn report(&self) -> Report {
        Report {
            capacity: Tokens::new(self.shape.memory),
            used: Tokens::new(self.used),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            preemptions: self.preemptions,
        }
    }

    /// Preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Tokens computed a second time so far.
    pub fn recomputed(&self) -> u64 {
        self.recomputed
    }

    /// How long the step begun last takes.
    pub fn span(&self) -> Duration {
        self.span
    }

    /// Begins a step and says how long it takes.
    pub fn begin(&mut self, events: &mut Vec<Event>) -> Duration {
        self.admit();
        self.make_room(events);
        let mut budget = self.shape.chunk;
        let mut decoding = 0_u64;
        for stream in &mut self.running {
            let computed = stream.pending.min(budget);
            stream.pending -= computed;
            budget -= computed;
            decoding += u64::from(stream.pending == 0);
        }
        let micros = self.shape.base
            + self.shape.stream * decoding as f64
            + self.shape.held * self.used as f64
            + self.shape.prompt * (self.shape.chunk - budget) as f64;
        self.span = Duration::from_micros((micros * self.slowness) as u64);
        self.span
    }

    /// Ends the step begun last, at `now`; returns how many tokens came in the ordinary gap,
    /// which is the step's own length.
    pub fn end(&mut self, now: Time, events: &mut Vec<Event>) -> u64 {
        let begun = now - self.span;
        let mut ordinary = 0;
        let mut done = false;
        for stream in self.running.iter_mut().filter(|s| s.pending == 0) {
            stream.produced += 1;
            self.used += 1;
            stream.behind = false;
            let id = stream.job.id;
            match stream.produced {
                1 => events.push(Event::First(id)),
                _ if stream.latest >= begun => ordinary += 1,
                _ => events.push(Event::Late(id, now.since(stream.latest))),
            }
            stream.latest = now;
            if stream.produced >= stream.job.length {
                done = true;
            } else if stream.produced % PROGRESS == 0 {
                events.push(Event::Progress(id, stream.produced));
            }
        }
        if done {
            self.retire(events);
        }
        ordinary
    }

    fn retire(&mut self, events: &mut Vec<Event>) {
        let used = &mut self.used;
        self.running.retain(|stream| {
            let done = stream.produced >= stream.job.length;
            if done {
                *used -= stream.held();
                events.push(Event::Done(stream.job.id, stream.produced));
            }
            !done
        });
    }

    fn admit(&mut self) {
        while let Some(next) = self.waiting.front() {
            let full = self.running.len() >= self.shape.streams;
            if full || !self.fits(next) {
                return;
            }
            let Some(mut stream) = self.waiting.pop_front() else { return };
            self.used += stream.held();
            stream.pending = stream.held();
            if stream.behind {
                self.recomputed += stream.held();
            } else if self.remember(&stream.job) {
                stream.pending -= stream.job.shared.min(stream.pending.saturating_sub(1));
            }
            self.running.push(stream);
        }
    }

    fn fits(&self, next: &Stream) -> bool {
        match self.shape.admission {
            Admission::Now => self.used + next.held() < self.shape.memory,
            Admission::Reserve => {
                let peak = |s: &Stream| s.job.prompt + s.job.limit;
                let reserved: u64 = self.running.iter().map(peak).sum();
                reserved + peak(next) <= self.shape.memory || self.running.is_empty()
            }
            Admission::Fixed(streams) => {
                self.running.len() < streams && self.used + next.held() < self.shape.memory
            }
        }
    }

    /// Whether the prefix cache holds the job's beginning; it does afterwards.
    fn remember(&mut self, job: &Job) -> bool {
        if job.shared == 0 {
            return false;
        }
        let at = self.cache.iter().position(|(prefix, _)| *prefix == job.prefix);
        let known = at.and_then(|at| self.cache.remove(at)).is_some();
        self.cache.push_back((job.prefix, job.shared));
        let mut total: u64 = self.cache.iter().map(|(_, tokens)| tokens).sum();
        while total > self.shape.cache {
            let Some((_, tokens)) = self.cache.pop_front() else { break };
            total -= tokens;
        }
        known
    }

    /// Preempts until every stream of the batch can hold one more token.
    fn make_room(&mut self, events: &mut Vec<Event>) {
        while self.used + self.running.len() as u64 > self.shape.memory && self.running.len() > 1 {
            let rank = |s: &Stream| (s.job.priority, s.order);
            let worst = (0..self.running.len()).max_by_key(|at| rank(&self.running[*at]));
            let Some(worst) = worst else { return };
            let mut stream = self.running.swap_remove(worst);
            self.used -= stream.held();
            self.preemptions += 1;
            events.push(Event::Preempted(stream.job.id, stream.held()));
            stream.behind = true;
            self.enqueue(stream);
        }
    }
}
