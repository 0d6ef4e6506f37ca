//! Back ends: plain services, and engines that move and copy their runs.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_gateway::native::{
    BACKUP_HEADER, COPY_HEADER, Copied, FRAGILE_HEADER, INSTANCE_HEADER, LEAVING_HEADER, Move,
    PROMPT_PARTS_HEADER, RATE_LIMIT_HEADER, Report,
};
use fireflyhoist_policy::cold::Warmup;
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::{self, Software, Target};
use fireflyhoist_policy::unit::RequestRate;
use fireflyhoist_wire::caller::{LAST_EVENT_HEADER, REQUEST_HEADER};
use futures_util::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::ledger::Kind;
use crate::parts;
use crate::plan::DOMAINS;
use crate::proxy::Proxy;
use crate::seen::Seen;
use crate::streams;

/// Time between two events of a stream.
const EVENT: Duration = Duration::from_millis(15);

/// How long a plain request takes.
const PLAIN: Duration = Duration::from_millis(25);

/// How long a target bears a poison.
const POISON: Duration = Duration::from_millis(60);

/// How long the memory of a run takes to move.
const MOVE: Duration = Duration::from_millis(60);

/// How targets start, where they are cold after that.
pub(crate) const WARMUP: Warmup =
    Warmup { lasts: Duration::from_secs(3), per_s: RequestRate::new(4.0) };

/// How many times what a cold target takes it may get in a second, and how many requests more.
pub(crate) const EXCESS: f64 = 1.5;
pub(crate) const MARGIN: f64 = 2.0;

/// The requests that a plain target runs at one time, as its entry says, and all that it takes while
/// it is fragile.
const SLOTS: u32 = 2;

/// The most requests that a cold target bears in a second.
pub(crate) fn bears() -> f64 {
    WARMUP.per_s.get() * EXCESS + MARGIN
}

/// The name of a version.
pub(crate) fn software(version: u32) -> Software {
    format!("v{version}").parse().expect("a version")
}

/// The name of a failure domain.
pub(crate) fn domain(nth: usize) -> id::Domain {
    format!("d-{nth}").parse().expect("a name")
}

type Body = BoxBody<Bytes, io::Error>;

/// How many events the answer to a request holds.
pub(crate) fn length(request: &str) -> u64 {
    let sum: u64 = request.bytes().map(u64::from).sum();
    40 + sum * 7 % 120
}

/// What the answer to a request is for: the stream that its path names, or else the request itself.
pub(crate) fn name_of_run<'a>(request: &'a str, path: &'a str) -> &'a str {
    let last = path.rsplit('/').next();
    last.filter(|name| name.starts_with(streams::PREFIX)).unwrap_or(request)
}

/// The last part of the paths of lookups with large answers, and how many bytes more these have: more
/// than the system buffers of a connection.
pub(crate) const LARGE: &str = "large";
pub(crate) const LARGE_LENGTH: usize = 4_000_000;

/// The services, by the number of their back ends.
pub(crate) const SERVICES: [&str; 3] = ["look", "send", "page"];

/// The beginning of each event.
const BEGUN: &str = "id: ";

/// A run's memory.
#[derive(Clone, Copy, Debug)]
struct Run {
    generation: u64,
    made: u64,
}

/// A run as its engine knows it.
#[derive(Debug)]
struct Running {
    run: Cell<Run>,
    /// How many events it makes in all.
    length: u64,
    stopped: Cell<bool>,
    /// Whether its memory was copied after it was stopped.
    copied: Cell<bool>,
}

impl Running {
    fn is_finished(&self) -> bool {
        self.run.get().made == self.length
    }
}

/// What all engines share: copies lie where the next one finds them.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    copies: RefCell<BTreeMap<String, Run>>,
    generations: Cell<u64>,
}

impl Engines {
    fn next(&self) -> u64 {
        self.generations.set(self.generations.get() + 1);
        self.generations.get()
    }
}

/// What differs between back ends of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Traits {
    pub(crate) version: Option<u32>,
    /// Whether its answers have neither a length nor chunks.
    pub(crate) unframed: bool,
}

/// One back end, for as long as its process would live.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) listed: Target,
    shared: Rc<Shared>,
    accepting: JoinHandle<()>,
    connections: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

