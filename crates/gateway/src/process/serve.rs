//! The listeners and the HTTP servers of a process.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::body::MessageBody;
use ntex::http::error::DecodeError;
use ntex::http::h1::control::Reason;
use ntex::http::h1::{Control, ControlAck, ProtocolError};
use ntex::http::{HttpService, HttpServiceConfig, Request, Response};
use ntex::io::{Filter, Io};
use ntex::rt::Arbiter;
use ntex::service::{Pipeline, Service, ServiceFactory, fn_service};
use ntex::time::Seconds;
use socket2::Socket;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::connection::callers::{Bounds, Callers};
use crate::platform::Platform;
use crate::process::StartError;
use crate::process::fleet::Fleet;
use crate::process::settings::Settings;
use crate::process::state::Process;
use crate::request::{self, Worker};

/// How long an idle connection of a caller is kept open. It exceeds the idle limit that texts in
/// use set: callers reuse connections until shortly before that limit, and a connection that closes
/// while its caller sends costs an attempt.
const KEEP_ALIVE: Seconds = Seconds(75);

/// How long a caller may send a request head at less than [`HEAD_RATE`]; texts in use allow as
/// much.
const HEAD_PAUSE: Seconds = Seconds(3);

/// How long a request head may take in all.
const HEAD_LIMIT: Seconds = Seconds(16);

/// The bytes of a request head that must arrive within [`HEAD_PAUSE`].
const HEAD_RATE: u32 = 64;

/// The length of the accept queue. A burst of callers that reconnect together must not overflow it,
/// because a dropped SYN is retransmitted only after a second.
const ACCEPT_QUEUE: u32 = 1_024;

/// What the system buffers for a connection of a caller, in each direction: callers that send ahead
/// and read nothing would have it hold megabytes.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
const SEND_BUFFER_BYTES: u32 = 32 << 10;

/// What the system buffers for a link between entries, in each direction.
const LINK_BUFFER_BYTES: u32 = 64 << 10;

/// How long no connection is accepted after one could not be.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The parts of the connections that each address may have, in percent.
const CALLERS: usize = 70;
const DIRECTORY: usize = 20;
const READINESS: usize = 5;
const METRICS: usize = 5;

/// The bound listeners of a process.
#[derive(Debug)]
pub(crate) struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
    /// Accepts links of other entries.
    pub(crate) peers: TcpListener,
}

impl Listeners {
    /// Binds every address of the settings, and sets ports that the system has chosen in them.
    pub(crate) fn bind(settings: &mut Settings) -> Result<Self, StartError> {
        Ok(Self {
            callers: bind(&mut settings.callers, Buffers::CALLER)?,
            readiness: bind(&mut settings.readiness, Buffers::CALLER)?,
            directory: bind(&mut settings.directory, Buffers::CALLER)?,
            metrics: bind(&mut settings.metrics, Buffers::CALLER)?,
            peers: bind(
                settings.peers_listen.as_mut().unwrap_or(&mut settings.peers),
                Buffers::LINK,
            )?,
        })
    }
}

/// What the system buffers for each connection of a listener.
#[derive(Clone, Copy, Debug)]
struct Buffers {
    receive_bytes: u32,
    send_bytes: u32,
}

impl Buffers {
    const CALLER: Self =
        Self { receive_bytes: RECEIVE_BUFFER_BYTES, send_bytes: SEND_BUFFER_BYTES };
    const LINK: Self = Self { receive_bytes: LINK_BUFFER_BYTES, send_bytes: LINK_BUFFER_BYTES };
}

fn bind(address: &mut SocketAddr, buffers: Buffers) -> Result<TcpListener, StartError> {
    let listener = listen(*address, buffers);
    let listener = listener.map_err(|reason| StartError::Bind { address: *address, reason })?;
    if let Ok(actual) = listener.local_addr() {
        *address = actual;
    }
    Ok(listener)
}

fn listen(address: SocketAddr, buffers: Buffers) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restarted process must be able to bind while connections of the previous one are in
    // TIME_WAIT.
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit both.
    socket.set_recv_buffer_size(buffers.receive_bytes)?;
    socket.set_send_buffer_size(buffers.send_bytes)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)?.into_std()
}

/// Returns the connections of an address with this part, which are closed where they hold too much.
fn connections(process: &Arc<Process>, percent: usize) -> Rc<Callers> {
    let resources = process.settings.resources;
    let part = |all: usize| (all * percent / 100).max(1);
    let bounds = Bounds {
        connections: part(resources.connections()),
        bytes: part(resources.connection_bytes()),
        system_bytes: RECEIVE_BUFFER_BYTES.max(SEND_BUFFER_BYTES) as usize,
    };
    Rc::new(Callers::new(bounds, process.metrics.limits().clone()))
}

