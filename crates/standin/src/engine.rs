//! A stand-in model engine: generates scripted streams at a fixed pace, or as its batch allows.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fireflyhoist_policy::gate::Report;
use fireflyhoist_policy::id;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_wire::engine::{End, Load, READER_HEADER, Start, Token};
use fireflyhoist_wire::sse;
use futures_util::stream::{self, Stream};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use parking_lot::Mutex;
use serde::Deserialize;

use crate::Running;
use crate::batch::Shape;
use crate::batching::Batching;
use crate::fault::{Fault, Order, Switch};
use crate::order::{self, Desk};
use crate::script::Script;
use crate::serve;

/// Bytes of prompt for one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Memory of an engine of the users' size.
const MEMORY: Tokens = Tokens::new(100_000);

/// How fast the engine works.
#[derive(Clone, Debug)]
pub struct Pace {
    /// From start to the first token.
    pub first: Duration,
    /// From each token to the next.
    pub between: Duration,
    /// Tokens of memory that load reports name; a fixed pace never fills it.
    pub memory: Tokens,
}

impl Default for Pace {
    fn default() -> Self {
        Self { first: Duration::from_millis(5), between: Duration::from_millis(2), memory: MEMORY }
    }
}

/// One generation, kept until the engine ends.
#[derive(Debug)]
struct Run {
    script: Script,
    prompt: String,
    started: Instant,
    cancelled: bool,
    /// Who opened the stream last; a cancel by anybody else is stale.
    reader: Option<String>,
    /// How many tokens any link has carried.
    carried: u64,
}

/// What the engine remembers, shared by its handlers.
#[derive(Debug, Default)]
pub struct Engine {
    pace: Pace,
    /// Present where the engine batches instead of keeping a fixed pace.
    batching: Option<Arc<Batching>>,
    runs: Mutex<HashMap<id::Generation, Run>>,
    fault: Switch,
    orders: Arc<Desk>,
}

impl Engine {
    /// Listens on `listen` and serves until killed.
    pub fn bind(listen: SocketAddr, pace: Pace) -> io::Result<(Running, Arc<Self>)> {
        Self::serve(listen, Self { pace, ..Self::default() })
    }

    /// As [`Engine::bind`], but batching continuously in a memory of limited size.
    ///
    /// Must be called within an ntex system.
    pub fn bind_batching(listen: SocketAddr, shape: Shape) -> io::Result<(Running, Arc<Self>)> {
        let batching = Some(Batching::spawn(shape));
        Self::serve(listen, Self { batching, ..Self::default() })
    }

    fn serve(listen: SocketAddr, engine: Self) -> io::Result<(Running, Arc<Self>)> {
        let engine = Arc::new(engine);
        let state = Arc::clone(&engine);
        let running = serve::bind(listen, move |config| routes(config, &state))?;
        Ok((running, engine))
    }

    /// What it was ordered to hold.
    pub fn orders(&self) -> &Desk {
        &self.orders
    }

    /// How many generations began.
    pub fn started(&self) -> usize {
        self.runs.lock().len()
    }

    /// How many generations were cancelled.
    pub fn cancelled(&self) -> usize {
        self.runs.lock().values().filter(|run| run.cancelled).count()
    }

    /// How many generations of this prompt began.
    pub fn started_of(&self, prompt: &str) -> usize {
        self.runs.lock().values().filter(|run| run.prompt == prompt).count()
    }

    /// How many generations of this prompt were carried to their last token.
    pub fn carried_of(&self, prompt: &str) -> usize {
        let whole = |run: &&Run| run.prompt == prompt && run.carried == run.script.len();
        self.runs.lock().values().filter(whole).count()
    }

    /// The most tokens of any generation that were carried.
    pub fn carried_max(&self) -> u64 {
        self.runs.lock().values().map(|run| run.carried).max().unwrap_or(0)
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, order: Option<Order>) {
        if order.is_some_and(|order| order.fault == Fault::Forget) {
            return self.runs.lock().clear();
        }
        self.fault.set(order);
    }

