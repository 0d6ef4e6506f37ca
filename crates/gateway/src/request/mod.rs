//! What lives as long as a request.

pub(crate) mod admit;
pub(crate) mod attempt;
pub(crate) mod broken;
pub(crate) mod carry;
pub(crate) mod entries;
pub(crate) mod held;
pub(crate) mod plain;
pub(crate) mod probe;
pub(crate) mod pump;
pub(crate) mod refuse;
pub(crate) mod relocate;
pub(crate) mod sse;
pub(crate) mod stream;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::gate;
use fireflyhoist_policy::id;
use fireflyhoist_policy::request::Class;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::route::{Kind, Route, Service, Table};
use fireflyhoist_policy::time::Time;
use futures_util::StreamExt;
use ntex::http::header::HOST;
use ntex::http::{HeaderMap, Method, Payload, Request, Response};
use ntex::io::IoRef;
use ntex::time::timeout;
use ntex::util::{Bytes, BytesMut};
use smol_str::SmolStr;

use crate::platform::{Platform, RequestInfo};
use crate::process::fleet::Fleet;
use crate::process::lane::Lane;
use crate::process::state::{Process, millis};

/// Patience of callers that state none: below the default timeouts of common clients.
const PATIENCE: Duration = Duration::from_secs(30);

/// How long before its caller would leave a request that has not begun is refused, so that the
/// refusal arrives: ten times the way, and what a busy host may take.
const TELL: Duration = Duration::from_millis(300);

/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Urgency at engines, the same for all.
///
/// **Failure:** with ranks as urgencies a full engine stops an answer that runs to begin a more
/// urgent one, and reads it anew later: its caller sees a pause of a second in the middle of a page,
/// and the engine's work is lost. On six heavy days of the two larger deployments 57 to 106 answers a
/// day were stopped, 140 on one of them before, and the worth went from 0.508 and 0.413 to 0.534 and
/// 0.399; with long answers ahead of short ones up to 229 were stopped.
pub(crate) const URGENCY: u8 = 5;

/// One worker thread's context.
#[derive(Clone)]
pub(crate) struct Worker {
    pub(crate) process: Arc<Process>,
    pub(crate) fleet: Arc<Fleet>,
}

impl Worker {
    pub(crate) fn open(process: Arc<Process>, fleet: Arc<Fleet>) -> Self {
        Self { process, fleet }
    }
}

/// A request that may be served, with what was found out about it.
pub(crate) struct Inquiry {
    pub(crate) facts: RequestInfo,
    pub(crate) table: Arc<Table>,
    pub(crate) route: Route,
    pub(crate) service: Service,
    pub(crate) lane: Arc<Lane>,
    pub(crate) workspace: Option<id::Workspace>,
    pub(crate) label: Option<SmolStr>,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What it asks, by which it is known again where it comes back.
    pub(crate) print: Fingerprint,
    /// Whether it was granted a trial that has not arrived at a target yet.
    pub(crate) trial: Cell<bool>,
    /// Since when it has been wanted: from before it came, where it was refused then.
    pub(crate) wanted: Time,
    /// When its answer should have begun.
    pub(crate) objective: Time,
    /// When an answer that has not begun is of no more use: its caller leaves.
    pub(crate) begin_by: Time,
    pub(crate) deadline: Time,
    /// The caller's connection.
    pub(crate) io: Option<IoRef>,
}

impl Inquiry {
    pub(crate) fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// What the gate is asked for the first attempt.
    pub(crate) fn ask(&self, avoid: Option<id::Target>, repeat: bool) -> gate::Request {
        let workspace = self.workspace.clone().unwrap_or_else(nobody);
        let class = if carry::is_long(self) { Class::Overnight } else { Class::Live };
        let (class, limit) = match self.route.kind.is_stream() && self.service.engine.is_some() {
            true => (class, self.facts.max_tokens),
            false => (Class::Lookup, Default::default()),
        };
        gate::Request {
            id: id::Request::new(rand::random()),
            workspace,
            class,
            prompt: self.facts.prompt_tokens,
            limit,
            prefix: fireflyhoist_policy::placement::NO_PREFIX,
            objective: self.objective,
            deadline: self.begin_by,
            avoid,
            retry: repeat,
        }
    }

    fn kind(&self) -> &'static str {
        match self.route.kind {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream { .. } => "stream",
        }
    }
}

/// The workspace of callers that need no key.
fn nobody() -> id::Workspace {
    "public".parse().expect("a fixed name is valid")
}

