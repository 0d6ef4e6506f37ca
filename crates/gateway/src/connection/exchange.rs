//! HTTP exchanges with targets and the registry: one request, its response, and distinct failures.
//!
//! Each exchange opens its own connection, which is closed afterwards. Pooled connections are not
//! used: one may be closing or dead when the request is written, which leaves unknown whether a
//! request that must not be repeated ran, and it may hold stray bytes of an earlier response.
//!
//! The client of the server library (`ntex`) is not used: it treats a response without a length as
//! one without a body, and its pool opens connections to one address one at a time.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use futures_util::future::{AbortHandle, abortable};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use ntex::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, TRANSFER_ENCODING};
use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::util::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout, timeout_at};

use crate::connection::buffer::{Buffer, Overfull};
use crate::connection::content::{Content, Frames};
use crate::connection::filter::Filter;
use crate::connection::memory::{GROWTH_TIMEOUT, Holding, Permit};
use crate::connection::metered::{Metered, Progress};
use crate::platform::Call;

/// How long opening a connection may take: a hundred round trips between failure domains, and less
/// than half of the shortest timeout of callers in use. A request that is not connected by then is
/// sent elsewhere, which is safe because none of it was written.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of the head of a response in bytes, and of the parts in which a body is read. Heads
/// that are sound have at most a few KB.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum size of a body in bytes before it is filtered; bounds how long one without an end is read.
const MAX_FILTERED_BYTES: usize = 64 << 20;

/// What the system may receive on a connection before it is read.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// The size of the first buffer for a body of unknown length.
const FIRST_BUFFER_BYTES: usize = 4 << 10;

/// The statuses of final responses. No exchange asks for another protocol, so 101 is none of them.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The bytes of a body that must arrive within the idle timeout.
const MIN_BYTES: usize = 64;

/// Why an exchange yielded no complete response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection could be opened; the request was not written.
    #[display("cannot connect ({reason}); check that the target is up")]
    ConnectFailed { reason: Refusal },
    /// The target asked for rest, which is not over; nothing was sent.
    #[display("target rests; try another, or later")]
    Resting,
    /// The permit to send was granted too long ago; nothing was sent.
    #[display("permit expired; ask for another")]
    PermitExpired,
    /// This entry reaches no target, neither directly nor through another entry.
    #[display("no path to any target; check the network of this host")]
    NoPath,
    /// The connection ended or the bytes received are no valid response; the request may have run.
    #[display("connection failed ({reason}); see the target's log")]
    Broken { reason: String },
    /// No response arrived in time; the request may have run.
    #[display("response timed out; check whether the target is overloaded")]
    TimedOut,
    /// The body is larger than the caller of the exchange accepts.
    #[display("response body too large; raise the limit or send less")]
    BodyTooLarge,
}

/// How the attempt to open a connection ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// Nothing came back in time.
    #[display("timeout")]
    TimedOut,
    /// The other end refused or reset it.
    #[display("refused")]
    Refused,
    /// The forwarder of this host could not open it.
    #[display("not forwarded")]
    NotForwarded,
    /// Another entry, which reaches other targets, could not open it in time or at all.
    #[display("not relayed")]
    NotRelayed,
}

impl Failure {
    fn broken(error: &(impl std::error::Error + ?Sized)) -> Self {
        Self::Broken { reason: error.to_string() }
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Content,
}

impl From<Call> for Outgoing {
    fn from(call: Call) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self { method: call.method, path: call.path, headers, body: call.body.into() }
    }
}

/// Closes the connection of an exchange when its response is dropped, so that the target notices at
/// once that the response is no longer wanted.
///
/// `hyper` also closes the connection once it finds that nothing reads the response. This guard
/// closes it regardless of how much of the response is still unread.
#[derive(Debug)]
struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request over a new connection and waits for the head of its response, for at most
/// `within` after the connection is open.
pub(crate) async fn send(
    address: SocketAddr,
    outgoing: Outgoing,
    within: Duration,
) -> Result<Response, Failure> {
    let stream = connect(address, CONNECT_TIMEOUT.min(within)).await?;
    send_over(stream, address, outgoing, within).await
}

