//! What callers and the entry exchange over HTTP.

use std::net::SocketAddr;

use fireflyhoist_policy::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The header that names the workspace of a caller without a bearer key.
pub const WORKSPACE_HEADER: &str = "fireflyhoist-workspace";
/// The response header that repeats the request id of the entry's log lines.
pub const REQUEST_HEADER: &str = "fireflyhoist-request";

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Completion {
    /// The service asked for.
    pub model: SmolStr,
    /// The prompt.
    pub prompt: String,
    /// The most tokens wanted; the service's own bound where absent.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Whether to answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One piece of the answer, as OpenAI-style clients expect it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Choice {
    /// Always zero: one answer to a request.
    pub index: u32,
    /// The piece's text.
    pub text: String,
    /// Why the answer ended, on the last piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<SmolStr>,
}

/// The body of an answer, or of one event of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The generation.
    pub id: SmolStr,
    /// Always `text_completion`.
    pub object: SmolStr,
    /// One piece.
    pub choices: Vec<Choice>,
}

/// One address that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The host.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it serves callers.
    pub address: SocketAddr,
}

/// The answer of `GET /v1/entries`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Entries {
    /// How long the list may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// Addresses, best first.
    pub entries: Vec<Entry>,
}
