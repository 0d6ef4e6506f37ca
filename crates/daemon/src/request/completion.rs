//! `POST /v1/completions`: one answer from one generation, begun here or taken up here.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::failover::{Options, Session};
use fireflyhoist_policy::gate::{Refusal, Request};
use fireflyhoist_policy::handle::Handle;
use fireflyhoist_policy::id;
use fireflyhoist_policy::placement;
use fireflyhoist_policy::sequencer::Position;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_text::{Delivery, Kind, Service};
use fireflyhoist_wire::caller::{
    ACCEPT_HEADER, Completion, LAST_EVENT_HEADER, REQUEST_HEADER, RESUME_HEADER,
};
use fireflyhoist_wire::engine::Start;
use fireflyhoist_wire::problem::Ran;
use fireflyhoist_wire::transcode::Transcoder;
use ntex::http::HeaderMap;
use ntex::web::error::JsonPayloadError;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::connection::engine::Site;
use crate::process::clock::unix_s;
use crate::process::limits::Permit;
use crate::process::{InFlight, Worker};
use crate::request::body::Body;
use crate::request::outlet::{Form, Head, Outlet, Reply};
use crate::request::relay::{Attempt, Job, Relay};
use crate::request::{entries, refuse};
use crate::version::Snapshot;
use fireflyhoist_gateway::{Pass, ServiceGate};

/// The most tokens of an answer where the caller names no bound.
const DEFAULT_MAX_TOKENS: u64 = 65_536;

/// Bytes of prompt for one token, a rough mean of European languages.
const BYTES_PER_TOKEN: u64 = 4;

/// Gaps between tokens, counted in the service's own objective for them, after which a link is
/// held to be silent; a new link costs one round trip, so a false alarm is cheap.
const SILENT_GAPS: u32 = 20;

/// Bounds of the above, for objectives that are very small or very large.
const SILENCE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Looks at the clock for each silence deadline.
const BEATS: u32 = 4;

/// Bounds of the time between two looks.
const BEAT: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(250));

pub(crate) async fn post(
    worker: web::types::State<Worker>,
    http: HttpRequest,
    body: Result<web::types::Json<Completion>, JsonPayloadError>,
) -> HttpResponse {
    let open = Rc::new(worker.process.track_request());
    let Some(snapshot) = worker.process.serving() else {
        return refuse::not_ready();
    };
    let workspace = match crate::request::auth::workspace(&snapshot.text, &http) {
        Ok(workspace) => workspace,
        Err(error) => return refuse::auth(&error),
    };
    if worker.process.is_leaving() {
        return refuse::leaving(entries::list(&worker.process, workspace.as_str()));
    }
    let completion = match body {
        Ok(completion) => completion.into_inner(),
        Err(error) => return refuse::body(&error),
    };
    let service = completion.model.parse().ok().and_then(|name| snapshot.text.service(&name));
    let Some(service) = service.filter(|s| s.kind == Kind::Model) else {
        return refuse::not_found("no model service has this name; see the operators' text");
    };
    let Some(lane) = worker.process.gate(&service.name) else {
        return refuse::not_found("the service has just been removed; see the operators' text");
    };
    let call = Call { worker: &worker, http: &http, open, lane, service, snapshot: &snapshot };
    call.serve(workspace, completion).await
}

/// One request and what it needs to be served.
struct Call<'a> {
    worker: &'a Worker,
    http: &'a HttpRequest,
    open: Rc<InFlight>,
    lane: Arc<ServiceGate>,
    service: &'a Service,
    snapshot: &'a Snapshot,
}

