//! `POST /v1/completions`: starts a generation, or resumes one by its handle.

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
use ntex::http::{HeaderMap, Version};
use ntex::web::error::JsonPayloadError;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::connection::engine::Site;
use crate::process::clock::unix_s;
use crate::process::limits::Permit;
use crate::process::{InFlight, Worker};
use crate::request::body::Body;
use crate::request::relay::{Attempt, Job, Relay};
use crate::request::response::{Format, Head, Reply, Writer};
use crate::request::{entries, refuse};
use crate::version::Snapshot;
use fireflyhoist_gateway::{Pass, ServiceGate};

/// The most tokens of an answer where the request sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 65_536;

/// Bytes of prompt per token, an approximate mean for European languages.
const BYTES_PER_TOKEN: u64 = 4;

/// The silence timeout of a link, in multiples of the service's objective for the gap between two
/// tokens. A new link costs one round trip, so a false positive is cheap.
const SILENCE_GAPS: u32 = 20;

/// Bounds of the silence timeout, for objectives that are very small or very large.
const SILENCE_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Deadline checks per silence timeout.
const TICKS_PER_SILENCE: u32 = 4;

/// Bounds of the interval between two deadline checks.
const TICK_BOUNDS: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(250));

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
    let Some(gate) = worker.process.gate(&service.name) else {
        return refuse::not_found("the service has just been removed; see the operators' text");
    };
    let call = Call { worker: &worker, http: &http, open, gate, service, snapshot: &snapshot };
    call.serve(workspace, completion).await
}

/// One request and the state needed to serve it.
struct Call<'a> {
    worker: &'a Worker,
    http: &'a HttpRequest,
    open: Rc<InFlight>,
    gate: Arc<ServiceGate>,
    service: &'a Service,
    snapshot: &'a Snapshot,
}

impl Call<'_> {
    async fn serve(self, workspace: id::Workspace, completion: Completion) -> HttpResponse {
        let job = self.job(workspace, &completion);
        let format =
            Format { stream: completion.stream, resumes: accepts(self.http.headers(), "resume") };
        let watch = self.worker.process.burn().watch(self.service);
        let (attempt, delivered, permit) = match self.resumed(&job) {
            // A running generation was admitted by the entry that started it.
            Ok(Some((attempt, delivered))) => (attempt, delivered, None),
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
        let tick =
            (job.options.silence_timeout / TICKS_PER_SILENCE).clamp(TICK_BOUNDS.0, TICK_BOUNDS.1);
        let (writer, reply) = Writer::open(clock, format, tick);
        let relay = Relay {
            worker: self.worker.clone(),
            open: Rc::clone(&self.open),
            gate: self.gate,
            session: Session::open(clock.now(), job.options, delivered),
            job,
            attempt,
            writer,
            watch,
            permit,
        };
        ntex::rt::spawn(relay.run()).detach();
        match reply.await {
            Ok(reply) => respond(reply, self.http.version(), self.open),
            Err(_) => refuse::target_failed(Ran::Unknown),
        }
    }

    /// Leave of the workspace's limits, which no target is needed for, and then of the gate.
    async fn admit(&self, job: &Job) -> Result<(Pass, Permit), Refusal> {
        let permit = self.worker.process.limits.admit(&job.admission.workspace)?;
        let pass = self.gate.admit(job.admission.clone()).await?;
        Ok((pass, permit))
    }

    fn job(&self, workspace: id::Workspace, completion: &Completion) -> Job {
        let patience = Duration::from_millis(self.service.patience_ms);
        let gap = Duration::from_millis(self.service.objective.between_tokens_ms);
        let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        Job {
            admission: Request {
                id: id::Request::new(rand::random()),
                workspace,
                class: self.service.class,
                rank: 0,
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
            options: Options {
                buffered: self.service.delivery == Delivery::Whole || !completion.stream,
                restartable: accepts(self.http.headers(), "restart"),
                silence_timeout: (gap * SILENCE_GAPS).clamp(SILENCE_BOUNDS.0, SILENCE_BOUNDS.1),
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

    /// Returns an attempt at the target of the pass, or `None` if the target has just been removed.
    fn admitted(&self, job: &Job, pass: Pass) -> Option<Attempt> {
        let target = self.service.targets.iter().find(|t| t.name == *pass.target())?;
        let generation = id::Generation::new(rand::random());
        Some(Attempt {
            site: Site { address: target.address, generation, reader: job.admission.id },
            target: target.name.clone(),
            pass: Some(pass),
            accepted: false,
            announced: false,
            transcoder: Transcoder::open(generation, 0, job.options.buffered),
        })
    }

    /// Returns the generation that the caller resumes, if any, and whether the caller has received
    /// a part of it.
    fn resumed(&self, job: &Job) -> Result<Option<(Attempt, bool)>, HttpResponse> {
        let headers = self.http.headers();
        let Some(text) = headers.get(RESUME_HEADER) else { return Ok(None) };
        let text = text.to_str().unwrap_or_default();
        let key = &self.worker.process.key;
        let handle =
            Handle::read(key, unix_s(), &job.admission.workspace, &self.service.name, text)
                .map_err(refuse::handle)?;
        let from = match headers.get(LAST_EVENT_HEADER).map(|v| v.to_str().unwrap_or_default()) {
            None | Some("") => 0,
            Some(text) => match text.parse::<Position>() {
                Ok(last) if last.generation == handle.generation => last.offset.saturating_add(1),
                Ok(_) => return Err(refuse::position("the last event is not of this handle")),
                Err(error) => return Err(refuse::position(&error.to_string())),
            },
        };
        // The address comes from the handle: the configuration may have moved the target since, but
        // the generation still runs at the old address.
        let generation = handle.generation;
        log::info!(
            request:% = job.admission.id, generation:% = generation, target:% = handle.target,
            offset = from, version:% = self.snapshot.version;
            "answer taken up"
        );
        let attempt = Attempt {
            site: Site { address: handle.address, generation, reader: job.admission.id },
            target: handle.target,
            pass: None,
            accepted: true,
            announced: false,
            transcoder: Transcoder::open(generation, from, job.options.buffered),
        };
        Ok(Some((attempt, from > 0)))
    }
}

/// Whether the request declares support for events of this kind.
fn accepts(headers: &HeaderMap, kind: &str) -> bool {
    let values = headers.get_all(ACCEPT_HEADER).filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim() == kind)
}

fn respond(reply: Reply, version: Version, open: Rc<InFlight>) -> HttpResponse {
    let (head, mut response) = match reply {
        Reply::Failed(problem) => return refuse::respond(&problem),
        Reply::Stream(ref head, _) | Reply::Body(ref head, _) => (head.clone(), HttpResponse::Ok()),
    };
    let Head { request, handle } = head;
    response.header(REQUEST_HEADER, request.to_string()).header(RESUME_HEADER, handle.as_str());
    if version < Version::HTTP_11 {
        // It has no chunks. The last event tells whether the answer is complete.
        response.no_chunking().force_close();
    }
    match reply {
        Reply::Stream(_, receiver) => response
            .content_type("text/event-stream")
            .header("cache-control", "no-store")
            .streaming(Body::open(receiver, open)),
        Reply::Body(_, body) => response.content_type("application/json").body(body),
        Reply::Failed(_) => HttpResponse::InternalServerError().finish(),
    }
}
