//! The wire format of a deployment, behind small traits.
//!
//! Implementations only translate and make no decisions. Each is a type without values that is
//! chosen at compile time, so the request path calls it without dynamic dispatch.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::cordon;
use fireflyhoist_policy::feature::Feature;
use fireflyhoist_policy::fragility::Tolerance;
use fireflyhoist_policy::lease::{self, Start};
use fireflyhoist_policy::route::Text;
use fireflyhoist_policy::target_limit::Advertisement;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_wire::caller::Entry;
use ntex::http::{HeaderMap, Method, StatusCode};
use smol_str::SmolStr;

use crate::header;

/// What a caller's headers say about its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The caller's id of this attempt.
    pub request: SmolStr,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<SmolStr>,
    /// Number of tokens in the prompt; zero where the request is no generation.
    pub prompt_tokens: Tokens,
    /// Most tokens that the answer may have; zero where the request is no generation.
    pub max_tokens: Tokens,
    /// The caller's estimate of the tokens in the answer: right at the median, often far off for a
    /// single request.
    pub expected_tokens: Option<Tokens>,
    /// The last event that the caller received on an earlier attempt.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that this one takes up again.
    pub resumed: Resumed,
    /// What the request has in common with others.
    pub features: Vec<Feature>,
}

/// Longest id of a request that an attempt may name, in bytes.
const MAX_RESUMED_BYTES: usize = 64;

/// The attempt that a request names as the one that brought the first event of its stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Resumed {
    /// It names none.
    #[default]
    None,
    /// It names this one.
    Attempt(SmolStr),
    /// What it names is no id of one attempt.
    Invalid,
}

impl Resumed {
    /// Reads the values of the header that names the attempt.
    pub fn parse<'a>(mut values: impl Iterator<Item = Option<&'a str>>) -> Self {
        let permitted = |c: char| c.is_ascii_graphic() && c != ',';
        match (values.next(), values.next()) {
            (None, _) => Self::None,
            (Some(Some(id)), None)
                if (1..=MAX_RESUMED_BYTES).contains(&id.len()) && id.chars().all(permitted) =>
            {
                Self::Attempt(id.into())
            }
            (Some(_), _) => Self::Invalid,
        }
    }
}

/// A copy of a run's engine memory, from which another target resumes the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The engine that made or holds the copy.
    pub at: SocketAddr,
    /// The copy's name there.
    pub name: SmolStr,
}

/// What the headers say that the gateway sets on a request to a target.
#[derive(Clone, Debug)]
pub struct TargetHeaders<'a> {
    /// The instance that must answer the request; any other declines it.
    pub instance: &'a str,
    /// Time left for the request.
    pub timeout: Duration,
    /// The workspace under the name that targets know.
    pub workspace: Option<&'a str>,
    /// The engine that keeps a copy of the run while it grows.
    pub backup: Option<SocketAddr>,
    /// The copy from which the run resumes.
    pub copy: Option<&'a Copy>,
    /// The last event that was delivered to the caller.
    pub last_event: Option<u64>,
    /// Rank in the engine's queue; 0 goes first.
    pub rank: u8,
}

/// What a target's response says about the request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The id of the request that is answered, where the target names it.
    pub request: Option<SmolStr>,
    /// Whether the target declined the request without running it.
    pub declined: bool,
    /// Whether another instance answers at the target's address.
    pub misdirected: bool,
    /// The limit that the target advertises.
    pub limit: Advertisement,
    /// Whether the target says that it leaves.
    pub leaving: bool,
    /// How many requests a second the target can reject before it crashes, if it says that it is
    /// fragile.
    pub tolerance: Option<Tolerance>,
    /// How long the target wants nothing more from this entry. Only a target that turns a request
    /// away asks for it.
    pub rest: Option<Duration>,
}

/// Headers of requests and responses, and the endpoints that callers use beside routes.
pub trait Dialect: 'static {
    /// The path of the readiness check.
    const READINESS: &'static str;

    /// Reads the headers of a caller's request.
    fn request_info(headers: &HeaderMap) -> RequestInfo;

    /// Sets the headers that only the gateway may set, in place of whatever the caller sent.
    fn set_target_headers(headers: &mut HeaderMap, values: &TargetHeaders<'_>);

    /// Reads the headers of a target's response.
    fn reply(status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Returns the failure domain of a caller that asks for the addresses of entries, empty where
    /// it names none; `None` where the request is not such a query.
    fn entries_query(path: &str, query: &str) -> Option<SmolStr>;

    /// Encodes the answer to such a query, with entries in the order in which to use them.
    fn encode_entries(entries: &[Entry], ttl: Duration) -> Vec<u8>;
}

/// What is listed and watched at the registry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Resource {
    /// The operators' configuration text, and cordons.
    #[display("text")]
    Text,
    /// The targets.
    #[display("targets")]
    Targets,
}

/// One item of a registry reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A version of the configuration text.
    Text(Box<Text>),
    /// A target was written or removed.
    Target(lease::Change),
    /// A failure domain was cordoned, or its cordon lifted; read along with texts.
    Cordon(cordon::Change),
}

/// A registry reply, or an item of one, that cannot be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{what}; the registry must write what this release reads")]
pub struct DecodeError {
    /// What is wrong with it.
    pub what: String,
}

