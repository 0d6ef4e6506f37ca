//! Problem details (RFC 9457) of every refusal.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::caller::Entries;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of it was written to any target, or the target itself declined it.
    No,
    /// Nobody can tell.
    Unknown,
    /// It ran, once: this is a repeat, and the reply is not kept.
    Yes,
}

/// The body of a refusal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Problem {
    /// A name for programs, such as `queue-full`.
    #[serde(rename = "type")]
    pub kind: SmolStr,
    /// A name for people.
    pub title: SmolStr,
    /// The HTTP status.
    pub status: u16,
    /// What to do.
    pub detail: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other addresses to use, from an entry that is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Entries>,
}