#[derive(Debug)]
struct Shared {
    instance: SmolStr,
    address: SocketAddr,
    service: &'static str,
    leaving: Cell<bool>,
    losing: Cell<bool>,
    /// What it takes, in requests a second, where it says so.
    limit: Cell<Option<f64>>,
    /// Whether it says in its answers that it leaves.
    announcing: Cell<bool>,
    /// The rest that it asks for while it turns requests away.
    rest: Cell<Option<Duration>>,
    /// How many requests it can reject in a second, and those that it did.
    fragile: Cell<Option<u32>>,
    rejected: RefCell<Vec<(Instant, SmolStr)>>,
    /// Until when it does nothing.
    stalled_until: Cell<Option<Instant>>,
    /// Plain requests that it runs.
    busy: Cell<u32>,
    /// Until when it ends where it gets more than it bears.
    cold_until: Cell<Option<Instant>>,
    /// When requests came while it was cold.
    recent: RefCell<Vec<Instant>>,
    /// Told when a request ends it.
    ended: mpsc::UnboundedSender<usize>,
    slot: usize,
    software: Option<Software>,
    unframed: bool,
    running: RefCell<BTreeMap<SmolStr, Rc<Running>>>,
    engines: Rc<Engines>,
    seen: Seen,
}

impl Shared {
    /// Adds to an answer what the target says of itself in all of them.
    fn say_words(&self, response: &mut Response<Body>) {
        let number = |number: u32| number.to_string().parse().expect("a number");
        let headers = response.headers_mut();
        if let Some(rejects) = self.fragile.get() {
            headers.insert(FRAGILE_HEADER, number(rejects));
        }
        if self.announcing.get() {
            headers.insert(LEAVING_HEADER, number(1));
            let request = headers.get(REQUEST_HEADER).and_then(|id| id.to_str().ok());
            request.into_iter().for_each(|id| self.seen.said(id, &self.instance, None));
        }
    }

    /// Turns a request away for want of room; too many of them end the target.
    fn reject(&self, id: &str) -> Response<Body> {
        let now = Instant::now();
        let mut rejected = self.rejected.borrow_mut();
        rejected.retain(|(at, _)| now - *at < Duration::from_secs(1));
        rejected.push((now, id.into()));
        if self.fragile.get().is_some_and(|tolerated| rejected.len() > tolerated as usize) {
            let requests = rejected.drain(..).map(|(_, request)| request).collect();
            self.seen.overloaded(self.service, requests);
            let _ = self.ended.send(self.slot);
        }
        declined(id)
    }

    /// Turns a request away and asks for rest.
    fn rest(&self, id: &str, rest: Duration) -> Response<Body> {
        self.seen.said(id, &self.instance, Some(rest));
        let mut response = declined(id);
        let seconds = format!("{:.1}", rest.as_secs_f64()).parse().expect("a number");
        response.headers_mut().insert("retry-after", seconds);
        response
    }

    /// Waits while it stalls.
    async fn stall(&self) {
        while let Some(until) = self.stalled_until.get()
            && Instant::now() < until
        {
            sleep_until(until).await;
        }
    }

    /// Whether it is cold and has got more within a second than it bears.
    fn is_overrun(&self) -> bool {
        let now = Instant::now();
        if self.cold_until.get().is_none_or(|until| now >= until) {
            return false;
        }
        let mut recent = self.recent.borrow_mut();
        recent.retain(|at| *at + Duration::from_secs(1) > now);
        recent.push(now);
        recent.len() as f64 > bears()
    }
}

