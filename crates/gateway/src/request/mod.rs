//! Request handling: routing, admission, attempts, relaying of answers, and migration.

pub(crate) mod admission;
pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod drain;
mod ending;
pub(crate) mod entries;
pub(crate) mod fence;
pub(crate) mod liveness;
pub(crate) mod migration;
mod new_start;
mod origin;
pub(crate) mod plain;
pub(crate) mod probe;
pub(crate) mod quarantine;
pub(crate) mod refuse;
pub(crate) mod relay;
pub(crate) mod sse;
pub(crate) mod stream;
pub(crate) mod transfer;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::gate;
use fireflyhoist_policy::id;
use fireflyhoist_policy::origin::{Constraint, Key};
use fireflyhoist_policy::payload::Refused;
use fireflyhoist_policy::rank::Owner;
use fireflyhoist_policy::request::Class;
use fireflyhoist_policy::resubmission::{Fingerprint, Resubmission};
use fireflyhoist_policy::route::{Kind, Route, Service, Table};
use fireflyhoist_policy::time::Time;
use futures_util::StreamExt;
use ntex::http::header::{CONTENT_LENGTH, HOST};
use ntex::http::{HeaderMap, Method, Payload, Request, Response, Version};
use ntex::io::IoRef;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::connection::callers::Callers;
use crate::connection::content::{Builder, Content};
use crate::connection::memory::Permit;
use crate::platform::{Platform, RequestInfo};
use crate::process::fleet::Fleet;
use crate::process::service_gate::ServiceGate;
use crate::process::state::{Process, millis};
use crate::request::answer::{Answer, Progress};
use crate::request::origin::Resumption;

/// Timeout of callers that send none: below the default timeouts of common clients.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// How long before the caller would give up a request that has not begun is refused, so that the
/// refusal arrives in time: ten network delays, plus the delay that a busy host may add.
const REFUSAL_MARGIN: Duration = Duration::from_millis(300);

/// How long the body of a request may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the rest of a body is read of a request that is refused, in all and without another part.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
const DISCARD_PAUSE: Duration = Duration::from_millis(100);

/// Urgency of requests at engines, the same for all requests.
///
/// With different urgencies a full engine preempts a running answer to begin a more urgent one, and
/// recomputes its prompt later: its caller sees a pause of a second in the middle of the answer,
/// and the work is lost. In two fleets under heavy load, equal urgencies lower the preemptions from
/// 140 a day in one of them to between 57 and 106 in both; callers of one fleet gain more than
/// those of the other lose. With long answers ahead of short ones there are up to 229.
pub(crate) const URGENCY: u8 = 5;

/// State of the process that a worker thread uses to serve requests.
#[derive(Clone)]
pub(crate) struct Worker {
    pub(crate) process: Arc<Process>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) callers: Rc<Callers>,
    pub(crate) calls: drain::Calls,
}

impl Worker {
    pub(crate) fn new(process: Arc<Process>, fleet: Arc<Fleet>, callers: Rc<Callers>) -> Self {
        Self { process, fleet, callers, calls: drain::Calls::default() }
    }

    /// Waits until this entry reaches a target again, unless it is isolated for longer than targets
    /// stall. Returns whether the request may be sent; half of its time is left for the answer.
    async fn recovers_path(&self, context: &Context) -> bool {
        let time_left = context.time_left(self.process.clock.now());
        self.process.recovers_path(time_left / 2).await
    }
}

/// A request that may be served, with its route, service and deadlines.
pub(crate) struct Context {
    pub(crate) facts: RequestInfo,
    pub(crate) table: Arc<Table>,
    pub(crate) route: Route,
    pub(crate) service: Service,
    pub(crate) gate: Arc<ServiceGate>,
    pub(crate) workspace: Option<id::Workspace>,
    /// The priority of the workspace, or else of the route.
    pub(crate) rank: u8,
    pub(crate) label: Option<SmolStr>,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Content,
    /// Counts the memory of the request.
    pub(crate) _permit: Permit,
    /// Fingerprint of workspace, path and body, which identifies the request when it is
    /// resubmitted.
    pub(crate) fingerprint: Fingerprint,
    /// Identifies this attempt if it begins a stream that its caller takes up again.
    pub(crate) stream: Key,
    /// At which engines it may run.
    pub(crate) constraint: Constraint,
    /// Whether it was granted a trial that has not reached a target yet.
    pub(crate) has_trial: Cell<bool>,
    /// Whether its features were granted one.
    pub(crate) has_feature_trial: Cell<bool>,
    pub(crate) arrived_at: Time,
    /// Its earlier attempts, if it was refused before.
    pub(crate) earlier: Option<Resubmission>,
    /// When its caller first sent it: earlier than its arrival if it was refused before.
    pub(crate) first_sent_at: Time,
    /// When its answer should begin, by the objective of its route.
    pub(crate) objective: Time,
    /// When its caller gives up if the answer has not begun.
    pub(crate) start_deadline: Time,
    /// When the answer must be complete.
    pub(crate) deadline: Time,
    /// The caller's connection.
    pub(crate) io: Option<IoRef>,
    /// Whether a stream to the caller ends with its connection, since HTTP/1.0 has no chunks.
    pub(crate) ends_with_connection: bool,
    /// How far its answer has come.
    pub(crate) answer: Rc<Progress>,
}

