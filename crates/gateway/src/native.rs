//! The product's own wire format, for deployments without a platform of their own: what callers,
//! targets and registries send and receive.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::cordon;
use fireflyhoist_policy::feature;
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease;
use fireflyhoist_policy::plausible::{MAX_INTEGER, is_start};
use fireflyhoist_policy::route::Text;
use fireflyhoist_policy::target_limit::Advertisement;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_wire::caller::{
    Entries, Entry, LAST_EVENT_HEADER, REQUEST_HEADER, WORKSPACE_HEADER,
};
use ntex::http::header::AUTHORIZATION;
use ntex::http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::header::{number, rest, resumed, set, text};
use crate::json::{self, Body};
use crate::platform::{
    Call, Copy, DecodeError, Dialect, EngineApi, Item, Moved, Page, Registry, Reply, RequestInfo,
    Resource, TargetHeaders,
};
use crate::uri;

/// Milliseconds left for a request.
pub const TIMEOUT_HEADER: &str = "fireflyhoist-timeout-ms";
/// Number of tokens in the prompt.
pub const PROMPT_TOKENS_HEADER: &str = "fireflyhoist-prompt-tokens";
/// Most tokens that the answer may have.
pub const MAX_TOKENS_HEADER: &str = "fireflyhoist-max-tokens";
/// The ids of the parts of the prompt in their order, separated by commas; the last belongs to the
/// request alone.
pub const PROMPT_PARTS_HEADER: &str = "fireflyhoist-prompt-parts";
/// The caller's estimate of the tokens in the answer.
pub const EXPECTED_TOKENS_HEADER: &str = "fireflyhoist-expected-tokens";
/// The instance that must answer the request; any other declines it.
pub const INSTANCE_HEADER: &str = "fireflyhoist-instance";
/// The request id of the attempt that brought the first event of a stream that is taken up again.
pub const RESUMED_HEADER: &str = "fireflyhoist-resumed-request";
/// Rank in the engine's queue; 0 goes first.
pub const RANK_HEADER: &str = "fireflyhoist-rank";
/// Address of the engine that keeps a copy of the run.
pub const BACKUP_HEADER: &str = "fireflyhoist-backup";
/// `ADDRESS/NAME` of the copy from which the run resumes.
pub const COPY_HEADER: &str = "fireflyhoist-copy";
/// Requests a second that an overloaded target accepts from all entries together.
pub const RATE_LIMIT_HEADER: &str = "fireflyhoist-takes-per-s";
/// Number of times the registry was restored from an older copy; set in all its replies.
pub const ERA_HEADER: &str = "fireflyhoist-registry-era";
/// Set to `1` in all responses of a target that leaves.
pub const LEAVING_HEADER: &str = "fireflyhoist-leaving";
/// Set in all responses of a fragile target: the requests a second that it can reject before it
/// crashes.
pub const FRAGILE_HEADER: &str = "fireflyhoist-fragile";
/// Set by a target that did not run the request.
pub const DECLINED_HEADER: &str = "fireflyhoist-declined";

/// Headers that only an entry may set on a request to a target; those of callers are removed.
const RESERVED_HEADERS: [&str; 7] = [
    "authorization",
    WORKSPACE_HEADER,
    INSTANCE_HEADER,
    RANK_HEADER,
    BACKUP_HEADER,
    COPY_HEADER,
    TIMEOUT_HEADER,
];

/// The product's own wire format.
#[derive(Clone, Copy, Debug)]
pub enum Native {}

impl Dialect for Native {
    const READINESS: &'static str = "/readyz";

    fn request_info(headers: &HeaderMap) -> RequestInfo {
        let tokens = |name| Tokens::new(number(headers, name).unwrap_or_default());
        let key = text(headers, AUTHORIZATION.as_str());
        let parts = text(headers, PROMPT_PARTS_HEADER).into_iter();
        let parts = parts.flat_map(|parts| parts.split(',')).map(str::trim);
        RequestInfo {
            request: text(headers, REQUEST_HEADER).unwrap_or_default().into(),
            timeout: number(headers, TIMEOUT_HEADER).map(Duration::from_millis),
            key: key.and_then(|key| key.strip_prefix("Bearer ")).map(SmolStr::from),
            prompt_tokens: tokens(PROMPT_TOKENS_HEADER),
            max_tokens: tokens(MAX_TOKENS_HEADER),
            expected_tokens: number(headers, EXPECTED_TOKENS_HEADER).map(Tokens::new),
            last_event: number(headers, LAST_EVENT_HEADER),
            resumed: resumed(headers, RESUMED_HEADER),
            features: feature::of_request(None, parts),
        }
    }

