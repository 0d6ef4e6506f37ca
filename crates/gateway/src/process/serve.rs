//! The listeners of a process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, Request};
use ntex::server::Server;
use ntex::time::Seconds;

use crate::platform::Platform;
use crate::process::StartError;
use crate::process::fleet::Fleet;
use crate::process::state::Process;
use crate::request::{self, Worker};

/// How long an idle connection of a caller is kept. Above the limit that texts set in use, since
/// callers use connections again until shortly before it, and one that closes as its caller sends
/// costs an attempt.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Threads that serve callers: one, since hosts have a fraction of a core.
const WORKERS: usize = 1;

/// Connections that wait to be taken in. A burst of callers that come back together must not
/// overflow it: their opening packets would be sent again only after a second.
const ACCEPT_QUEUE: i32 = 1_024;

/// Binds the addresses of the settings and begins to serve.
pub(crate) fn bind<P: Platform>(
    process: &Arc<Process>,
    fleet: &Arc<Fleet>,
) -> Result<Server, StartError> {
    let settings = &process.settings;
    let builder = ntex::server::build().workers(WORKERS).backlog(ACCEPT_QUEUE).disable_signals();
    let failed = |address: SocketAddr| move |reason| StartError::Bind { address, reason };
    let (own, known) = (Arc::clone(process), Arc::clone(fleet));
    let callers = builder
        .bind("callers", settings.callers, async move |_| {
            let worker = Worker::open(Arc::clone(&own), Arc::clone(&known));
            HttpService::h1(async move |request: Request| {
                Ok::<_, io::Error>(request::serve::<P>(&worker, request).await)
            })
        })
        .map_err(failed(settings.callers))?;
    let own = Arc::clone(process);
    let readiness = callers
        .bind("readiness", settings.readiness, async move |_| {
            let process = Arc::clone(&own);
            HttpService::h1(async move |request: Request| {
                Ok::<_, io::Error>(request::probe::readiness::<P>(&process, &request))
            })
        })
        .map_err(failed(settings.readiness))?;
    let known = Arc::clone(fleet);
    let directory = readiness
        .bind("directory", settings.directory, async move |_| {
            let fleet = Arc::clone(&known);
            HttpService::h1(async move |request: Request| {
                Ok::<_, io::Error>(request::entries::answer::<P>(&fleet, &request))
            })
        })
        .map_err(failed(settings.directory))?;
    let own = Arc::clone(process);
    let metrics = directory
        .bind("metrics", settings.metrics, async move |_| {
            let process = Arc::clone(&own);
            HttpService::h1(async move |_: Request| {
                Ok::<_, io::Error>(request::probe::metrics(&process))
            })
        })
        .map_err(failed(settings.metrics))?;
    let config = || {
        let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE);
        SharedCfg::new("callers").add(http)
    };
    let names = ["callers", "readiness", "directory", "metrics"];
    let configured = names.iter().fold(metrics, |builder, name| builder.config(*name, config()));
    Ok(configured.run())
}
