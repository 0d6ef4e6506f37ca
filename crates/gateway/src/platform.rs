//! What a deployment's wire looks like, behind small traits.
//!
//! Implementations translate and decide nothing. Each is a type without values, chosen at compile
//! time, so that the request path calls it directly.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::cordon;
use fireflyhoist_policy::lease;
use fireflyhoist_policy::route::Text;
use fireflyhoist_policy::target_limit::Advertisement;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_wire::caller::Entry;
use ntex::http::{HeaderMap, Method, StatusCode};
use smol_str::SmolStr;

/// What a caller says about its request, beside method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// The caller's name for this attempt.
    pub request: SmolStr,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// The key that it shows.
    pub key: Option<SmolStr>,
    /// Tokens of the prompt; zero where it is no generation.
    pub prompt: Tokens,
    /// The most tokens of the answer; zero where it is no generation.
    pub limit: Tokens,
    /// The caller's guess at the tokens of the answer, right at the median and often far off.
    pub guess: Option<Tokens>,
    /// The last event that the caller has of an earlier attempt.
    pub last_event: Option<u64>,
}

/// A copy of a run's memory, from which another target goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The engine that made or holds the copy.
    pub at: SocketAddr,
    /// The copy's name there.
    pub name: SmolStr,
}

/// What the gateway adds to a request on its way to a target.
#[derive(Clone, Debug)]
pub struct Stamp<'a> {
    /// The instance that must answer; any other declines.
    pub instance: &'a str,
    /// Time left.
    pub left: Duration,
    /// The workspace as targets are told it.
    pub workspace: Option<&'a str>,
    /// The engine that keeps a copy of the run as it grows.
    pub backup: Option<SocketAddr>,
    /// Where the run goes on from.
    pub copy: Option<&'a Copy>,
    /// The last event delivered.
    pub last_event: Option<u64>,
    /// Rank at the engine; 0 goes first.
    pub urgency: u8,
}

/// What a target's response says about the request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The request that it answers, where it says so.
    pub request: Option<SmolStr>,
    /// Whether the target says that it did not run it.
    pub declined: bool,
    /// Whether another instance answers at the target's address.
    pub misdirected: bool,
    /// What the target says it takes.
    pub limit: Advertisement,
}

/// Headers of requests and responses.
pub trait Dialect: 'static {
    /// The path on which a host says whether it is ready.
    const READINESS: &'static str;

    /// Reads what a caller says about its request.
    fn facts(headers: &HeaderMap) -> Facts;

    /// Replaces what only the system may say, whatever the caller sent, by what it says.
    fn stamp(headers: &mut HeaderMap, stamp: &Stamp<'_>);

    /// Reads what a target says.
    fn reply(status: StatusCode, headers: &HeaderMap) -> Reply;

    /// The domain in which a caller that asks for addresses stands, or `None` where this is no
    /// such question.
    fn asks_entries(path: &str, query: &str) -> Option<SmolStr>;

    /// The answer with entries in the order in which to use them.
    fn entries(entries: &[Entry], ttl: Duration) -> Vec<u8>;
}

/// What is read from the registry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum What {
    /// The operators' text, and cordons.
    #[display("text")]
    Text,
    /// Targets.
    #[display("targets")]
    Targets,
}

/// One thing read.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A version of the text.
    Text(Box<Text>),
    /// A target was written or is gone.
    Target(lease::Change),
    /// A failure domain was cordoned, or its cordon lifted; read along with texts.
    Cordon(cordon::Change),
}

/// A reply of the registry that cannot be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{what}; the registry must write what this release reads")]
pub struct DecodeError {
    /// What is wrong.
    pub what: String,
}

/// What one call of the registry returned.
#[derive(Debug)]
pub struct Page {
    /// Things read, those that cannot be understood with the reason.
    pub items: Vec<Result<Item, DecodeError>>,
    /// From where the list goes on.
    pub next: Option<SmolStr>,
    /// The registry's revision at the time.
    pub revision: u64,
}

/// The registry of texts and targets, which can only be read.
pub trait Registry: 'static {
    /// How often the registry says that it came back from a copy; `None` where it says nothing.
    fn era(headers: &HeaderMap) -> Option<u64>;

    /// The path and query of a list call.
    fn list(what: What, after: Option<&str>) -> String;

    /// The path and query of a call that waits for changes.
    fn watch(what: What, since: u64, wait: Duration) -> String;

    /// Reads the reply of a list call.
    fn page(what: What, body: &[u8]) -> Result<Page, DecodeError>;

    /// Reads the reply of a watch call.
    fn news(what: What, body: &[u8]) -> Result<Page, DecodeError>;
}

/// A call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// How a move ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Moved {
    /// The copy is complete.
    Copied {
        /// Its name at the engine that it left.
        name: SmolStr,
    },
    /// The engine runs no such request.
    NoRun,
    /// Another call for the same run is under way.
    Busy,
    /// No room, or the destination cannot be reached; the name is that of a run that was stopped.
    Refused {
        /// What the source keeps, where it stopped.
        name: Option<SmolStr>,
    },
}

/// Calls to engines beside requests.
pub trait Engines: 'static {
    /// Copies a run's memory to another engine; `last` stops it first.
    fn move_run(request: &str, to: SocketAddr, last: bool) -> Call;

    /// Frees a copy that nobody goes on from, at the engine that made or holds it.
    fn drop_copy(name: &str) -> Call;

    /// Asks an engine for its own state.
    fn report() -> Call;

    /// Whether an engine's reply says that it leaves.
    fn leaves(status: StatusCode, body: &[u8]) -> bool;

    /// Reads the reply of a move.
    fn moved(status: StatusCode, body: &[u8]) -> Moved;
}

/// All of a deployment's wire.
pub trait Platform: Dialect + Registry + Engines {}

impl<T: Dialect + Registry + Engines> Platform for T {}
