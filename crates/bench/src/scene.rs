//! A load pattern made concrete: who asks when, of which engines, and what fails.

use std::time::Duration;

use fireflyhoist_policy::gate::Class;
use fireflyhoist_policy::time::Time;
use fireflyhoist_standin::batch::Shape;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::lengths::Lengths;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrives.
    pub at: Time,
    /// Whose it is.
    pub workspace: usize,
    /// The entry that it reaches.
    pub entry: usize,
    /// What wait it bears.
    pub class: Class,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The prompt's beginning.
    pub prefix: u64,
    /// Tokens of that beginning.
    pub shared: u64,
    /// Tokens of the answer, hidden from every policy.
    pub length: u64,
    /// The most tokens allowed, which every policy is told.
    pub limit: u64,
    /// How long the caller waits for the first token.
    pub patience: Duration,
    /// Whether the pattern's own figures are taken over this request.
    pub watched: bool,
}

/// Something that happens to an engine.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// Every step takes so many times as long.
    Slow(usize, f64),
    /// It is gone with all it held; the host list says so some seconds later.
    Leave(usize),
}

/// A pattern made concrete for one seed.
#[derive(Clone, Debug)]
pub struct Scene {
    /// Its engines.
    pub engines: Vec<Shape>,
    /// How many entries send.
    pub entries: usize,
    /// How old a load report is when it arrives.
    pub lag: Duration,
    /// How often an engine reports.
    pub every: Duration,
    /// How late the host list is.
    pub list_lag: Duration,
    /// Requests in order of time.
    pub arrivals: Vec<Arrival>,
    /// Changes in order of time.
    pub changes: Vec<(Time, Change)>,
    /// When the play ends.
    pub horizon: Time,
    /// The time over which throughput is measured.
    pub window: (Time, Time),
    /// Tokens a second of all engines at their best for this mix.
    pub best: f64,
    /// Streams that fixed concurrency allows an engine.
    pub fixed: usize,
}

/// One workspace's stream of requests.
#[derive(Clone, Debug)]
pub struct Source {
    /// Its number.
    pub workspace: usize,
    /// Class of its requests.
    pub class: Class,
    /// Mean tokens of its own part of a prompt.
    pub prompt: u64,
    /// Tokens of the beginning that its prompts share.
    pub shared: u64,
    /// How many such beginnings it uses.
    pub templates: u64,
    /// How long its answers are.
    pub lengths: Lengths,
    /// How long its callers wait.
    pub patience: Duration,
    /// Whether the pattern's figures are taken over it.
    pub watched: bool,
}

/// The mean size of a mix of sources, by which load is set as a share of the engines' best.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Mean tokens of an answer.
    pub length: f64,
    /// Mean tokens that a running stream holds.
    pub resident: f64,
}

impl Mix {
    /// Measures sources, each with its share of the requests.
    pub fn of(sources: &[(Source, f64)], rng: &mut ChaCha8Rng) -> Self {
        const DRAWS: usize = 4_000;
        let (mut weight, mut prompt, mut length, mut area) = (0.0, 0.0, 0.0, 0.0);
        for (source, share) in sources {
            let tokens = (source.prompt + source.shared) as f64;
            for _ in 0..DRAWS {
                let drawn = source.lengths.draw(rng) as f64;
                weight += share;
                prompt += share * tokens;
                length += share * drawn;
                area += share * drawn * (tokens + drawn / 2.0);
            }
        }
        Self { prompt: prompt / weight, length: length / weight, resident: area / length }
    }

    /// Tokens a second of `engines` at their best.
    pub fn best(&self, engines: &[Shape]) -> f64 {
        engines.iter().map(|shape| shape.best(self.prompt, self.length, self.resident)).sum()
    }
}

impl Source {
    /// One request of this source at `at`.
    pub fn ask(&self, at: Time, entry: usize, rng: &mut ChaCha8Rng) -> Arrival {
        let own = self.prompt / 2 + rng.random_range(0..=self.prompt);
        Arrival {
            at,
            workspace: self.workspace,
            entry,
            class: self.class,
            prompt: self.shared + own,
            prefix: self.workspace as u64 * 100 + rng.random_range(0..self.templates.max(1)) + 1,
            shared: self.shared,
            length: self.lengths.draw(rng),
            limit: self.lengths.limit,
            patience: self.patience,
            watched: self.watched,
        }
    }

    /// Requests at random over `span`, `rate(t)` a second, at most `peak`. A workspace meets in
    /// two of the entries, as the address list of the system makes it do.
    pub fn arrivals(
        &self,
        span: (Time, Time),
        peak: f64,
        entries: usize,
        rate: impl Fn(Time) -> f64,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Arrival> {
        let Ok(gap) = Exp::new(peak) else { return Vec::new() };
        let mut out = Vec::new();
        let mut at = span.0;
        loop {
            at = at + Duration::from_secs_f64(gap.sample(rng));
            if at >= span.1 {
                return out;
            }
            let keep = rng.random::<f64>() * peak < rate(at);
            let entry = (self.workspace * 3 + usize::from(rng.random_bool(0.5))) % entries;
            let ask = self.ask(at, entry, rng);
            if keep {
                out.push(ask);
            }
        }
    }
}

/// Puts arrivals of several sources in order of time.
pub fn merged(parts: Vec<Vec<Arrival>>) -> Vec<Arrival> {
    let mut all: Vec<Arrival> = parts.into_iter().flatten().collect();
    all.sort_by_key(|a| (a.at, a.workspace));
    all
}
