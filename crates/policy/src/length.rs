//! How long an answer will be, given what it has produced so far.
//!
//! Load pattern: answers from a few to tens of thousands of tokens, unknown ahead. Without a
//! prediction an entry must either reserve the caller's limit, which in `brno-night` leaves two
//! thirds of the engines' best unused, or send blindly and have memory run out in the middle.
//!
//! A [`Law`] holds, for each bucket of lengths, how many answers reached it and how many ended in
//! it. Their ratio is a hazard, and running answers count from the first bucket on, so that long
//! ones, which end last, don't go missing from the picture (the product-limit estimate). A
//! workspace's hazards lean on those of its service while it has few answers of its own, and these
//! on a heavy-tailed law while the process is young.

use std::collections::BTreeMap;

use crate::id;

/// Buckets for each doubling of length; four keep neighbours within a fifth of each other.
const PER_OCTAVE: usize = 4;

/// Buckets up to 65,536 tokens, beyond the longest answers in use.
const BUCKETS: usize = 16 * PER_OCTAVE;

/// Answers that the next wider law is worth beside a workspace's own.
const PRIOR: f32 = 12.0;

/// The law is halved when it has seen so many ends, so that it follows a change of habits.
const MEMORY: f32 = 2_000.0;

/// Hazard of a bucket before anything is known: lengths fall as a power law with exponent 1,
/// heavier than any seen, so that ignorance reserves rather than floods.
const UNKNOWN: f32 = 0.16;

/// Before anything is known, answers shorter than this many tokens hardly end.
const UNKNOWN_FROM: u64 = 32;

fn bucket(tokens: u64) -> usize {
    let scaled = (tokens.max(1) as f32).log2() * PER_OCTAVE as f32;
    (scaled as usize).min(BUCKETS - 1)
}

fn start(bucket: usize) -> f32 {
    (bucket as f32 / PER_OCTAVE as f32).exp2()
}

/// The lengths of one workspace or one service.
#[derive(Clone, Debug)]
pub struct Law {
    reached: [f32; BUCKETS],
    ended: [f32; BUCKETS],
    /// Chance to be at least as long as the start of each bucket, from the hazards.
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

    /// Works the survival out anew.
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

    /// The chance that an answer has at least `tokens`.
    pub fn survival(&self, tokens: u64) -> f32 {
        let at = bucket(tokens);
        let (low, high) = (start(at), start(at + 1));
        let part = ((tokens as f32 - low) / (high - low)).clamp(0.0, 1.0);
        self.survival[at] + (self.survival[at + 1] - self.survival[at]) * part
    }

    /// Expected length in all of an answer that has produced `produced` and may not pass `limit`.
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

/// How far one running answer has been counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mark(u8);

/// The laws of one service and its workspaces.
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
    /// Opens a book that has seen no answer.
    pub fn open() -> Self {
        let from = bucket(UNKNOWN_FROM);
        let unknown = std::array::from_fn(|at| if at < from { 0.002 } else { UNKNOWN });
        Self { unknown, service: Law::open(&unknown), workspaces: BTreeMap::new() }
    }

    /// The law to predict by for a workspace.
    pub fn law(&self, workspace: &id::Workspace) -> &Law {
        self.workspaces.get(workspace).unwrap_or(&self.service)
    }

    /// Counts an answer that begins.
    pub fn begin(&mut self, workspace: &id::Workspace) -> Mark {
        self.reach(workspace, 0, 1);
        Mark(1)
    }

    /// Counts how far an answer has come.
    pub fn advance(&mut self, workspace: &id::Workspace, mark: &mut Mark, produced: u64) {
        let to = bucket(produced) + 1;
        let from = usize::from(mark.0);
        if to > from {
            self.reach(workspace, from, to);
            mark.0 = u8::try_from(to).unwrap_or(u8::MAX);
        }
    }

    /// Counts a whole answer of `produced` tokens.
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
