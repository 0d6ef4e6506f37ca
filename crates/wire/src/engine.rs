//! What the entry and a model engine exchange over HTTP.

use fireflyhoist_policy::gate::Report;
use fireflyhoist_policy::id;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

/// The request header by which an entry names itself as the reader of a stream.
///
/// A cancel that names a reader ends the stream only while that reader is the latest to have opened
/// it, so an entry that wakes up late cannot end what its caller has taken up elsewhere.
pub const READER_HEADER: &str = "fireflyhoist-reader";

/// The body of `POST /v1/streams`: begin a generation under an id that the entry chose.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// The generation; a second start with it does not run a second time.
    pub generation: id::Generation,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u64,
    /// Smaller is served first.
    pub priority: u8,
}

/// The data of one token event; its SSE id is the token's offset.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Token {
    /// The token's text.
    pub text: String,
}

/// The data of one token event, its text left in the JSON form that the engine sent.
///
/// Relays hand the text on as it is; decoding and encoding it again took more time than all else
/// that they do to a token.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RawToken<'a> {
    /// The token's text as a JSON string.
    #[serde(borrow)]
    pub text: &'a RawValue,
}

/// The data of the `end` event.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct End {
    /// `stop` or `length`.
    pub reason: SmolStr,
    /// Tokens generated in all.
    pub tokens: u64,
    /// How often the engine preempted the generation.
    #[serde(default)]
    pub preemptions: u32,
}

/// The answer of `GET /v1/load`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// How long ago the figures were taken, in milliseconds.
    pub age_ms: u64,
    /// The figures.
    pub report: Report,
}