    /// Tokens of a run that are ready, or `None` where the run is unknown or cancelled.
    fn ready(&self, generation: id::Generation) -> Option<u64> {
        let runs = self.runs.lock();
        let run = runs.get(&generation).filter(|run| !run.cancelled)?;
        if let Some(batching) = &self.batching {
            return Some(batching.produced(generation).min(run.script.len()));
        }
        let mut elapsed = run.started.elapsed();
        if let Some(Fault::Slow { by }) = self.fault.on() {
            elapsed /= by.max(1);
        }
        if elapsed < self.pace.first {
            return Some(0);
        }
        let steps = (elapsed - self.pace.first).as_micros() / self.pace.between.as_micros().max(1);
        Some((steps as u64 + 1).min(run.script.len()))
    }

    /// What a link that has carried everything before `offset` carries next.
    fn next(&self, generation: id::Generation, offset: u64) -> Option<Piece> {
        let mut ready = self.ready(generation)?;
        let fault = self.fault.on();
        let mut withheld = false;
        if let Some(Fault::Cut { at } | Fault::Silent { at } | Fault::Stall { at }) = fault {
            if offset >= at && fault != Some(Fault::Stall { at }) {
                let strike = self.fault.strikes(|on| Some(on) == fault);
                return Some(if strike == Some(Fault::Cut { at }) {
                    Piece::Cut
                } else {
                    Piece::Silent
                });
            }
            withheld = ready >= at;
            ready = ready.min(at.max(offset));
        }
        let mut runs = self.runs.lock();
        let run = runs.get_mut(&generation)?;
        let mut out = String::new();
        for at in offset..ready {
            self.lie(&mut out, &run.script, at);
            event(&at.to_string(), "", &Token { text: run.script.token(at) }).write(&mut out);
        }
        run.carried = run.carried.max(ready);
        let ended = ready == run.script.len() && !withheld;
        if ended {
            let preemptions = self.batching.as_ref().map_or(0, |b| b.preemptions(generation));
            event("", "end", &End { reason: "stop".into(), tokens: ready, preemptions })
                .write(&mut out);
        }
        Some(Piece::Bytes { out, next: ready.max(offset), ended })
    }

    /// Mixes in what does not belong before the token at `at`.
    fn lie(&self, out: &mut String, script: &Script, at: u64) {
        match self.fault.on() {
            Some(Fault::Lie { at: from }) if at >= from => {
                let late = at.saturating_sub(1);
                let mut mix = |id: String, text: String| {
                    event(&id, "", &Token { text }).write(out);
                };
                mix(late.to_string(), script.token(late));
                mix((at + 7).to_string(), script.token(at + 7));
                mix(format!("{}:{at}", id::Generation::new(7)), "crossed".to_owned());
            }
            Some(Fault::EndEarly { at: from }) if at >= from => {
                event("", "end", &End { reason: "stop".into(), tokens: at - 1, preemptions: 0 })
                    .write(out);
            }
            _ => {}
        }
    }

    /// Tokens that a run holds in memory, or `None` where it has ended or is unknown.
    fn held(&self, generation: id::Generation) -> Option<u64> {
        let ready = self.ready(generation)?;
        let runs = self.runs.lock();
        let run = runs.get(&generation)?;
        let prompt = run.prompt.len() as u64 / BYTES_PER_TOKEN;
        (ready < run.script.len()).then_some(prompt + ready)
    }

    fn load(&self) -> Load {
        if let Some(batching) = &self.batching {
            return Load { age_ms: 0, report: batching.report() };
        }
        let generations: Vec<id::Generation> = self.runs.lock().keys().copied().collect();
        let held: Vec<u64> = generations.into_iter().filter_map(|id| self.held(id)).collect();
        let report = Report {
            capacity: self.pace.memory,
            used: Tokens::new(held.iter().sum()),
            running: u32::try_from(held.len()).unwrap_or(u32::MAX),
            ..Report::default()
        };
        Load { age_ms: 0, report }
    }
}

fn event<T: serde::Serialize>(id: &str, name: &str, data: &T) -> sse::Event {
    let data = serde_json::to_string(data).unwrap_or_default();
    sse::Event { id: id.to_owned(), name: name.to_owned(), data }
}