    fn set_target_headers(headers: &mut HeaderMap, values: &TargetHeaders<'_>) {
        for name in RESERVED_HEADERS {
            headers.remove(name);
        }
        set(headers, TIMEOUT_HEADER, &values.timeout.as_millis().to_string());
        set(headers, INSTANCE_HEADER, values.instance);
        set(headers, RANK_HEADER, &values.rank.to_string());
        if let Some(workspace) = values.workspace {
            set(headers, WORKSPACE_HEADER, workspace);
        }
        if let Some(backup) = values.backup {
            set(headers, BACKUP_HEADER, &backup.to_string());
        }
        if let Some(Copy { at, name }) = values.copy {
            set(headers, COPY_HEADER, &format!("{at}/{name}"));
        }
        if let Some(last) = values.last_event {
            set(headers, LAST_EVENT_HEADER, &last.to_string());
        }
    }

    fn reply(status: StatusCode, headers: &HeaderMap) -> Reply {
        Reply {
            request: text(headers, REQUEST_HEADER).map(SmolStr::from),
            declined: headers.contains_key(DECLINED_HEADER),
            misdirected: status == StatusCode::MISDIRECTED_REQUEST,
            limit: text(headers, RATE_LIMIT_HEADER).map(Advertisement::parse).unwrap_or_default(),
            leaving: text(headers, LEAVING_HEADER) == Some("1"),
            tolerance: text(headers, FRAGILE_HEADER).and_then(|text| text.parse().ok()),
            rest: rest(status, headers),
        }
    }

    fn entries_query(path: &str, query: &str) -> Option<SmolStr> {
        let domain = || uri::query_parameter(query, "domain").unwrap_or_default().into();
        (path == "/v1/entries").then(domain)
    }

    fn encode_entries(members: &[Entry], ttl: Duration) -> Vec<u8> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let entries = Entries { ttl_ms, entries: members.to_vec() };
        serde_json::to_vec(&entries).expect("names, addresses and a number are JSON")
    }
}

/// The reply of a registry to a list or watch call.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Listing {
    /// The registry's revision at the time of the reply.
    pub revision: u64,
    /// The text, where it was requested or has changed.
    #[serde(default)]
    pub text: Option<Text>,
    /// Targets that were written or removed.
    #[serde(default)]
    pub targets: Vec<lease::Change>,
    /// Failure domains that were cordoned or whose cordon was lifted; sent along with the text.
    #[serde(default)]
    pub cordons: Vec<cordon::Change>,
}

/// A [`Listing`] whose parts are not decoded yet.
#[derive(Deserialize)]
struct RawListing<'a> {
    revision: u64,
    #[serde(borrow, default)]
    text: Option<&'a RawValue>,
    #[serde(borrow, default)]
    targets: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    cordons: Vec<&'a RawValue>,
}

/// The name in a written target that is otherwise invalid.
#[derive(Deserialize)]
struct Named {
    put: NamedTarget,
}

#[derive(Deserialize)]
struct NamedTarget {
    id: id::Target,
}

impl Listing {
    /// Decodes each part by itself: one that is invalid must not hide the others.
    fn decode(body: &[u8]) -> Result<Page, DecodeError> {
        let body = Body::new(body);
        let listing: RawListing<'_> = body.decode()?;
        let text = listing.text.into_iter().map(|raw| decode_text(&body, raw));
        let targets = listing.targets.into_iter().flat_map(|raw| decode_target(&body, raw));
        let cordons = listing.cordons.into_iter().map(|raw| decode_cordon(&body, raw));
        let items = text.chain(targets).chain(cordons).collect();
        Ok(Page { items, next: None, revision: listing.revision })
    }
}

fn decode_text(body: &Body<'_>, raw: &RawValue) -> Result<Item, DecodeError> {
    let decode = || {
        let text: Text = body.decode_part(raw)?;
        text.check().map_err(DecodeError::new)?;
        Ok(Item::Text(Box::new(text)))
    };
    decode().map_err(|error: DecodeError| error.in_entry("text"))
}