/// The longest part of a reason that is kept, in bytes; reasons may quote values of any length.
const MAX_REASON_BYTES: usize = 200;

impl DecodeError {
    /// Creates an error from its reason.
    ///
    /// Positions are left out: the same entry is at another one in each reply, and errors that are equal
    /// are logged once.
    pub fn new(reason: impl std::fmt::Display) -> Self {
        let reason = reason.to_string();
        let reason = reason.split(" at line ").next().unwrap_or_default();
        Self { what: shorten(reason) }
    }

    /// Returns the same for the entry with this key.
    pub fn in_entry(self, key: &str) -> Self {
        Self { what: format!("{}: {}", shorten(key), self.what) }
    }
}

/// Returns the beginning of a text, without characters that log lines may not have.
pub(crate) fn shorten(text: &str) -> String {
    let short = &text[..text.floor_char_boundary(MAX_REASON_BYTES)];
    let ellipsis = if short.len() < text.len() { "..." } else { "" };
    let mut shown: String = short.chars().flat_map(char::escape_debug).collect();
    shown.truncate(shown.floor_char_boundary(MAX_REASON_BYTES));
    format!("{shown}{ellipsis}")
}

/// The content of one registry reply.
#[derive(Debug)]
pub struct Page {
    /// Items; one that cannot be decoded is the error with its reason.
    pub items: Vec<Result<Item, DecodeError>>,
    /// Where the next page of a list begins; `None` on the last page.
    pub next: Option<SmolStr>,
    /// The registry's revision at the time of the reply.
    pub revision: u64,
}

/// Read access to the registry of texts and targets.
pub trait Registry: 'static {
    /// Returns the number of times the registry was restored from an older copy; `None` where it
    /// does not report it.
    fn era(headers: &HeaderMap) -> Option<u64>;

    /// Returns the path and query of a list call, for the page that begins at `after`.
    fn list_path(resource: Resource, after: Option<&str>) -> String;

    /// Returns the path and query of a watch call, which waits up to `wait` for changes after
    /// revision `since`.
    fn watch_path(resource: Resource, since: u64, wait: Duration) -> String;

    /// Decodes the reply to a list call.
    fn decode_list(resource: Resource, body: &[u8]) -> Result<Page, DecodeError>;

    /// Decodes the reply to a watch call.
    fn decode_watch(resource: Resource, body: &[u8]) -> Result<Page, DecodeError>;
}

/// An HTTP call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// The result of moving a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Moved {
    /// The copy is complete.
    Copied {
        /// The copy's name at the engine that the run leaves.
        name: SmolStr,
    },
    /// The engine does not run the request.
    NoRun,
    /// Another move of the same run is in progress.
    Busy,
    /// The destination has no room or cannot be reached.
    Refused {
        /// The copy at the source, where the run was stopped first.
        name: Option<SmolStr>,
    },
    /// The engine did nothing, and says so.
    Declined,
    /// The reply does not say what the call did.
    Unclear,
}

/// The longest name of a copy, in bytes. It goes into headers, paths and log lines.
const MAX_COPY_NAME_BYTES: usize = 1_024;

/// Returns whether a copy of this name can be resumed from and deleted: a header and a segment of a path
/// can stand for it.
fn is_copy_name(name: &str) -> bool {
    (1..=MAX_COPY_NAME_BYTES).contains(&name.len())
        && header::value(name).is_some()
        && ![".", ".."].contains(&name)
}

impl Moved {
    /// Interprets the status of a reply, and the copy that it names.
    pub fn new(status: StatusCode, name: Option<SmolStr>) -> Self {
        match (status, name) {
            (StatusCode::NOT_FOUND, _) => Self::NoRun,
            (StatusCode::CONFLICT, _) => Self::Busy,
            (_, Some(name)) if !is_copy_name(&name) => Self::Unclear,
            (StatusCode::OK, Some(name)) => Self::Copied { name },
            (_, Some(name)) => Self::Refused { name: Some(name) },
            (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, None) => {
                Self::Refused { name: None }
            }
            (_, None) => Self::Unclear,
        }
    }

    /// Interprets the status of a reply whose body can't be read. It may have named a copy, unless it is
    /// empty.
    pub fn unread(status: StatusCode, body: &[u8]) -> Self {
        match Self::new(status, None) {
            Self::Refused { .. } if !body.is_empty() => Self::Unclear,
            moved => moved,
        }
    }
}

/// Calls to engines other than requests of callers.
pub trait EngineApi: 'static {
    /// Copies a run's memory to another engine; with `last` the run is stopped first.
    fn move_run(request: &str, to: SocketAddr, last: bool) -> Call;

    /// Frees a copy that no run resumes from, at the engine that made or holds it.
    fn delete_copy(name: &str) -> Call;

    /// Requests an engine's report on its own state.
    fn report() -> Call;

    /// Returns whether the body of an engine's report says that it drains.
    fn is_draining(status: StatusCode, body: &[u8]) -> bool;

    /// Returns when the engine started, if the body of its report says so.
    fn report_start(body: &[u8]) -> Option<Start>;

    /// Decodes the reply to a move.
    fn decode_move(status: StatusCode, body: &[u8]) -> Moved;
}

/// The whole wire format of a deployment.
pub trait Platform: Dialect + Registry + EngineApi {}

impl<T: Dialect + Registry + EngineApi> Platform for T {}