/// Follows the connections of an address.
fn follow<F: Filter>(callers: &Callers, event: Control<F, io::Error>) -> ControlAck<F> {
    match &event {
        Control::Request(request) => {
            if let Some(io) = request.get_ref().io() {
                callers.touch(io);
            }
        }
        Control::Disconnect(Reason::ProtocolError(error)) => {
            if matches!(error.err(), ProtocolError::Decode(DecodeError::TooLarge(_))) {
                callers.record_long_head();
            }
        }
        Control::Connect(_) | Control::Upgrade(_) | Control::Expect(_) | Control::Disconnect(_) => {
        }
    }
    event.ack()
}

/// The thread that serves callers, readiness, the directory and metrics.
#[derive(Debug)]
pub(crate) struct Server(Arbiter);

impl Server {
    /// Starts to serve on the listeners.
    pub(crate) fn spawn<P: Platform>(
        process: &Arc<Process>,
        fleet: &Arc<Fleet>,
        listeners: Listeners,
    ) -> Self {
        let (process, fleet) = (Arc::clone(process), Arc::clone(fleet));
        let arbiter = Arbiter::with_name("callers".to_owned());
        let started = async move { serve_all::<P>(&process, &fleet, listeners) };
        arbiter.handle().spawn(started).detach();
        Self(arbiter)
    }

    /// Closes all listeners and connections.
    pub(crate) fn stop(&self) {
        self.0.stop();
    }
}

/// Starts a task for each listener.
fn serve_all<P: Platform>(process: &Arc<Process>, fleet: &Arc<Fleet>, listeners: Listeners) {
    let config = config(process.settings.resources.head_bytes());
    let callers = connections(process, CALLERS);
    ntex::rt::spawn(Arc::clone(process).reports_held(Rc::clone(&callers))).detach();
    let worker = Worker::new(Arc::clone(process), Arc::clone(fleet), Rc::clone(&callers));
    serve(listeners.callers, callers, config.clone(), async move |request: Request| {
        Ok(request::serve::<P>(&worker, request).await)
    });
    let probed = Arc::clone(process);
    serve(
        listeners.readiness,
        connections(process, READINESS),
        config.clone(),
        async move |request: Request| Ok(request::probe::readiness::<P>(&probed, &request)),
    );
    let listed = Arc::clone(fleet);
    serve(
        listeners.directory,
        connections(process, DIRECTORY),
        config.clone(),
        async move |request: Request| Ok(request::entries::answer::<P>(&listed, &request)),
    );
    let measured = Arc::clone(process);
    serve(listeners.metrics, connections(process, METRICS), config, async move |_: Request| {
        Ok(request::probe::metrics(&measured))
    });
}

/// Starts a task that accepts connections and serves requests on them.
fn serve<H, B>(listener: TcpListener, callers: Rc<Callers>, config: SharedCfg, handler: H)
where
    H: AsyncFn(Request) -> Result<Response<B>, io::Error> + Clone + 'static,
    B: MessageBody + 'static,
{
    let followed = Rc::clone(&callers);
    let service = HttpService::h1(fn_service(handler))
        .control(async move |event| Ok::<_, io::Error>(follow(&followed, event)));
    ntex::rt::spawn(async move {
        // Neither fails: the handler is ready, and the listener is bound.
        let Ok(service) = service.create(config.clone()).await else { return };
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        accept(&listener, &callers, Pipeline::new(service), config).await;
    })
    .detach();
}

/// Accepts connections until the thread ends, each once there is room for it.
async fn accept<S>(
    listener: &tokio::net::TcpListener,
    callers: &Rc<Callers>,
    service: Pipeline<S>,
    config: SharedCfg,
) where
    S: Service<Io> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process is out of descriptors; other connections will close.
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if !callers.make_room().await {
            continue;
        }
        // Fails if the caller has closed the connection.
        let Ok((io, socket)) = open(stream, &config) else { continue };
        callers.add(&io.get_ref(), socket);
        ntex::rt::spawn(service.call_nowait(io)).detach();
    }
}

/// Returns a connection for the HTTP server, and its socket.
fn open(stream: TcpStream, config: &SharedCfg) -> io::Result<(Io, Socket)> {
    let stream = stream.into_std()?;
    let socket = Socket::from(stream.try_clone()?);
    Ok((ntex::rt::from_tcp_stream(stream, config.clone())?, socket))
}

fn config(head_bytes: usize) -> SharedCfg {
    let http = HttpServiceConfig::new()
        .set_keepalive(KEEP_ALIVE)
        .set_headers_read_rate(HEAD_PAUSE, HEAD_LIMIT, HEAD_RATE)
        .set_max_buf_size(head_bytes);
    SharedCfg::new("callers").add(http).into()
}