impl Context {
    /// Sets whether the caller's connection ends with a reset, where its end is that of the answer.
    pub(crate) fn set_reset(&self, worker: &Worker, reset: bool) {
        if let Some(io) = self.io.as_ref().filter(|_| self.ends_with_connection) {
            worker.callers.set_reset(io, reset);
        }
    }

    pub(crate) fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the request to the gate for one attempt.
    pub(crate) fn gate_request(&self, avoid: Option<id::Target>, retry: bool) -> gate::Request {
        let workspace = self.workspace.clone().unwrap_or_else(public_workspace);
        let class = if migration::is_long(self) { Class::Overnight } else { Class::Live };
        let (class, limit) = match self.route.kind.is_stream() && self.service.engine.is_some() {
            true => (class, self.facts.max_tokens),
            false => (Class::Lookup, Default::default()),
        };
        gate::Request {
            id: id::Request::new(rand::random()),
            workspace,
            class,
            rank: self.rank,
            prompt: self.facts.prompt_tokens,
            limit,
            prefix: fireflyhoist_policy::placement::NO_PREFIX,
            objective: self.objective,
            deadline: self.start_deadline,
            avoid,
            retry,
        }
    }

    /// Returns what its rank depends on.
    pub(crate) fn owner(&self) -> Owner {
        Owner { route: self.route.name.clone(), workspace: self.workspace.clone() }
    }

    /// Returns its rank in the text in force.
    pub(crate) fn current_rank(&self) -> u8 {
        self.gate.rank(&self.owner()).unwrap_or(self.rank)
    }

    fn kind(&self) -> &'static str {
        match self.route.kind {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream { .. } => "stream",
        }
    }
}

/// Returns the workspace of callers that need no key.
fn public_workspace() -> id::Workspace {
    "public".parse().expect("a fixed name is valid")
}