fn decode_cordon(body: &Body<'_>, raw: &RawValue) -> Result<Item, DecodeError> {
    body.decode_part(raw).map(Item::Cordon).map_err(|error| error.in_entry("cordon"))
}

/// Decodes a change of a target. One that cannot be decoded removes the target that it names.
fn decode_target(body: &Body<'_>, raw: &RawValue) -> Vec<Result<Item, DecodeError>> {
    let decode = || {
        let change = body.decode_part(raw)?;
        if let lease::Change::Put(target) = &change {
            target.check().map_err(DecodeError::new)?;
        }
        Ok(Item::Target(with_software(change)))
    };
    let error: DecodeError = match decode() {
        Ok(item) => return vec![Ok(item)],
        Err(error) => error,
    };
    match json::decode_object::<Named>(raw.get().as_bytes()) {
        Ok(Named { put: NamedTarget { id } }) => {
            let error = Err(error.in_entry(id.as_str()));
            vec![error, Ok(Item::Target(lease::Change::Gone(id)))]
        }
        Err(_) => vec![Err(error.in_entry("target"))],
    }
}

/// Gives a target without a version the empty one: this registry lists versions where there are any.
fn with_software(change: lease::Change) -> lease::Change {
    match change {
        lease::Change::Put(target) => {
            let software = Some(target.software.clone().unwrap_or_default());
            lease::Change::Put(lease::Target { software, ..target })
        }
        gone @ lease::Change::Gone(_) => gone,
    }
}

impl Registry for Native {
    fn era(headers: &HeaderMap) -> Option<u64> {
        number(headers, ERA_HEADER).filter(|era| *era < MAX_INTEGER)
    }

    fn list_path(what: Resource, _: Option<&str>) -> String {
        format!("/v1/registry/{what}")
    }

    fn watch_path(what: Resource, since: u64, wait: Duration) -> String {
        format!("/v1/registry/{what}?since={since}&wait_ms={}", wait.as_millis())
    }

    fn decode_list(_: Resource, body: &[u8]) -> Result<Page, DecodeError> {
        Listing::decode(body)
    }

    fn decode_watch(_: Resource, body: &[u8]) -> Result<Page, DecodeError> {
        Listing::decode(body)
    }
}

/// The body of `POST /v1/runs/REQUEST/move`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Move {
    /// The engine to move the run to.
    pub to: SocketAddr,
    /// Whether the run stops before the copy, which is then the last one.
    pub last: bool,
}

/// The reply to a move request.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Copied {
    /// The copy's name at the engine that was called.
    #[serde(default)]
    pub copy: Option<SmolStr>,
}

/// The part of an engine's reply to `GET /v1/report` that a gateway reads.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Whether the engine will stop soon.
    #[serde(default)]
    pub leaving: bool,
    /// When it started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<lease::Start>,
}

/// The part of a [`Report`] that says whether its engine leaves. Each is decoded by itself, so that
/// an invalid one does not hide the other.
#[derive(Deserialize)]
struct Leaving {
    leaving: bool,
}

/// The part of a [`Report`] that says when its engine started.
#[derive(Deserialize)]
struct Started {
    start: Option<lease::Start>,
}

impl EngineApi for Native {
    fn move_run(request: &str, to: SocketAddr, last: bool) -> Call {
        let body = serde_json::to_vec(&Move { to, last }).expect("a move is JSON");
        let path = format!("/v1/runs/{}/move", uri::segment(request));
        Call { method: Method::POST, path, body }
    }

    fn delete_copy(name: &str) -> Call {
        let path = format!("/v1/copies/{}", uri::segment(name));
        Call { method: Method::DELETE, path, body: Vec::new() }
    }

    fn report() -> Call {
        Call { method: Method::GET, path: "/v1/report".to_owned(), body: Vec::new() }
    }

    fn is_draining(status: StatusCode, body: &[u8]) -> bool {
        let report = json::decode_object::<Leaving>(body);
        status == StatusCode::OK && report.is_ok_and(|report| report.leaving)
    }

    fn report_start(body: &[u8]) -> Option<lease::Start> {
        json::decode_object::<Started>(body).ok()?.start.filter(|start| is_start(*start))
    }

    fn decode_move(status: StatusCode, body: &[u8]) -> Moved {
        match serde_json::from_slice::<Copied>(body) {
            Ok(copied) => Moved::new(status, copied.copy),
            Err(_) => Moved::unread(status, body),
        }
    }
}
