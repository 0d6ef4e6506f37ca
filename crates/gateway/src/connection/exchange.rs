//! One request to a target or the registry and its response, with every failure told apart.
//!
//! Each exchange has a connection of its own, which is closed after it. A pool was weighed: a
//! pooled connection may be closing or silent as the request is written, which leaves the fate of a
//! request that may not be repeated unknown, and bytes that belong to nobody may lie on it.
//! `docs/PLATFORM.md` has what a new connection costs.
//!
//! The server library's own client was ruled out: it takes a response without a length for one
//! without a body, and its pool opens connections to one address one after the other.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_util::future::{AbortHandle, abortable};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use ntex::http::header::{HOST, HeaderValue};
use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::time::timeout;
use ntex::util::{Bytes, BytesMut};
use tokio::net::TcpStream;

/// How long opening a connection may take. A hundred round trips between failure domains, and less
/// than half of the shortest patience in use: what is not connected by then goes elsewhere, which
/// is safe, since no byte was written.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why an exchange brought no whole response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection came about: the request was not written.
    #[display("not reached; see whether the target is up")]
    ConnectFailed,
    /// The connection ended, or what came is no response; the request may have run.
    #[display("broken off ({reason}); see the target's log")]
    Broken { reason: String },
    /// Nothing came in time; the request may have run.
    #[display("no answer in time; see whether the target is overloaded")]
    TimedOut,
    /// The body is larger than is held.
    #[display("body too large; raise the bound or send less")]
    BodyTooLarge,
}

impl Failure {
    fn broken(error: &(impl std::error::Error + ?Sized)) -> Self {
        Self::Broken { reason: error.to_string() }
    }
}

/// A request as it goes out.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Closes the connection of an exchange when its response is dropped, so that a target learns at
/// once that nobody waits.
///
/// The library closes it as well, as soon as it finds that nobody reads: the tests of callers that
/// leave pass without this. It only makes the close independent of what is still unread.
#[derive(Debug)]
struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request over a connection of its own and waits for the head of its response.
pub(crate) async fn send(
    address: SocketAddr,
    outgoing: Outgoing,
    within: Duration,
) -> Result<Response, Failure> {
    let connected = timeout(CONNECT_TIMEOUT.min(within), TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else { return Err(Failure::ConnectFailed) };
    // Small requests must not wait for the acknowledgement of earlier packets.
    let _ = stream.set_nodelay(true);
    timeout(within, exchange(stream, address, outgoing)).await.unwrap_or(Err(Failure::TimedOut))
}

async fn exchange(
    stream: TcpStream,
    address: SocketAddr,
    mut outgoing: Outgoing,
) -> Result<Response, Failure> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, driver) = handshake.map_err(|error| Failure::broken(&error))?;
    let (driver, handle) = abortable(driver);
    let connection = ConnectionGuard(handle);
    ntex::rt::spawn(async move {
        // Its failures reach the response as well.
        let _ = driver.await;
    })
    .detach();
    if !outgoing.headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::try_from(address.to_string())
    {
        outgoing.headers.insert(HOST, host);
    }
    let request = request(outgoing).map_err(|error| Failure::broken(&error))?;
    let response = sender.send_request(request).await;
    let (head, body) = response.map_err(|error| Failure::broken(&error))?.into_parts();
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.append(name.clone(), value);
        }
    }
    Ok(Response { status: head.status, headers, body, idle_timeout: None, _connection: connection })
}

fn request(
    outgoing: Outgoing,
) -> Result<hyper::Request<Full<hyper::body::Bytes>>, hyper::http::Error> {
    let body = hyper::body::Bytes::copy_from_slice(&outgoing.body);
    let mut request = hyper::Request::builder()
        .method(outgoing.method)
        .uri(outgoing.path)
        .header(hyper::header::CONNECTION, "close");
    for (name, value) in &outgoing.headers {
        request = request.header(name, value.as_bytes());
    }
    request.body(Full::new(body))
}

/// A response whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    body: Incoming,
    /// The longest time that a part of the body may take to come.
    idle_timeout: Option<Duration>,
    _connection: ConnectionGuard,
}

impl Response {
    /// The next bytes of the body, or `None` at its orderly end.
    ///
    /// The failure: a body without a length ends with its connection, and one that was reset on
    /// the way looks complete. Only an orderly close counts as its end.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let frame = match self.idle_timeout {
                None => self.body.frame().await,
                Some(idle_timeout) => timeout(idle_timeout, self.body.frame())
                    .await
                    .map_err(|()| Failure::TimedOut)?,
            };
            match frame {
                Some(Ok(frame)) => {
                    // Trailers say nothing that the caller asked for.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(Bytes::copy_from_slice(&data)));
                    }
                }
                Some(Err(error)) => return Err(Failure::broken(&error)),
                None => return Ok(None),
            }
        }
    }

    /// The whole body, where it is at most `limit` bytes.
    pub(crate) async fn read_body(&mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.chunk().await? {
            if body.len() + bytes.len() > limit {
                return Err(Failure::BodyTooLarge);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    }
}

/// Calls for a whole small reply, as engines give them.
pub(crate) async fn call(
    address: SocketAddr,
    outgoing: Outgoing,
    within: Duration,
    limit: usize,
) -> Result<(StatusCode, Bytes), Failure> {
    let fetched = timeout(within, fetch(address, outgoing, within, within, limit)).await;
    fetched.unwrap_or(Err(Failure::TimedOut)).map(|reply| (reply.status, reply.body))
}

/// A whole reply.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Calls for a reply that may be large: it begins within `begin`, and goes on after pauses of at
/// most `pause`.
///
/// **Failure:** a limit on the whole is a limit on the size. Over a narrow link a text takes longer
/// than any limit that notices a lost reply in time; it is given up nearly whole, read again from
/// the start, and its entry never gets ready. **Guard:** bytes that keep coming are no reason to
/// give up; `limit` bounds the whole.
pub(crate) async fn fetch(
    address: SocketAddr,
    outgoing: Outgoing,
    head_timeout: Duration,
    idle_timeout: Duration,
    limit: usize,
) -> Result<Reply, Failure> {
    let mut response = send(address, outgoing, head_timeout).await?;
    response.idle_timeout = Some(idle_timeout);
    let body = response.read_body(limit).await?;
    Ok(Reply { status: response.status, headers: response.headers, body })
}