/// Serves one request; a streamed answer continues after this returns.
pub(crate) async fn serve<P: Platform>(worker: &Worker, mut request: Request) -> Response<Answer> {
    let arrived_at = worker.process.clock.now();
    let facts = P::request_info(request.headers());
    let answer = Answer::new(facts.request.clone(), worker.process.start_request());
    if let Some(io) = request.io() {
        worker.callers.record(io, answer.progress());
        // The limit on the time for a head would end the connection after an answer that takes longer.
        io.stop_timer();
    }
    let has_body = *request.method() != Method::HEAD;
    let leaving = worker.process.is_leaving();
    let mut payload = request.take_payload();
    let resolved =
        resolve(worker, facts, &request, &mut payload, answer.progress(), arrived_at).await;
    // The caller may read a refusal only after it has sent the whole body.
    let is_read = resolved.is_ok() || discard(&mut payload).await;
    drop((request, payload));
    let mut response = match resolved {
        Ok(context) => {
            let kind = context.kind();
            let id = context.facts.request.clone();
            let route = context.route.name.clone();
            let response = match (quarantine::check(worker, &context), context.route.kind) {
                (Some(refused), _) => refused,
                (None, Kind::Stream { .. }) => stream::serve::<P>(worker, context).await,
                (None, Kind::Safe | Kind::Unsafe) => plain::serve::<P>(worker, &context).await,
            };
            let elapsed = worker.process.clock.now().since(arrived_at);
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
    if !is_read || leaving || worker.process.is_leaving() {
        response.head_mut().set_connection_type(ntex::http::ConnectionType::Close);
        answer.progress().set_last();
    }
    answer.with_response(response, has_body)
}

/// Reads a request and resolves its route, workspace and service, or returns its refusal.
async fn resolve(
    worker: &Worker,
    facts: RequestInfo,
    request: &Request,
    payload: &mut Payload,
    answer: &Rc<Progress>,
    arrived_at: Time,
) -> Result<Context, Response> {
    // Callers take no answers behind the last one of a connection (RFC 9112, 9.6), so a request that
    // they pipelined there must not be sent.
    let refused = match answer.is_behind_last() {
        true => drain::retry_after_stop(worker),
        false => drain::closing_retry_after(worker),
    };
    if let Some(after) = refused {
        return Err(refuse::draining(&facts.request, after));
    }
    if answer.is_behind_last() {
        answer.set_last();
        return Err(refuse::closing(&facts.request));
    }
    worker.process.wait_for_initial_sync().await;
    let Some(table) = worker.process.table() else {
        return Err(refuse::not_ready(&facts.request));
    };
    let revision = table.text().revision;
    // Two host headers may name two routes, and the next hop may choose the other one.
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
    let permit = worker.process.memory.permit_request(head_bytes(request));
    let permit = permit.ok_or_else(|| refuse::no_memory(&facts.request))?;
    let body =
        receive_body(worker, request, payload, limit, answer).await.map_err(
            |error| match error {
                BodyError::TooLarge => refuse::too_large(&facts.request),
                BodyError::Late => refuse::body_timeout(&facts.request),
                BodyError::NoMemory => refuse::no_memory(&facts.request),
            },
        )?;
    let workspace_id = workspace.as_ref().map(|workspace| &workspace.id);
    let Resumption { constraint, service } =
        origin::resolve(worker, &facts, &route, workspace_id).await?;
    let draw = xxhash_rust::xxh3::xxh3_64(facts.request.as_bytes());
    let name = service.as_ref().or_else(|| route.service(draw));
    let service = name.and_then(|name| table.service(name)).cloned();
    let gate = service.as_ref().and_then(|service| worker.process.gate(&service.name));
    let (Some(service), Some(gate)) = (service, gate) else {
        return Err(refuse::no_target(&facts.request));
    };
    let request_timeout = facts.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let fingerprint = Fingerprint::of_parts(workspace_id, &path, body.parts());
    let earlier =
        route.kind.is_stream().then(|| worker.process.resubmission(fingerprint)).flatten();
    let first_sent_at = earlier.map_or(arrived_at, |earlier| earlier.since);
    if earlier.is_some() {
        log::info!(
            request = facts.request.as_str(),
            wanted_ms = millis(arrived_at.since(first_sent_at)); "came back"
        );
    }
    let start_timeout =
        route.silence.map_or(request_timeout, |silence| silence.saturating_sub(REFUSAL_MARGIN));
    Ok(Context {
        stream: Key::of(workspace_id, &facts.request),
        constraint,
        fingerprint,
        has_trial: Cell::new(false),
        has_feature_trial: Cell::new(false),
        arrived_at,
        earlier,
        first_sent_at,
        objective: first_sent_at + route.objective,
        start_deadline: arrived_at + start_timeout.min(request_timeout),
        rank: workspace.as_ref().and_then(|w| w.rank).unwrap_or(route.rank),
        label: workspace.as_ref().map(|w| w.label.clone()),
        workspace: workspace.map(|w| w.id),
        method: request.method().clone(),
        path,
        headers: end_to_end(request.headers()),
        io: request.io().cloned(),
        ends_with_connection: request.version() < Version::HTTP_11,
        answer: Rc::clone(answer),
        facts,
        table,
        route,
        service,
        gate,
        body,
        _permit: permit,
        deadline: arrived_at + request_timeout,
    })
}

/// Why a request has no body that can be sent.
enum BodyError {
    /// It is larger than the limit, or its connection was lost.
    TooLarge,
    /// It did not arrive in time.
    Late,
    /// There is no memory for it.
    NoMemory,
}

/// Receives a body of at most `limit` bytes.
async fn receive_body(
    worker: &Worker,
    request: &Request,
    payload: &mut Payload,
    limit: usize,
    answer: &Progress,
) -> Result<Content, BodyError> {
    if matches!(payload, Payload::None) {
        return Ok(Content::default());
    }
    let length = request.headers().get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
    let length = length.and_then(|length| length.parse::<usize>().ok());
    if length.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge);
    }
    let holding = worker.process.memory.hold();
    holding.set_evictable(true);
    answer.set_receiving(true);
    let mut body = Builder::new(length, holding);
    let received = timeout(BODY_TIMEOUT, read_body(payload, limit, &mut body, answer)).await;
    answer.set_receiving(false);
    received.unwrap_or(Err(BodyError::Late))?;
    *payload = Payload::None;
    Ok(body.finish())
}

/// Reads a body to its end.
async fn read_body(
    payload: &mut Payload,
    limit: usize,
    body: &mut Builder,
    answer: &Progress,
) -> Result<(), BodyError> {
    loop {
        let chunk = tokio::select! {
            chunk = payload.next() => chunk,
            () = body.holding().evicted() => return Err(BodyError::Late),
        };
        let Some(chunk) = chunk else { return Ok(()) };
        let chunk = chunk.map_err(|_| BodyError::TooLarge)?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        answer.record_moved();
        body.extend(&chunk).map_err(|refused| match refused {
            Refused::Full => BodyError::NoMemory,
            Refused::Evicted => BodyError::Late,
        })?;
    }
}

/// Reads the rest of a body without keeping it, as long as it arrives and for a bounded time. Returns
/// whether its end was read; otherwise the server closes the connection.
async fn discard(payload: &mut Payload) -> bool {
    let read = async {
        loop {
            match timeout(DISCARD_PAUSE, payload.next()).await {
                Ok(Some(Ok(_))) => {}
                Ok(None) => return true,
                Ok(Some(Err(_))) | Err(_) => return false,
            }
        }
    };
    timeout(DISCARD_TIMEOUT, read).await.unwrap_or(false)
}

/// Returns the size of the head of a request.
fn head_bytes(request: &Request) -> usize {
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.as_bytes().len());
    headers.sum::<usize>() + request.uri().path_and_query().map_or(0, |path| path.as_str().len())
}

/// Headers that apply to a single connection and are not forwarded.
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

/// Returns the headers to forward: all but hop-by-hop headers and those named in `Connection`.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let text = name.as_str();
        if !HOP_BY_HOP.contains(&text) && !named.iter().any(|named| named == text) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
