//! What callers and the entry exchange over HTTP.

use std::net::SocketAddr;

use fireflyhoist_policy::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The header that names the workspace of a caller without a bearer key.
pub const WORKSPACE_HEADER: &str = "fireflyhoist-workspace";
/// The response header that repeats the request id of the entry's log lines.
pub const REQUEST_HEADER: &str = "fireflyhoist-request";
/// Carries a resume handle: in the response of the entry, and in the request that resumes.
pub const RESUME_HEADER: &str = "fireflyhoist-resume";
/// With the value `restart`, tells the entry that the caller understands `restart` events.
pub const ACCEPT_HEADER: &str = "fireflyhoist-accept";
/// Names the last event that the caller received, as `GENERATION:OFFSET`.
pub const LAST_EVENT_HEADER: &str = "last-event-id";
/// The event that carries the resume handle of the generation that now answers.
pub const RESUME_EVENT: &str = "resume";
/// The event after which a caller discards what it has received.
pub const RESTART_EVENT: &str = "restart";
/// The event that ends an answer unfinished; its data are problem details.
pub const ERROR_EVENT: &str = "error";
/// The data of the event that ends a whole answer.
pub const DONE: &str = "[DONE]";

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

/// Carries the ticket of a call that may not be repeated.
pub const TICKET_HEADER: &str = "idempotency-key";
/// Marks a call that another entry passed on to the issuer of its ticket; it goes no further.
pub const FORWARDED_HEADER: &str = "fireflyhoist-forwarded";
/// Marks the reply of a call that ran before: this request did not run it again.
pub const REPLAYED_HEADER: &str = "fireflyhoist-replayed";

/// The body of `POST /v1/tickets`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Purpose {
    /// The service that the ticket is for.
    pub service: SmolStr,
}

/// The answer of `POST /v1/tickets`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ticket {
    /// The ticket, for the `Idempotency-Key` header of one call.
    pub ticket: SmolStr,
    /// How long it may be used, in milliseconds.
    pub expires_in_ms: u64,
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