/// Opens a connection `within` that time.
pub(crate) async fn connect(address: SocketAddr, within: Duration) -> Result<TcpStream, Failure> {
    let opened = async {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // The system would receive megabytes of an answer whose caller reads slowly.
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        socket.connect(address).await
    };
    let connected = timeout(within, opened).await;
    let failed = |reason| Failure::ConnectFailed { reason };
    let stream = connected.map_err(|_| failed(Refusal::TimedOut))?;
    let stream = stream.map_err(|_| failed(Refusal::Refused))?;
    // Without Nagle's algorithm: small requests must not wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Sends a request over an open connection and waits for the head of its response, for at most
/// `within`.
pub(crate) async fn send_over<S>(
    stream: S,
    address: SocketAddr,
    outgoing: Outgoing,
    within: Duration,
) -> Result<Response, Failure>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    timeout(within, exchange(stream, address, outgoing)).await.unwrap_or(Err(Failure::TimedOut))
}

async fn exchange<S>(
    stream: S,
    address: SocketAddr,
    mut outgoing: Outgoing,
) -> Result<Response, Failure>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let progress = Progress::default();
    let stream = TokioIo::new(Metered::new(stream, progress.clone()));
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
    let (mut sender, driver) = handshake.map_err(|error| Failure::broken(&error))?;
    let (driver, handle) = abortable(driver);
    let connection = ConnectionGuard(handle);
    ntex::rt::spawn(async move {
        // Errors of the connection are also returned by the response.
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
    progress.record();
    let status = head.status;
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(Failure::Broken { reason: format!("no final status: {}", status.as_u16()) });
    }
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.append(name.clone(), value);
        }
    }
    Ok(Response {
        status,
        headers,
        relay: None,
        permit: None,
        body,
        progress,
        pace: None,
        _connection: connection,
    })
}

fn request(outgoing: Outgoing) -> Result<hyper::Request<Frames>, hyper::http::Error> {
    let mut request = hyper::Request::builder()
        .method(outgoing.method)
        .uri(outgoing.path)
        .header(hyper::header::CONNECTION, "close");
    for (name, value) in &outgoing.headers {
        request = request.header(name, value.as_bytes());
    }
    request.body(outgoing.body.into())
}

/// What tells the end of a body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Its length.
    #[display("length")]
    Length,
    /// Its last chunk.
    #[display("chunks")]
    Chunks,
    /// The end of the connection, which may have another cause.
    #[display("connection")]
    Connection,
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The entry that relays the connection; `None` where it is direct.
    pub(crate) relay: Option<id::Host>,
    /// Counts the memory of the exchange.
    pub(crate) permit: Option<Permit>,
    body: Incoming,
    progress: Progress,
    /// How fast the body must arrive; `None` for no limit.
    pace: Option<Pace>,
    _connection: ConnectionGuard,
}