impl Call<'_> {
    async fn serve(self, workspace: id::Workspace, completion: Completion) -> HttpResponse {
        let job = self.job(workspace, &completion);
        let form =
            Form { stream: completion.stream, resumes: accepts(self.http.headers(), "resume") };
        let watch = self.worker.process.burn().watch(self.service);
        let (attempt, shown, permit) = match self.resumed(&job) {
            // What runs already was admitted where it began.
            Ok(Some((attempt, shown))) => (attempt, shown, None),
            Ok(None) => match self.admit(&job).await {
                Ok((pass, permit)) => match self.admitted(&job, pass) {
                    Some(attempt) => (attempt, false, Some(permit)),
                    None => return refuse::target_failed(Ran::No),
                },
                Err(refusal) => {
                    watch.refused();
                    return refuse::gate(refusal);
                }
            },
            Err(response) => return response,
        };
        let clock = self.worker.process.clock;
        let beat = (job.terms.silence_timeout / BEATS).clamp(BEAT.0, BEAT.1);
        let (outlet, reply) = Outlet::open(clock, form, beat);
        let relay = Relay {
            worker: self.worker.clone(),
            open: Rc::clone(&self.open),
            lane: self.lane,
            session: Session::open(clock.now(), job.terms, shown),
            job,
            attempt,
            outlet,
            watch,
            permit,
        };
        ntex::rt::spawn(relay.run()).detach();
        match reply.await {
            Ok(reply) => respond(reply, self.open),
            Err(_) => refuse::target_failed(Ran::Unknown),
        }
    }

    /// Leave of the workspace's limits, which no target is needed for, and then of the gate.
    async fn admit(&self, job: &Job) -> Result<(Pass, Permit), Refusal> {
        let permit = self.worker.process.limits.admit(&job.ask.workspace)?;
        let pass = self.lane.admit(job.ask.clone()).await?;
        Ok((pass, permit))
    }

    fn job(&self, workspace: id::Workspace, completion: &Completion) -> Job {
        let patience = Duration::from_millis(self.service.patience_ms);
        let gap = Duration::from_millis(self.service.objective.between_tokens_ms);
        let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        Job {
            ask: Request {
                id: id::Request::new(rand::random()),
                workspace,
                class: self.service.class,
                prompt: Tokens::new(completion.prompt.len() as u64 / BYTES_PER_TOKEN),
                limit: Tokens::new(max_tokens),
                prefix: placement::prefix(&completion.prompt),
                objective: self.worker.process.clock.now() + patience,
                deadline: self.worker.process.clock.now() + patience,
                retry: false,
                avoid: None,
            },
            service: self.service.name.clone(),
            patience,
            terms: Options {
                buffered: self.service.delivery == Delivery::Whole || !completion.stream,
                restartable: accepts(self.http.headers(), "restart"),
                silence_timeout: (gap * SILENT_GAPS).clamp(SILENCE.0, SILENCE.1),
                stall_timeout: patience,
            },
            start: Start {
                generation: id::Generation::new(0),
                prompt: completion.prompt.clone(),
                max_tokens,
                priority: self.service.class as u8,
            },
        }
    }

    /// A fresh generation at the target of the pass, unless that has just been removed.
    fn admitted(&self, job: &Job, pass: Pass) -> Option<Attempt> {
        let target = self.service.targets.iter().find(|t| t.name == *pass.target())?;
        let generation = id::Generation::new(rand::random());
        Some(Attempt {
            site: Site { address: target.address, generation, reader: job.ask.id },
            target: target.name.clone(),
            pass: Some(pass),
            known: false,
            told: false,
            way: Transcoder::open(generation, 0, job.terms.buffered),
        })
    }

    /// The generation that the caller takes up, and whether it has seen a part of it.
    fn resumed(&self, job: &Job) -> Result<Option<(Attempt, bool)>, HttpResponse> {
        let headers = self.http.headers();
        let Some(text) = headers.get(RESUME_HEADER) else { return Ok(None) };
        let text = text.to_str().unwrap_or_default();
        let key = &self.worker.process.key;
        let handle = Handle::read(key, unix_s(), &job.ask.workspace, &self.service.name, text)
            .map_err(refuse::handle)?;
        let from = match headers.get(LAST_EVENT_HEADER).map(|v| v.to_str().unwrap_or_default()) {
            None | Some("") => 0,
            Some(text) => match text.parse::<Position>() {
                Ok(last) if last.generation == handle.generation => last.offset.saturating_add(1),
                Ok(_) => return Err(refuse::position("the last event is not of this handle")),
                Err(error) => return Err(refuse::position(&error.to_string())),
            },
        };
        // The text may have given the target a new address since; the generation runs at the old.
        let generation = handle.generation;
        log::info!(
            request:% = job.ask.id, generation:% = generation, target:% = handle.target,
            offset = from, version:% = self.snapshot.version;
            "answer taken up"
        );
        let attempt = Attempt {
            site: Site { address: handle.address, generation, reader: job.ask.id },
            target: handle.target,
            pass: None,
            known: true,
            told: false,
            way: Transcoder::open(generation, from, job.terms.buffered),
        };
        Ok(Some((attempt, from > 0)))
    }
}

/// Whether the caller says that it understands events of a kind.
fn accepts(headers: &HeaderMap, kind: &str) -> bool {
    let values = headers.get_all(ACCEPT_HEADER).filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim() == kind)
}

fn respond(reply: Reply, open: Rc<InFlight>) -> HttpResponse {
    let (head, mut response) = match reply {
        Reply::Failed(problem) => return refuse::respond(&problem),
        Reply::Stream(ref head, _) | Reply::Body(ref head, _) => (head.clone(), HttpResponse::Ok()),
    };
    let Head { request, handle } = head;
    response.header(REQUEST_HEADER, request.to_string()).header(RESUME_HEADER, handle.as_str());
    match reply {
        Reply::Stream(_, receiver) => response
            .content_type("text/event-stream")
            .header("cache-control", "no-store")
            .streaming(Body::open(receiver, open)),
        Reply::Body(_, body) => response.content_type("application/json").body(body),
        Reply::Failed(_) => HttpResponse::InternalServerError().finish(),
    }
}
