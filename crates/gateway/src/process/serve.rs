//! The listeners of a process.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, Request};
use ntex::server::Server;
use ntex::time::Seconds;
use tokio::net::TcpSocket;

use crate::platform::Platform;
use crate::process::StartError;
use crate::process::fleet::Fleet;
use crate::process::settings::Settings;
use crate::process::state::Process;
use crate::request::{self, Worker};

/// How long an idle connection of a caller is kept. Above the limit that texts set in use, since
/// callers use connections again until shortly before it, and one that closes as its caller sends
/// costs an attempt.
const KEEP_ALIVE: Seconds = Seconds(75);

/// How long a caller may send less than [`HEAD_RATE`] bytes of a head: what texts in use allow.
const HEAD_PAUSE: Seconds = Seconds(3);

/// How long a head may take in all.
const HEAD_LIMIT: Seconds = Seconds(16);

/// Bytes of a head that must arrive within [`HEAD_PAUSE`].
const HEAD_RATE: u32 = 64;

/// Threads that serve callers: one, since hosts have a fraction of a core.
const WORKERS: usize = 1;

/// Connections that wait to be taken in. A burst of callers that come back together must not
/// overflow it: their opening packets would be sent again only after a second.
const ACCEPT_QUEUE: u32 = 1_024;

/// The bound addresses of a process.
#[derive(Debug)]
pub(crate) struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
    /// Where other entries link.
    pub(crate) peers: TcpListener,
}

impl Listeners {
    /// Binds every address of the settings and writes the ports that were chosen into them.
    pub(crate) fn bind(settings: &mut Settings) -> Result<Self, StartError> {
        Ok(Self {
            callers: bound(&mut settings.callers)?,
            readiness: bound(&mut settings.readiness)?,
            directory: bound(&mut settings.directory)?,
            metrics: bound(&mut settings.metrics)?,
            peers: bound(settings.peers_listen.as_mut().unwrap_or(&mut settings.peers))?,
        })
    }
}

fn bound(address: &mut SocketAddr) -> Result<TcpListener, StartError> {
    let listener = listen(*address);
    let listener = listener.map_err(|reason| StartError::Bind { address: *address, reason })?;
    if let Ok(actual) = listener.local_addr() {
        *address = actual;
    }
    Ok(listener)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A process that starts again must not wait until the connections of the last one are
    // forgotten.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)?.into_std()
}

/// Begins to serve.
pub(crate) fn spawn<P: Platform>(
    process: &Arc<Process>,
    fleet: &Arc<Fleet>,
    listeners: Listeners,
) -> io::Result<Server> {
    let builder = ntex::server::build().workers(WORKERS).disable_signals();
    let (own, known) = (Arc::clone(process), Arc::clone(fleet));
    let builder = builder.listen("callers", listeners.callers, async move |_| {
        let worker = Worker::new(Arc::clone(&own), Arc::clone(&known));
        HttpService::h1(async move |request: Request| {
            Ok::<_, io::Error>(request::serve::<P>(&worker, request).await)
        })
    })?;
    let own = Arc::clone(process);
    let builder = builder.listen("readiness", listeners.readiness, async move |_| {
        let process = Arc::clone(&own);
        HttpService::h1(async move |request: Request| {
            Ok::<_, io::Error>(request::probe::readiness::<P>(&process, &request))
        })
    })?;
    let known = Arc::clone(fleet);
    let builder = builder.listen("directory", listeners.directory, async move |_| {
        let fleet = Arc::clone(&known);
        HttpService::h1(async move |request: Request| {
            Ok::<_, io::Error>(request::entries::answer::<P>(&fleet, &request))
        })
    })?;
    let own = Arc::clone(process);
    let builder = builder.listen("metrics", listeners.metrics, async move |_| {
        let process = Arc::clone(&own);
        HttpService::h1(async move |_: Request| {
            Ok::<_, io::Error>(request::probe::metrics(&process))
        })
    })?;
    let names = ["callers", "readiness", "directory", "metrics"];
    let config = || {
        let http = HttpServiceConfig::new()
            .set_keepalive(KEEP_ALIVE)
            .set_headers_read_rate(HEAD_PAUSE, HEAD_LIMIT, HEAD_RATE);
        SharedCfg::new("callers").add(http)
    };
    let builder = names.iter().fold(builder, |builder, name| builder.config(*name, config()));
    Ok(builder.run())
}
