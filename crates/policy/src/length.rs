//! Predicts the length of an answer from the tokens it has produced so far.
//!
//! Answers have from a few to tens of thousands of tokens, and the length is not known in advance.
//! Without a prediction an entry must either reserve the caller's limit, which can leave two thirds
//! of the engines' throughput unused, or send without regard to memory and have it run out during
//! generation.
//!
//! A [`Distribution`] holds, for each bucket of lengths, how many answers reached it and how many
//! ended in it. Their ratio is a hazard rate. Running answers count from the first bucket on, so
//! that long answers, which end last, are not underrepresented (the Kaplan-Meier product-limit
//! estimator). A workspace's hazards use those of its service as a prior while it has few answers
//! of its own, and the service's use a heavy-tailed default.

use std::collections::BTreeMap;

use crate::id;

/// Buckets per doubling of length; with four, neighbouring bounds differ by a fifth.
const PER_OCTAVE: usize = 4;

/// The number of buckets; they reach 65,536 tokens, beyond the longest answers in use.
const BUCKETS: usize = 16 * PER_OCTAVE;

/// The number of answers that the prior counts as beside the observed ones.
const PRIOR: f32 = 12.0;

/// The number of ended answers above which all counts are halved, so that the distribution follows
/// changes in traffic.
const MEMORY: f32 = 2_000.0;

/// The default hazard of a bucket: a power law of lengths with exponent 1. Its tail is heavier than
/// that of real traffic, so that an entry without data reserves too much rather than overloads.
const UNKNOWN: f32 = 0.16;

/// The length in tokens below which the default assumes that hardly any answer ends.
const UNKNOWN_FROM: u64 = 32;

fn bucket(tokens: u64) -> usize {
    let scaled = (tokens.max(1) as f32).log2() * PER_OCTAVE as f32;
    (scaled as usize).min(BUCKETS - 1)
}

fn start(bucket: usize) -> f32 {
    (bucket as f32 / PER_OCTAVE as f32).exp2()
}

/// The length distribution of one workspace or one service.
#[derive(Clone, Debug)]
pub struct Law {
    reached: [f32; BUCKETS],
    ended: [f32; BUCKETS],
    /// The probability that an answer reaches the start of each bucket, from the hazards.
    survival: [f32; BUCKETS + 1],
}

impl Law {
    fn open(prior: &[f32; BUCKETS]) -> Self {
        let empty = [0.0; BUCKETS];
        let mut law = Self { reached: empty, ended: empty, survival: [1.0; BUCKETS + 1] };
        law.settle(prior);
        law
    }

    fn hazards(&self, prior: &[f32; BUCKETS]) -> [f32; BUCKETS] {
        std::array::from_fn(|at| {
            (self.ended[at] + PRIOR * prior[at]) / (self.reached[at] + PRIOR).max(self.ended[at])
        })
    }

    /// Recomputes the survival probabilities.
    fn settle(&mut self, prior: &[f32; BUCKETS]) {
        let hazards = self.hazards(prior);
        for (at, hazard) in hazards.into_iter().enumerate() {
            self.survival[at + 1] = self.survival[at] * (1.0 - hazard).max(0.01);
        }
    }

    fn reach(&mut self, from: usize, to: usize) {
        self.reached[from..to].iter_mut().for_each(|count| *count += 1.0);
    }

    fn end(&mut self, at: usize) {
        self.ended[at] += 1.0;
        if self.ended.iter().sum::<f32>() > MEMORY {
            self.ended.iter_mut().for_each(|count| *count /= 2.0);
            self.reached.iter_mut().for_each(|count| *count /= 2.0);
        }
    }

    /// Returns the probability that an answer has at least `tokens` tokens.
    pub fn survival(&self, tokens: u64) -> f32 {
        let at = bucket(tokens);
        let (low, high) = (start(at), start(at + 1));
        let part = ((tokens as f32 - low) / (high - low)).clamp(0.0, 1.0);
        self.survival[at] + (self.survival[at + 1] - self.survival[at]) * part
    }

    /// Returns the expected total length in tokens of an answer that has produced `produced` tokens
    /// and is limited to `limit`.
    pub fn expected(&self, produced: u64, limit: u64) -> f32 {
        let from = bucket(produced.max(1));
        let known = self.survival(produced).max(f32::MIN_POSITIVE);
        let mut expected = produced as f32;
        for at in from..BUCKETS {
            let low = start(at).max(produced as f32);
            let high = start(at + 1).min(limit as f32);
            if high <= low {
                continue;
            }
            let mid = (self.survival[at] + self.survival[at + 1]) / 2.0;
            expected += (high - low) * (mid / known).min(1.0);
        }
        expected
    }
}

/// How many buckets of one running answer have been counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mark(u8);

/// The length distributions of one service and its workspaces.
#[derive(Clone, Debug)]
pub struct Book {
    unknown: [f32; BUCKETS],
    service: Law,
    workspaces: BTreeMap<id::Workspace, Law>,
}

impl Default for Book {
    fn default() -> Self {
        Self::open()
    }
}

impl Book {
    /// Creates a predictor without observations.
    pub fn open() -> Self {
        let from = bucket(UNKNOWN_FROM);
        let unknown = std::array::from_fn(|at| if at < from { 0.002 } else { UNKNOWN });
        Self { unknown, service: Law::open(&unknown), workspaces: BTreeMap::new() }
    }

    /// Returns the distribution that applies to a workspace.
    pub fn law(&self, workspace: &id::Workspace) -> &Law {
        self.workspaces.get(workspace).unwrap_or(&self.service)
    }

    /// Counts an answer that begins.
    pub fn begin(&mut self, workspace: &id::Workspace) -> Mark {
        self.reach(workspace, 0, 1);
        Mark(1)
    }

    /// Counts the buckets that an answer has reached since `progress`.
    pub fn advance(&mut self, workspace: &id::Workspace, mark: &mut Mark, produced: u64) {
        let to = bucket(produced) + 1;
        let from = usize::from(mark.0);
        if to > from {
            self.reach(workspace, from, to);
            mark.0 = u8::try_from(to).unwrap_or(u8::MAX);
        }
    }

    /// Counts an answer that ended after `produced` tokens.
    pub fn end(&mut self, workspace: &id::Workspace, mut mark: Mark, produced: u64) {
        self.advance(workspace, &mut mark, produced);
        let at = bucket(produced);
        self.service.end(at);
        self.service.settle(&self.unknown);
        let prior = self.service.hazards(&self.unknown);
        if let Some(law) = self.workspaces.get_mut(workspace) {
            law.end(at);
            law.settle(&prior);
        }
    }

    fn reach(&mut self, workspace: &id::Workspace, from: usize, to: usize) {
        self.service.reach(from, to);
        if !self.workspaces.contains_key(workspace) {
            let prior = self.service.hazards(&self.unknown);
            self.workspaces.insert(workspace.clone(), Law::open(&prior));
        }
        if let Some(law) = self.workspaces.get_mut(workspace) {
            law.reach(from, to);
        }
    }
}