impl Backend {
    /// Starts behind `proxy` under a new name.
    pub(crate) async fn start(
        slot: usize,
        nth: u32,
        traits: Traits,
        proxy: &Proxy,
        engines: &Rc<Engines>,
        ended: &mpsc::UnboundedSender<usize>,
        seen: &Seen,
    ) -> Self {
        let service = SERVICES[slot % SERVICES.len()];
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        proxy.set_to(listener.local_addr().expect("bound"));
        let instance = format_smolstr!("t-{slot}-{nth}");
        let listed = Target {
            id: instance.parse().expect("a name"),
            instance: instance.clone(),
            service: service.parse().expect("a name"),
            address: proxy.address,
            domain: domain(slot % DOMAINS),
            state: lease::State::Ready,
            renewal: 1,
            cold_ms: 0,
            slots: SLOTS,
            start: None,
            software: traits.version.map(software),
        };
        let shared = Rc::new(Shared {
            software: listed.software.clone(),
            unframed: traits.unframed,
            instance,
            address: proxy.address,
            service,
            leaving: Cell::new(false),
            losing: Cell::new(false),
            limit: Cell::new(None),
            announcing: Cell::new(false),
            rest: Cell::new(None),
            fragile: Cell::new(None),
            rejected: RefCell::default(),
            stalled_until: Cell::new(None),
            busy: Cell::new(0),
            cold_until: Cell::new(None),
            recent: RefCell::default(),
            ended: ended.clone(),
            slot,
            running: RefCell::default(),
            engines: Rc::clone(engines),
            seen: seen.clone(),
        });
        let connections: Rc<RefCell<Vec<JoinHandle<()>>>> = Rc::default();
        let (own, kept) = (Rc::clone(&shared), Rc::clone(&connections));
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = Rc::clone(&own);
                let connection = spawn_local(async move {
                    let service = hyper::service::service_fn(move |request| {
                        let shared = Rc::clone(&shared);
                        async move {
                            let mut response = serve(Rc::clone(&shared), request).await;
                            if let Some(limit) = shared.limit.get() {
                                let limit = limit.to_string().parse().expect("a number");
                                response.headers_mut().insert(RATE_LIMIT_HEADER, limit);
                            }
                            shared.say_words(&mut response);
                            if shared.unframed {
                                // An answer to HTTP/1.0 without a length ends with its connection.
                                *response.version_mut() = hyper::Version::HTTP_10;
                                response = response.map(without_length);
                            }
                            let lost = shared.losing.get() && shared.engines.next() % 2 == 0;
                            if lost { Err(io::Error::other("lost")) } else { Ok(response) }
                        }
                    });
                    let io = TokioIo::new(stream);
                    // A connection that its caller breaks ends what runs on it.
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(io, service)
                        .await;
                });
                kept.borrow_mut().push(connection);
            }
        });
        Self { listed, shared, accepting, connections }
    }

    /// The same, cold.
    pub(crate) fn cold(mut self) -> Self {
        self.listed.cold_ms = u64::try_from(WARMUP.lasts.as_millis()).unwrap_or(u64::MAX);
        self.shared.seen.cold(&self.listed.instance, WARMUP.lasts);
        self.shared.cold_until.set(Some(Instant::now() + WARMUP.lasts));
        self
    }

    /// Its reports say from now on that it leaves.
    pub(crate) fn leave(&self) {
        self.shared.leaving.set(true);
    }

    /// Says in its answers from now on that it leaves.
    pub(crate) fn announce(&self) {
        self.shared.announcing.set(true);
    }

    /// Turns requests away and asks for this rest from now on, or takes them again.
    pub(crate) fn set_rest(&self, rest: Option<Duration>) {
        self.shared.rest.set(rest);
    }

    /// Crashes from now on if it rejects more in a second, or no longer does.
    pub(crate) fn set_fragile(&self, rejects: Option<u32>) {
        self.shared.fragile.set(rejects);
    }

    /// Does nothing for this span, and goes on.
    pub(crate) fn stall(&self, span: Duration) {
        self.shared.stalled_until.set(Some(Instant::now() + span));
    }

    pub(crate) fn service(&self) -> &'static str {
        self.shared.service
    }

    /// Runs what it is asked, and loses every other answer.
    pub(crate) fn set_losing(&self, losing: bool) {
        self.shared.losing.set(losing);
    }

    /// Its entry as it writes it now.
    pub(crate) fn entry(&self) -> Target {
        let state =
            if self.shared.leaving.get() { lease::State::Draining } else { lease::State::Ready };
        let renewal = self.shared.engines.next();
        Target { state, renewal, ..self.listed.clone() }
    }

    /// Names a limit from now on, or none; false where it is not this instance, or names one already.
    pub(crate) fn set_limit(&self, instance: &SmolStr, limit: Option<f64>) -> bool {
        let named = limit.is_some() && self.shared.limit.get().is_some();
        if self.shared.instance != *instance || named {
            return false;
        }
        self.shared.limit.set(limit);
        true
    }

    /// Ends at once, with every connection.
    pub(crate) fn crash(&self) {
        self.accepting.abort();
        self.connections.borrow().iter().for_each(JoinHandle::abort);
        self.shared.running.borrow().values().for_each(|running| running.stopped.set(true));
    }
}

