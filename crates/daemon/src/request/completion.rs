//! `POST /v1/completions`: one answer from one generation.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::gate::{Ask, Outcome};
use fireflyhoist_policy::id;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_text::Service;
use fireflyhoist_wire::caller::{Answer, Choice, Completion, REQUEST_HEADER};
use fireflyhoist_wire::engine::Start;
use fireflyhoist_wire::problem::Ran;
use fireflyhoist_wire::sse;
use futures_channel::mpsc;
use futures_util::SinkExt;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::connection::engine::{self, Event, Stream};
use crate::process::burn::Watch;
use crate::process::lane::Pass;
use crate::process::{Open, Worker};
use crate::request::{entries, refuse};

/// The most tokens of an answer where the caller names no bound.
const DEFAULT_MAX_TOKENS: u64 = 65_536;

/// Events that wait for a slow caller before the engine's stream is left unread.
const BACKLOG: usize = 64;

/// Bytes of prompt for one token, a rough mean of European languages.
const BYTES_PER_TOKEN: u64 = 4;

pub(crate) async fn post(
    worker: web::types::State<Worker>,
    http: HttpRequest,
    body: web::types::Json<Completion>,
) -> HttpResponse {
    let open = worker.process.enter();
    let workspace = match crate::request::workspace(&http) {
        Ok(workspace) => workspace,
        Err(error) => return refuse::bad_request("bad-workspace", &error.to_string()),
    };
    if worker.process.is_leaving() {
        return refuse::leaving(entries::list(&worker.process, workspace.as_str()));
    }
    let completion = body.into_inner();
    let Some(snapshot) = worker.process.snapshot() else {
        return refuse::not_found("no text is in force yet; try again when /readyz says ready");
    };
    let service = completion.model.parse().ok().and_then(|name| snapshot.text.service(&name));
    let Some(service) = service else {
        return refuse::not_found("no service has this name; see the operators' text");
    };
    serve(&worker, open, workspace, service, completion).await
}

async fn serve(
    worker: &Worker,
    open: Open,
    workspace: id::Workspace,
    service: &Service,
    completion: Completion,
) -> HttpResponse {
    let request = id::Request::new(rand::random());
    let watch = worker.process.burn().watch(service);
    let ask = ask(worker, request, workspace, service, &completion);
    let Some(lane) = worker.process.lane(&service.name) else {
        return refuse::not_found("the service has just been removed; see the operators' text");
    };
    let pass = match lane.admit(ask).await {
        Ok(pass) => pass,
        Err(refusal) => {
            watch.refused();
            return refuse::gate(refusal);
        }
    };
    let Some(target) = service.targets.iter().find(|t| t.name == *pass.target()) else {
        return refuse::target_failed(Ran::No);
    };
    let generation = id::Generation::new(rand::random());
    let start = Start {
        generation,
        prompt: completion.prompt,
        max_tokens: completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        priority: service.class as u8,
    };
    let Ok(stream) = Stream::start(&worker.client, target.address, &start).await else {
        pass.finish(Outcome::Failed);
        return refuse::target_failed(Ran::Unknown);
    };
    let (sender, receiver) = mpsc::channel(BACKLOG);
    let relay = Relay {
        worker: worker.clone(),
        address: target.address,
        generation,
        stream,
        pass,
        watch,
        _open: open,
    };
    ntex::rt::spawn(relay.run(sender)).detach();
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header(REQUEST_HEADER, request.to_string())
        .streaming(receiver)
}

fn ask(
    worker: &Worker,
    request: id::Request,
    workspace: id::Workspace,
    service: &Service,
    completion: &Completion,
) -> Ask {
    Ask {
        request,
        workspace,
        class: service.class,
        prompt: Tokens::new(completion.prompt.len() as u64 / BYTES_PER_TOKEN),
        limit: Tokens::new(completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)),
        prefix: 0,
        deadline: worker.process.clock.now() + Duration::from_millis(service.patience_ms),
        avoid: None,
    }
}

/// Carries one generation's tokens to its caller, in a task of its own so that the engine is told
/// even where the caller's connection is gone.
struct Relay {
    worker: Worker,
    address: SocketAddr,
    generation: id::Generation,
    stream: Stream,
    pass: Pass,
    watch: Watch,
    _open: Open,
}

type Sender = mpsc::Sender<Result<Bytes, Infallible>>;

impl Relay {
    async fn run(mut self, mut caller: Sender) {
        let mut expected = 0;
        loop {
            let out = match self.stream.next().await {
                Ok(Event::Token { offset, text }) if offset == expected => {
                    expected += 1;
                    self.watch.token(offset);
                    self.piece(offset, text)
                }
                // Late, crossed and doubled tokens fall here.
                Ok(Event::Token { .. }) => continue,
                Ok(Event::End(end)) if end.tokens == expected => {
                    if end.preemptions > 0 {
                        self.watch.preempted();
                    }
                    break;
                }
                // An end that counts more tokens than arrived is no end of a whole answer.
                Ok(Event::End(_)) => return self.pass.finish(Outcome::Failed),
                Err(engine::Broken) => return self.pass.finish(Outcome::Failed),
            };
            if caller.send(Ok(Bytes::from(out))).await.is_err() {
                engine::cancel(&self.worker.client, self.address, self.generation).await;
                return self.pass.finish(Outcome::Cancelled);
            }
        }
        self.pass.progress(Tokens::new(expected));
        self.pass.finish(Outcome::Whole);
        let _ = caller.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
    }

    fn piece(&self, offset: u64, text: String) -> String {
        let answer = Answer {
            id: smol_str::format_smolstr!("{}", self.generation),
            object: "text_completion".into(),
            choices: vec![Choice { index: 0, text, finish_reason: None }],
        };
        let event = sse::Event {
            id: format!("{}:{offset}", self.generation),
            name: String::new(),
            data: serde_json::to_string(&answer).unwrap_or_default(),
        };
        let mut out = String::new();
        event.write(&mut out);
        out
    }
}