impl Response {
    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// A body without a length ends when its connection closes. Only an orderly close counts as its
    /// end: otherwise a body that was cut off by a reset would look complete.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let frame = match &self.pace {
                None => self.body.frame().await,
                Some(pace) => timeout_at(pace.deadline, self.body.frame())
                    .await
                    .map_err(|_| Failure::TimedOut)?,
            };
            match frame {
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
                    if let Ok(data) = frame.into_data() {
                        self.progress.record();
                        if let Some(pace) = &mut self.pace {
                            pace.record(data.len());
                        }
                        return Ok(Some(Bytes::copy_from_slice(&data)));
                    }
                }
                Some(Err(error)) => return Err(Failure::broken(&error)),
                None => return Ok(None),
            }
        }
    }

    pub(crate) fn framing(&self) -> Framing {
        match self.headers.get_all(TRANSFER_ENCODING).last() {
            Some(codings) if ends_with_chunked(codings) => Framing::Chunks,
            Some(_) => Framing::Connection,
            None if self.headers.contains_key(CONTENT_LENGTH) => Framing::Length,
            None => Framing::Connection,
        }
    }

    /// Reads the rest of a JSON body without what the filter removes. Fails if more than `limit` bytes
    /// are left of it, or if it has more than [`MAX_FILTERED_BYTES`].
    async fn read_filtered_body(
        &mut self,
        mut filter: Filter,
        limit: usize,
    ) -> Result<Bytes, Failure> {
        let (mut body, mut arrived) = (Buffer::default(), 0);
        while let Some(bytes) = self.chunk().await? {
            arrived += bytes.len();
            let kept = filter.extend(&bytes, &mut body);
            if kept.is_err() || body.len() > limit || arrived > MAX_FILTERED_BYTES {
                return Err(Failure::BodyTooLarge);
            }
        }
        Ok(body.freeze())
    }

    /// Returns the length of the body, if the head says so.
    fn length(&self) -> Option<usize> {
        self.headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
    }

    /// Reads the rest of the body into memory that is counted as held, for which it waits. Fails if it
    /// is more than `limit` bytes.
    pub(crate) async fn read_held_body(
        &mut self,
        limit: usize,
        holding: &Holding,
    ) -> Result<Bytes, Failure> {
        let length = self.length();
        if length.is_some_and(|length| length > limit) {
            return Err(Failure::BodyTooLarge);
        }
        let first = length.unwrap_or(0);
        holding.reserve_when_free(first).await.map_err(|_| Failure::BodyTooLarge)?;
        let mut body = BytesMut::with_capacity(first);
        let mut reserved = first;
        while let Some(bytes) = self.chunk().await? {
            let needed = body.len() + bytes.len();
            if needed > limit {
                return Err(Failure::BodyTooLarge);
            }
            if needed > reserved {
                let size = needed.max(2 * reserved).max(FIRST_BUFFER_BYTES);
                let grown = holding.reserve_when_free(size - reserved);
                match timeout(GROWTH_TIMEOUT, grown).await {
                    Ok(Ok(())) => {}
                    // Answers that each hold a part and wait for more would wait for each other.
                    Ok(Err(_)) | Err(_) => return Err(Failure::BodyTooLarge),
                }
                body.reserve_exact(size - body.len());
                reserved = size;
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    }

    /// Reads the rest of the body, and fails if it is more than `limit` bytes.
    pub(crate) async fn read_body(&mut self, limit: usize) -> Result<Bytes, Failure> {
        if self.length().is_some_and(|length| length > limit) {
            return Err(Failure::BodyTooLarge);
        }
        let mut body = Buffer::default();
        while let Some(bytes) = self.chunk().await? {
            if body.len() + bytes.len() > limit {
                return Err(Failure::BodyTooLarge);
            }
            body.extend(&bytes).map_err(|Overfull| Failure::BodyTooLarge)?;
        }
        Ok(body.freeze())
    }
}

/// Returns whether the last of these transfer codings is the one that tells the end of a body (RFC 9112,
/// 6.3).
fn ends_with_chunked(codings: &HeaderValue) -> bool {
    let last = codings.to_str().ok().and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

/// How fast a body must arrive: [`MIN_BYTES`] or its end within the idle timeout.
#[derive(Debug)]
struct Pace {
    idle_timeout: Duration,
    deadline: Instant,
    /// The bytes that have arrived of the next [`MIN_BYTES`].
    bytes: usize,
}

impl Pace {
    fn new(idle_timeout: Duration) -> Self {
        Self { idle_timeout, deadline: Instant::now() + idle_timeout, bytes: 0 }
    }

    fn record(&mut self, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= MIN_BYTES {
            (self.bytes, self.deadline) = (0, Instant::now() + self.idle_timeout);
        }
    }
}

/// A response that was read completely.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends a request and reads a response that may be large: its head must arrive within
/// `head_timeout`, and its body may not stall for `idle_timeout`.
///
/// There is no timeout for the response as a whole, since that would limit its size. Over a slow
/// link a configuration text takes longer than any timeout that detects a lost response soon
/// enough; the read would be aborted shortly before its end and repeated from the start, and the
/// entry would never be ready. The size is limited by `limit` bytes, after the filter.
pub(crate) async fn fetch(
    address: SocketAddr,
    outgoing: Outgoing,
    head_timeout: Duration,
    idle_timeout: Duration,
    filter: Filter,
    limit: usize,
) -> Result<Reply, Failure> {
    let mut response = send(address, outgoing, head_timeout).await?;
    response.pace = Some(Pace::new(idle_timeout));
    let body = response.read_filtered_body(filter, limit).await?;
    Ok(Reply { status: response.status, headers: response.headers, body })
}