async fn serve(shared: Rc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let text = |name: &str| -> Option<SmolStr> {
        request.headers().get(name)?.to_str().ok().map(SmolStr::from)
    };
    let path = request.uri().path().to_owned();
    let is_expected = text(INSTANCE_HEADER).as_ref() == Some(&shared.instance);
    if is_expected && let Some(id) = text(REQUEST_HEADER) {
        shared.seen.reached(id);
    }
    shared.stall().await;
    let parts: Vec<&str> = path.split('/').collect();
    match parts[..] {
        ["", "v1", "report"] => {
            return json(&Report { leaving: shared.leaving.get(), start: None });
        }
        ["", "v1", "copies", name] => {
            let key = format!("{}/{name}", shared.address);
            shared.engines.copies.borrow_mut().remove(&key);
            return plain(StatusCode::OK, "", "");
        }
        ["", "v1", "runs", id, "move"] => {
            let id = SmolStr::from(id);
            return move_run(&shared, &id, request).await;
        }
        _ => {}
    }
    let id = text(REQUEST_HEADER).unwrap_or_default();
    if !is_expected {
        return plain(StatusCode::MISDIRECTED_REQUEST, &id, "");
    }
    shared.seen.arrived(&id, &shared.instance);
    if let Some(rest) = shared.rest.get() {
        return shared.rest(&id, rest);
    }
    if shared.is_overrun() {
        let _ = shared.ended.send(shared.slot);
    }
    if path == self::path(Kind::Poison) {
        shared.seen.ran(&id, shared.engines.next());
        sleep(POISON).await;
        shared.seen.poisoned();
        // The run is over where nobody listens.
        let _ = shared.ended.send(shared.slot);
    }
    if text(PROMPT_PARTS_HEADER).is_some_and(|parts| parts::is_bad(&parts)) {
        shared.seen.bad_part_arrived(&id);
        sleep(POISON).await;
        shared.seen.ended_on_part();
        let _ = shared.ended.send(shared.slot);
    }
    if shared.service == "page" {
        let copy = text(COPY_HEADER);
        let last = text(LAST_EVENT_HEADER).and_then(|last| last.parse().ok()).unwrap_or(0);
        let name = SmolStr::from(name_of_run(&id, &path));
        return stream_run(&shared, &id, name, copy, last, text(BACKUP_HEADER));
    }
    if shared.fragile.get().is_some() && shared.busy.get() >= SLOTS {
        return shared.reject(&id);
    }
    shared.seen.ran(&id, shared.engines.next());
    let _running = Busy::begin(&shared);
    sleep(PLAIN).await;
    shared.stall().await;
    shared.seen.finished(id.clone());
    let more = if parts.last() == Some(&LARGE) { LARGE_LENGTH } else { 0 };
    plain(StatusCode::OK, &id, &format!("{id} done{}", "x".repeat(more)))
}

/// Counts a plain request for as long as it runs; its caller may break it off.
struct Busy(Rc<Shared>);

impl Busy {
    fn begin(shared: &Rc<Shared>) -> Self {
        shared.busy.set(shared.busy.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}

/// A body whose length is not known before its end.
fn without_length(body: Body) -> Body {
    StreamBody::new(http_body_util::BodyStream::new(body)).boxed()
}

/// The answer of a target that did not run a request.
fn declined(id: &str) -> Response<Body> {
    let declined = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
    let declined = declined.header(REQUEST_HEADER, id).header("fireflyhoist-declined", "1");
    declined.body(full("")).expect("a response")
}

fn full(text: &str) -> Body {
    Full::new(Bytes::copy_from_slice(text.as_bytes())).map_err(|never| match never {}).boxed()
}

fn plain(status: StatusCode, request: &str, body: &str) -> Response<Body> {
    let response = Response::builder().status(status).header(REQUEST_HEADER, request);
    response.body(full(body)).expect("a response")
}

fn json(value: &impl serde::Serialize) -> Response<Body> {
    Response::new(full(&serde_json::to_string(value).expect("JSON")))
}

async fn move_run(shared: &Shared, id: &SmolStr, request: Request<Incoming>) -> Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return plain(StatusCode::BAD_REQUEST, "", "");
    };
    let Ok(asked) = serde_json::from_slice::<Move>(&body.to_bytes()) else {
        return plain(StatusCode::BAD_REQUEST, "", "");
    };
    let running = shared.running.borrow().get(id).cloned();
    let running = running.filter(|running| !running.is_finished());
    let Some(running) = running else { return plain(StatusCode::NOT_FOUND, "", "") };
    if asked.last {
        running.stopped.set(true);
    }
    sleep(MOVE).await;
    if asked.last {
        if running.is_finished() {
            // It came to its own end as it was to be stopped.
            return plain(StatusCode::NOT_FOUND, "", "");
        }
        running.copied.set(true);
    }
    let name = format_smolstr!("m-{id}");
    let key = format!("{}/{name}", shared.address);
    shared.engines.copies.borrow_mut().insert(key, running.run.get());
    json(&Copied { copy: Some(name) })
}

