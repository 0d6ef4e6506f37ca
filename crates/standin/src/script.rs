//! What a stand-in engine answers, as a pure function of the prompt.
//!
//! Tests can therefore check every byte. A prompt steers the answer with words: `lines=60` asks
//! for a manifest page of 60 lines, `tokens=500` for 500 tokens, and `salt` puts the generation
//! into every token, so that two generations spliced together are seen. The one exception to
//! purity is `stamp`, which puts the time of writing into every token, so that a measurement can
//! tell how long each took to arrive.

use std::time::{SystemTime, UNIX_EPOCH};

use fireflyhoist_policy::id;
use xxhash_rust::xxh3::xxh3_64;

const VILLAGES: [&str; 6] = ["Lhotka", "Strakonice", "Opava", "Tábor", "Vsetín", "Žďár"];
const NAMES: [&str; 6] = ["Novák", "Dvořáková", "Hansen", "Svoboda", "Černá", "Olsen"];
const TOKENS_PER_LINE: u64 = 4;

/// One answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    seed: u64,
    salt: Option<id::Generation>,
    stamp: bool,
    length: u64,
}

impl Script {
    /// The answer to `prompt` by `generation`, of at most `max_tokens`.
    pub fn of(prompt: &str, generation: id::Generation, max_tokens: u64) -> Self {
        let seed = xxh3_64(prompt.as_bytes());
        let wanted = number(prompt, "tokens=")
            .or_else(|| number(prompt, "lines=").map(|lines| lines * TOKENS_PER_LINE))
            .unwrap_or_else(|| heavy_tail(seed));
        let says = |wanted: &str| prompt.split_whitespace().any(|word| word == wanted);
        Self {
            seed,
            salt: says("salt").then_some(generation),
            stamp: says("stamp"),
            length: wanted.min(max_tokens),
        }
    }

    /// How many tokens it holds.
    pub fn len(&self) -> u64 {
        self.length
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The token at `offset`.
    pub fn token(&self, offset: u64) -> String {
        if let Some(generation) = self.salt {
            return format!("{generation}:{offset}\n");
        }
        if self.stamp {
            return micros_now().to_string();
        }
        let line = offset / TOKENS_PER_LINE;
        let draw = xxh3_64(&(self.seed ^ line).to_le_bytes());
        match offset % TOKENS_PER_LINE {
            0 => format!("{:03} ", line + 1),
            1 => format!("{} ", pick(&NAMES, draw)),
            2 => format!("{:02} ", draw % 80),
            _ => format!("{}\n", pick(&VILLAGES, draw >> 8)),
        }
    }

    /// The whole answer.
    pub fn text(&self) -> String {
        (0..self.length).map(|offset| self.token(offset)).collect()
    }
}

/// Microseconds since the epoch, comparable between the processes of one machine.
pub fn micros_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

fn pick<'a>(list: &[&'a str], draw: u64) -> &'a str {
    list[(draw % list.len() as u64) as usize]
}

fn number(prompt: &str, key: &str) -> Option<u64> {
    prompt.split_whitespace().find_map(|word| word.strip_prefix(key)?.parse().ok())
}

/// Lengths from a few to tens of thousands of tokens, most of them short (Pareto, shape 1.1).
fn heavy_tail(seed: u64) -> u64 {
    let uniform = (seed >> 11) as f64 / (1u64 << 53) as f64;
    let length = 20.0 / (1.0 - uniform).max(1e-4).powf(1.0 / 1.1);
    (length as u64).min(40_000)
}
