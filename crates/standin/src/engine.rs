//! A stand-in model engine: generates scripted streams at a fixed pace.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fireflyhoist_policy::gate::Report;
use fireflyhoist_policy::id;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_wire::engine::{End, Load, Start, Token};
use fireflyhoist_wire::sse;
use futures_util::stream::{self, Stream};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig};
use parking_lot::Mutex;
use serde::Deserialize;

use crate::Running;
use crate::script::Script;
use crate::serve;

/// How fast the engine works.
#[derive(Clone, Debug)]
pub struct Pace {
    /// From start to the first token.
    pub first: Duration,
    /// From each token to the next.
    pub between: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { first: Duration::from_millis(5), between: Duration::from_millis(2) }
    }
}

/// One generation, kept until the engine ends.
#[derive(Debug)]
struct Run {
    script: Script,
    started: Instant,
    cancelled: bool,
}

/// What the engine remembers, shared by its handlers.
#[derive(Debug, Default)]
pub struct Engine {
    pace: Pace,
    runs: Mutex<HashMap<id::Generation, Run>>,
}

impl Engine {
    /// Listens on `listen` and serves until killed.
    pub fn bind(listen: SocketAddr, pace: Pace) -> io::Result<(Running, Arc<Self>)> {
        let engine = Arc::new(Self { pace, runs: Mutex::default() });
        let state = Arc::clone(&engine);
        let running = serve::bind(listen, move |config| routes(config, &state))?;
        Ok((running, engine))
    }

    /// How many generations began.
    pub fn started(&self) -> usize {
        self.runs.lock().len()
    }

    /// How many generations were cancelled.
    pub fn cancelled(&self) -> usize {
        self.runs.lock().values().filter(|run| run.cancelled).count()
    }

    /// Tokens of a run that are ready, or `None` where the run is unknown or cancelled.
    fn ready(&self, generation: id::Generation) -> Option<u64> {
        let runs = self.runs.lock();
        let run = runs.get(&generation).filter(|run| !run.cancelled)?;
        let elapsed = run.started.elapsed();
        if elapsed < self.pace.first {
            return Some(0);
        }
        let steps = (elapsed - self.pace.first).as_micros() / self.pace.between.as_micros().max(1);
        Some((steps as u64 + 1).min(run.script.len()))
    }

    /// The events from `offset` on that are ready, and whether the last is among them.
    fn events(&self, generation: id::Generation, offset: u64) -> Option<(String, u64, bool)> {
        let ready = self.ready(generation)?;
        let runs = self.runs.lock();
        let script = &runs.get(&generation)?.script;
        let mut out = String::new();
        for at in offset..ready {
            event(&at.to_string(), "", &Token { text: script.token(at) }).write(&mut out);
        }
        let ended = ready == script.len();
        if ended {
            event("", "end", &End { reason: "stop".into(), tokens: ready, preemptions: 0 })
                .write(&mut out);
        }
        Some((out, ready.max(offset), ended))
    }

    fn load(&self) -> Load {
        let runs = self.runs.lock();
        let running = runs.values().filter(|run| !run.cancelled).count();
        let report = Report {
            capacity: Tokens::new(100_000),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            ..Report::default()
        };
        Load { age_ms: 0, report }
    }
}

fn event<T: serde::Serialize>(id: &str, name: &str, data: &T) -> sse::Event {
    let data = serde_json::to_string(data).unwrap_or_default();
    sse::Event { id: id.to_owned(), name: name.to_owned(), data }
}

fn tokens(
    engine: Arc<Engine>,
    generation: id::Generation,
    from: u64,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold((engine, from, false), move |(engine, offset, ended)| async move {
        if ended {
            return None;
        }
        loop {
            let (out, next, ended) = engine.events(generation, offset)?;
            if !out.is_empty() {
                return Some((Ok(Bytes::from(out)), (engine, next, ended)));
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

async fn start(
    engine: web::types::State<Arc<Engine>>,
    body: web::types::Json<Start>,
) -> HttpResponse {
    let start = body.into_inner();
    let script = Script::of(&start.prompt, start.generation, start.max_tokens);
    engine.runs.lock().entry(start.generation).or_insert_with(|| Run {
        script,
        started: Instant::now(),
        cancelled: false,
    });
    answer(Arc::clone(&engine), start.generation, 0)
}

async fn resume(
    engine: web::types::State<Arc<Engine>>,
    path: web::types::Path<id::Generation>,
    query: web::types::Query<From>,
) -> HttpResponse {
    if engine.ready(*path).is_none() {
        return HttpResponse::NotFound().finish();
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
    path: web::types::Path<id::Generation>,
) -> HttpResponse {
    if let Some(run) = engine.runs.lock().get_mut(&*path) {
        run.cancelled = true;
    }
    HttpResponse::NoContent().finish()
}

async fn load(engine: web::types::State<Arc<Engine>>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.load())
}

fn routes(config: &mut ServiceConfig, engine: &Arc<Engine>) {
    config
        .state(Arc::clone(engine))
        .state(web::types::JsonConfig::default().limit(1 << 20))
        .route("/v1/streams", web::post().to(start))
        .route("/v1/streams/{generation}", web::get().to(resume))
        .route("/v1/streams/{generation}", web::delete().to(cancel))
        .route("/v1/load", web::get().to(load));
}