/// Begins a run, or goes on with one from its copy.
fn stream_run(
    shared: &Rc<Shared>,
    id: &SmolStr,
    name: SmolStr,
    copy: Option<SmolStr>,
    last: u64,
    backup: Option<SmolStr>,
) -> Response<Body> {
    let generation = match copy {
        Some(copy) => match shared.engines.copies.borrow_mut().remove(copy.as_str()) {
            Some(run) => run.generation,
            None => return declined(id),
        },
        None => {
            let generation = shared.engines.next();
            shared.seen.ran(id, generation);
            generation
        }
    };
    let run = Cell::new(Run { generation, made: last });
    let (length, stopped, copied) = (length(&name), Cell::new(false), Cell::new(false));
    let running = Rc::new(Running { run, length, stopped, copied });
    shared.running.borrow_mut().insert(id.clone(), Rc::clone(&running));
    let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, io::Error>>(4);
    spawn_local(generate(Rc::clone(shared), id.clone(), name, running, sender, backup));
    let frames = stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|frame| (frame, receiver))
    });
    let response = Response::builder().header(REQUEST_HEADER, id.as_str());
    let response = response.header("content-type", "text/event-stream");
    response.body(StreamBody::new(frames).boxed()).expect("a response")
}

async fn generate(
    shared: Rc<Shared>,
    id: SmolStr,
    name: SmolStr,
    running: Rc<Running>,
    sender: mpsc::Sender<Result<Frame<Bytes>, io::Error>>,
    backup: Option<SmolStr>,
) {
    let version = shared.software.as_ref().map(|software| format!(" {software}"));
    let version = version.unwrap_or_default();
    let last = running.run.get().made;
    while !running.is_finished() {
        if shared.unframed && running.run.get().made > last {
            sleep(EVENT / 2).await;
            shared.stall().await;
            if running.stopped.get() {
                // Closed in order, between two events.
                break;
            }
            if sender.send(Ok(Frame::data(Bytes::from(BEGUN)))).await.is_err() {
                break;
            }
            sleep(EVENT / 2).await;
        } else {
            sleep(EVENT).await;
        }
        shared.stall().await;
        let stops = running.stopped.get();
        // An unframed stream is closed between two events, after the one that has begun.
        let stops_after_event = stops && shared.unframed && !running.copied.get();
        if stops && !stops_after_event {
            // Closed without its end.
            let _ = sender.send(Err(io::Error::other("stopped"))).await;
            break;
        }
        let Run { generation, made } = running.run.get();
        let run = Run { generation, made: made + 1 };
        running.run.set(run);
        let mut event = format!("id: {}\ndata: {name} {generation}{version}\n\n", run.made);
        if shared.unframed {
            event = event.split_off(if run.made == last + 1 { 0 } else { BEGUN.len() });
        }
        if sender.send(Ok(Frame::data(Bytes::from(event)))).await.is_err() {
            break;
        }
        if let Some(backup) = &backup {
            shared.engines.copies.borrow_mut().insert(format!("{backup}/{id}"), run);
        }
        if stops {
            break;
        }
    }
    if running.is_finished() {
        shared.seen.finished(id.clone());
    }
    shared.running.borrow_mut().remove(&id);
}

/// The kind of request that a path asks for.
pub(crate) fn path(kind: Kind) -> &'static str {
    match kind {
        Kind::Safe => "/look/x",
        Kind::Unsafe => "/send/x",
        Kind::Page => "/page/x",
        Kind::Resumable => "/again/x",
        Kind::Poison => "/again/poison",
    }
}