/// Serves one request from its head to its answer.
pub(crate) async fn serve<P: Platform>(worker: &Worker, request: Request) -> Response {
    let arrived = worker.process.clock.now();
    let open = worker.process.start_request();
    let leaving = worker.process.is_leaving();
    let mut answered = match inquire::<P>(worker, request, arrived).await {
        Ok(inquiry) => {
            let kind = inquiry.kind();
            let id = inquiry.facts.request.clone();
            let route = inquiry.route.name.clone();
            let response = match (held::refused(worker, &inquiry), inquiry.route.kind) {
                (Some(refused), _) => refused,
                (None, Kind::Stream { .. }) => stream::serve::<P>(worker, inquiry, open).await,
                (None, Kind::Safe | Kind::Unsafe) => plain::serve::<P>(worker, &inquiry).await,
            };
            let elapsed = worker.process.clock.now().since(arrived);
            let status = response.status().as_u16();
            worker.process.metrics.request(kind, status, elapsed);
            log::info!(
                request = id.as_str(), kind = kind, route = route.as_str(), status = status,
                ms = millis(elapsed); "answered"
            );
            response
        }
        Err(response) => response,
    };
    if leaving || worker.process.is_leaving() {
        answered.head_mut().set_connection_type(ntex::http::ConnectionType::Close);
    }
    answered
}

/// Finds out what is asked and whether it may be served.
async fn inquire<P: Platform>(
    worker: &Worker,
    mut request: Request,
    arrived: Time,
) -> Result<Inquiry, Response> {
    let facts = P::request_info(request.headers());
    worker.process.wait_for_initial_sync().await;
    let Some(table) = worker.process.table() else {
        return Err(refuse::not_ready(&facts.request));
    };
    let revision = table.text().revision;
    // Two hosts are two routes, and the next hop may choose the other.
    let mut hosts = request.headers().get_all(HOST);
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(refuse::bad_host(&facts.request));
    };
    let host = host.to_str().unwrap_or("");
    let Some(route) = table.route(host, request.path()).cloned() else {
        return Err(refuse::no_route(&facts.request, revision));
    };
    let workspace = match (&facts.key, table.requires_keys() && !route.public) {
        (_, false) => None,
        (Some(key), true) => match table.workspace(key) {
            Some(workspace) => Some(workspace.clone()),
            None => return Err(refuse::unknown_key(&facts.request, revision)),
        },
        (None, true) => return Err(refuse::unknown_key(&facts.request, revision)),
    };
    let limit = usize::try_from(table.text().bounds.body.get()).unwrap_or(usize::MAX);
    let body = match timeout(BODY_TIMEOUT, read(request.take_payload(), limit)).await {
        Ok(Some(body)) => body,
        Ok(None) => return Err(refuse::too_large(&facts.request)),
        Err(()) => return Err(refuse::body_late(&facts.request)),
    };
    let draw = xxhash_rust::xxh3::xxh3_64(facts.request.as_bytes());
    let service = route.service(draw).and_then(|name| table.service(name)).cloned();
    let lane = service.as_ref().and_then(|service| worker.process.lane(&service.name));
    let (Some(service), Some(lane)) = (service, lane) else {
        return Err(refuse::no_target(&facts.request));
    };
    let patience = facts.timeout.unwrap_or(PATIENCE).min(route.timeout);
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let workspace_id = workspace.as_ref().map(|workspace| &workspace.id);
    let print = Fingerprint::of(workspace_id, &path, &body);
    let returned = route.kind.is_stream().then(|| worker.process.first_submitted(print)).flatten();
    let wanted = returned.unwrap_or(arrived);
    if returned.is_some() {
        log::info!(
            request = facts.request.as_str(), wanted_ms = millis(arrived.since(wanted)); "came back"
        );
    }
    let silence = route.silence.map_or(patience, |silence| silence.saturating_sub(TELL));
    Ok(Inquiry {
        print,
        trial: Cell::new(false),
        wanted,
        objective: wanted + route.objective,
        begin_by: arrived + silence.min(patience),
        label: workspace.as_ref().map(|w| w.label.clone()),
        workspace: workspace.map(|w| w.id),
        method: request.method().clone(),
        path,
        headers: end_to_end(request.headers()),
        io: request.io().cloned(),
        facts,
        table,
        route,
        service,
        lane,
        body,
        deadline: arrived + patience,
    })
}

/// Reads a body; `None` where it passes the limit or breaks off.
async fn read(mut payload: Payload, limit: usize) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.ok()?;
        if body.len() + chunk.len() > limit {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
}

/// Headers that concern only one connection.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "proxy-authenticate",
];

/// The headers that go on to the other end, those named in `Connection` left out too.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let text = name.as_str();
        if !HOP_BY_HOP.contains(&text) && !named.iter().any(|named| named == text) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