/// What a link carries next.
enum Piece {
    Bytes { out: String, next: u64, ended: bool },
    Cut,
    Silent,
}

fn tokens(
    engine: Arc<Engine>,
    generation: id::Generation,
    from: u64,
) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold((engine, from, false), move |(engine, offset, ended)| async move {
        if ended {
            return None;
        }
        loop {
            match engine.next(generation, offset)? {
                Piece::Bytes { out, next, ended } if !out.is_empty() => {
                    return Some((Ok(Bytes::from(out)), (engine, next, ended)));
                }
                Piece::Bytes { .. } => {}
                Piece::Cut => {
                    return Some((Err(io::ErrorKind::BrokenPipe.into()), (engine, 0, true)));
                }
                Piece::Silent => std::future::pending().await,
            }
            let nap = engine.pace.between.max(Duration::from_millis(1));
            ntex::time::sleep(nap).await;
        }
    })
}

#[derive(Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

fn reader(http: &HttpRequest) -> Option<String> {
    Some(http.headers().get(READER_HEADER)?.to_str().ok()?.to_owned())
}

async fn start(
    engine: web::types::State<Arc<Engine>>,
    http: HttpRequest,
    body: web::types::Json<Start>,
) -> HttpResponse {
    if engine.fault.strikes(|on| on == Fault::Refuse).is_some() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let start = body.into_inner();
    let generation = start.generation;
    let script = Script::of(&start.prompt, generation, start.max_tokens);
    if let Some(batching) = &engine.batching {
        let length = script.len();
        batching.push(generation, &start.prompt, length, start.max_tokens, start.priority);
    }
    engine
        .runs
        .lock()
        .entry(generation)
        .or_insert_with(|| Run {
            script,
            prompt: start.prompt,
            started: Instant::now(),
            cancelled: false,
            reader: None,
            carried: 0,
        })
        .reader = reader(&http);
    if engine.fault.strikes(|on| on == Fault::LoseReply).is_some() {
        std::future::pending::<()>().await;
    }
    answer(Arc::clone(&engine), generation, 0)
}

async fn resume(
    engine: web::types::State<Arc<Engine>>,
    http: HttpRequest,
    path: web::types::Path<id::Generation>,
    query: web::types::Query<From>,
) -> HttpResponse {
    if engine.ready(*path).is_none() {
        return HttpResponse::NotFound().finish();
    }
    if let Some(run) = engine.runs.lock().get_mut(&*path) {
        run.reader = reader(&http);
    }
    answer(Arc::clone(&engine), *path, query.from)
}

fn answer(engine: Arc<Engine>, generation: id::Generation, from: u64) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(Box::pin(tokens(engine, generation, from)))
}

async fn cancel(
    engine: web::types::State<Arc<Engine>>,
    http: HttpRequest,
    path: web::types::Path<id::Generation>,
) -> HttpResponse {
    let reader = reader(&http);
    if let Some(run) = engine.runs.lock().get_mut(&*path) {
        run.cancelled |= reader.is_none() || reader == run.reader;
        if let Some(batching) = engine.batching.as_ref().filter(|_| run.cancelled) {
            batching.cancel(*path);
        }
    }
    HttpResponse::NoContent().finish()
}

async fn fault(
    engine: web::types::State<Arc<Engine>>,
    order: web::types::Json<Option<Order>>,
) -> HttpResponse {
    engine.set_fault(order.into_inner());
    HttpResponse::NoContent().finish()
}

async fn load(engine: web::types::State<Arc<Engine>>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.load())
}

fn routes(config: &mut ServiceConfig, engine: &Arc<Engine>) {
    order::routes(config, &engine.orders);
    config
        .state(Arc::clone(engine))
        .state(web::types::JsonConfig::default().limit(1 << 20))
        .route("/v1/streams", web::post().to(start))
        .route("/v1/streams/{generation}", web::get().to(resume))
        .route("/v1/streams/{generation}", web::delete().to(cancel))
        .route("/v1/load", web::get().to(load))
        .route("/fault", web::put().to(fault));
}
