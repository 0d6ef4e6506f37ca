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
const BUCKETS_PER_DOUBLING: usize = 4;

/// The number of buckets; they reach 65,536 tokens, beyond the longest answers in use.
const BUCKETS: usize = 16 * BUCKETS_PER_DOUBLING;

/// The number of answers that the prior counts as beside the observed ones.
const PRIOR_WEIGHT: f32 = 12.0;

/// The number of ended answers above which all counts are halved, so that the distribution follows
/// changes in traffic.
const MAX_ENDED: f32 = 2_000.0;

/// The default hazard of a bucket: a power law of lengths with exponent 1. Its tail is heavier than
/// that of real traffic, so that an entry without data reserves too much rather than overloads.
const DEFAULT_HAZARD: f32 = 0.16;

/// The length in tokens below which the default assumes that hardly any answer ends.
const DEFAULT_HAZARD_FROM_TOKENS: u64 = 32;

fn bucket(tokens: u64) -> usize {
    let scaled = (tokens.max(1) as f32).log2() * BUCKETS_PER_DOUBLING as f32;
    (scaled as usize).min(BUCKETS - 1)
}

fn start(bucket: usize) -> f32 {
    (bucket as f32 / BUCKETS_PER_DOUBLING as f32).exp2()
}

/// The length distribution of one workspace or one service.
#[derive(Clone, Debug)]
pub struct Distribution {
    reached: [f32; BUCKETS],
    ended: [f32; BUCKETS],
    /// The probability that an answer reaches the start of each bucket, from the hazards.
    survival: [f32; BUCKETS + 1],
}

impl Distribution {
    fn open(prior: &[f32; BUCKETS]) -> Self {
        let empty = [0.0; BUCKETS];
        let mut distribution = Self { reached: empty, ended: empty, survival: [1.0; BUCKETS + 1] };
        distribution.update_survival(prior);
        distribution
    }

    fn hazards(&self, prior: &[f32; BUCKETS]) -> [f32; BUCKETS] {
        std::array::from_fn(|at| {
            (self.ended[at] + PRIOR_WEIGHT * prior[at])
                / (self.reached[at] + PRIOR_WEIGHT).max(self.ended[at])
        })
    }

    /// Recomputes the survival probabilities.
    fn update_survival(&mut self, prior: &[f32; BUCKETS]) {
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
        if self.ended.iter().sum::<f32>() > MAX_ENDED {
            self.ended.iter_mut().for_each(|count| *count /= 2.0);
            self.reached.iter_mut().for_each(|count| *count /= 2.0);
        }
    }

    /// Returns the probability that an answer has at least `tokens` tokens.
    pub fn survival(&self, tokens: u64) -> f32 {
        let at = bucket(tokens);
        let (low, high) = (start(at), start(at + 1));
        let fraction = ((tokens as f32 - low) / (high - low)).clamp(0.0, 1.0);
        self.survival[at] + (self.survival[at + 1] - self.survival[at]) * fraction
    }

    /// Returns the expected total length in tokens of an answer that has produced `produced` tokens
    /// and is limited to `limit`.
    pub fn expected(&self, produced: u64, limit: u64) -> f32 {
        let from = bucket(produced.max(1));
        let survived = self.survival(produced).max(f32::MIN_POSITIVE);
        let mut expected = produced as f32;
        for at in from..BUCKETS {
            let low = start(at).max(produced as f32);
            let high = start(at + 1).min(limit as f32);
            if high <= low {
                continue;
            }
            let mid = (self.survival[at] + self.survival[at + 1]) / 2.0;
            expected += (high - low) * (mid / survived).min(1.0);
        }
        expected
    }
}

/// How many buckets of one running answer have been counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress(u8);

/// The length distributions of one service and its workspaces.
#[derive(Clone, Debug)]
pub struct Predictor {
    default_hazards: [f32; BUCKETS],
    service: Distribution,
    workspaces: BTreeMap<id::Workspace, Distribution>,
}

impl Default for Predictor {
    fn default() -> Self {
        Self::open()
    }
}

impl Predictor {
    /// Creates a predictor without observations.
    pub fn open() -> Self {
        let from = bucket(DEFAULT_HAZARD_FROM_TOKENS);
        let default_hazards =
            std::array::from_fn(|at| if at < from { 0.002 } else { DEFAULT_HAZARD });
        Self {
            default_hazards,
            service: Distribution::open(&default_hazards),
            workspaces: BTreeMap::new(),
        }
    }

    /// Returns the distribution that applies to a workspace.
    pub fn distribution(&self, workspace: &id::Workspace) -> &Distribution {
        self.workspaces.get(workspace).unwrap_or(&self.service)
    }

    /// Counts an answer that begins.
    pub fn begin(&mut self, workspace: &id::Workspace) -> Progress {
        self.reach(workspace, 0, 1);
        Progress(1)
    }

    /// Counts the buckets that an answer has reached since `progress`.
    pub fn advance(&mut self, workspace: &id::Workspace, progress: &mut Progress, produced: u64) {
        let to = bucket(produced) + 1;
        let from = usize::from(progress.0);
        if to > from {
            self.reach(workspace, from, to);
            progress.0 = u8::try_from(to).unwrap_or(u8::MAX);
        }
    }

    /// Counts an answer that ended after `produced` tokens.
    pub fn end(&mut self, workspace: &id::Workspace, mut progress: Progress, produced: u64) {
        self.advance(workspace, &mut progress, produced);
        let at = bucket(produced);
        self.service.end(at);
        self.service.update_survival(&self.default_hazards);
        let prior = self.service.hazards(&self.default_hazards);
        if let Some(distribution) = self.workspaces.get_mut(workspace) {
            distribution.end(at);
            distribution.update_survival(&prior);
        }
    }

    fn reach(&mut self, workspace: &id::Workspace, from: usize, to: usize) {
        self.service.reach(from, to);
        if !self.workspaces.contains_key(workspace) {
            let prior = self.service.hazards(&self.default_hazards);
            self.workspaces.insert(workspace.clone(), Distribution::open(&prior));
        }
        if let Some(distribution) = self.workspaces.get_mut(workspace) {
            distribution.reach(from, to);
        }
    }
}
