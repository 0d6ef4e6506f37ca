//! Connections to targets through another entry, for an entry that reaches none itself.
//!
//! The relay is a WebSocket to the address on which the other entry accepts links. Its first message
//! names the target, the reply says whether a connection to it is open, and all later ones carry the
//! bytes of that connection. The other entry reads none of them, so requests, answers and what is
//! known of them are the same as over a direct connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use futures_util::future::{Ready, ready};
use futures_util::sink::{SinkMapErr, With};
use futures_util::stream::{Map, SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, Join, copy, join, split};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::{self, Bytes, Message};
use tokio_tungstenite::{WebSocketStream, client_async_with_config};
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};

use crate::connection::exchange;
use crate::connection::link::websocket_config;
use crate::connection::monitor::MonitoredSocket;

/// The path that tells a relay from a link.
pub(crate) const PATH: &str = "/relay";

/// How long the other entry may wait for the name of the target.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

type Payload = fn(Result<Message, tungstenite::Error>) -> io::Result<Bytes>;
type Source<S> = Map<SplitStream<WebSocketStream<S>>, Payload>;
type Sink<S> = With<
    SinkMapErr<SplitSink<WebSocketStream<S>, Message>, fn(tungstenite::Error) -> io::Error>,
    Message,
    Bytes,
    Ready<io::Result<Message>>,
    fn(Bytes) -> Ready<io::Result<Message>>,
>;

/// The bytes of a connection to a target that another entry has opened.
pub(crate) type Relayed<S = TcpStream> =
    Join<StreamReader<Source<S>, Bytes>, SinkWriter<CopyToBytes<Sink<S>>>>;

/// Requests a connection to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Request {
    pub(crate) target: id::Target,
    /// How long it is expected to be used, in milliseconds; 0 if unknown.
    #[serde(default)]
    pub(crate) use_ms: u64,
}

/// Whether the connection is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Reply {
    Open,
    Refused(Refusal),
}

/// Why another entry opens no connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Refusal {
    /// It does not know the target.
    #[display("unknown")]
    Unknown,
    /// The target asked it for rest.
    #[display("resting")]
    Resting,
    /// It relays as many connections as it may.
    #[display("busy")]
    Busy,
    /// It ends too soon.
    #[display("leaving")]
    Leaving,
    /// It reaches no target either.
    #[display("isolated")]
    Isolated,
    /// It reaches other targets, but not this one.
    #[display("unreached")]
    Unreached,
}

/// A connection could not be opened through another entry.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum OpenError {
    /// The other entry did not answer.
    #[display("no answer; see the other entry's log")]
    NoAnswer,
    /// The other entry refused.
    #[display("refused ({reason}); see the other entry's log")]
    Refused { reason: Refusal },
}

/// Opens a connection to a target through the entry that accepts links at `address`, all of it
/// `within` that time.
pub(crate) async fn open(
    address: SocketAddr,
    request: &Request,
    within: Duration,
) -> Result<Relayed, OpenError> {
    let opened = async {
        let stream = exchange::connect(address, within).await.ok()?;
        let url = format!("ws://{address}{PATH}");
        let (mut socket, _) =
            client_async_with_config(url, stream, Some(websocket_config())).await.ok()?;
        socket.send(encode(request)).await.ok()?;
        let reply: Reply = decode(&socket.next().await?.ok()?)?;
        Some((reply, socket))
    };
    match timeout(within, opened).await {
        Ok(Some((Reply::Open, socket))) => Ok(bytes(socket)),
        Ok(Some((Reply::Refused(reason), _))) => Err(OpenError::Refused { reason }),
        Ok(None) | Err(_) => Err(OpenError::NoAnswer),
    }
}

/// A relay that another entry has requested.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) request: Request,
    socket: WebSocketStream<MonitoredSocket<TcpStream>>,
}

impl Incoming {
    /// Reads which target is requested; `None` if that does not arrive.
    pub(crate) async fn read(
        mut socket: WebSocketStream<MonitoredSocket<TcpStream>>,
    ) -> Option<Self> {
        let message = timeout(REQUEST_TIMEOUT, socket.next()).await.ok()??.ok()?;
        Some(Self { request: decode(&message)?, socket })
    }

    /// Replies that no connection is opened.
    pub(crate) async fn refuse(mut self, refusal: Refusal) {
        // Fails only if the other entry no longer waits.
        let _ = self.socket.send(encode(&Reply::Refused(refusal))).await;
    }

    /// Relays bytes to and from an open connection until either end closes.
    pub(crate) async fn relay(mut self, target: impl AsyncRead + AsyncWrite + Unpin) {
        if self.socket.send(encode(&Reply::Open)).await.is_err() {
            return;
        }
        let (mut from_entry, mut to_entry) = split(bytes(self.socket));
        let (mut from_target, mut to_target) = split(target);
        tokio::select! {
            // The entry has closed its end or is lost: the target must notice at once.
            _ = copy(&mut from_entry, &mut to_target) => {}
            answered = copy(&mut from_target, &mut to_entry) => {
                // Only an orderly end of the target's bytes is passed on as one.
                if answered.is_ok() {
                    let _ = to_entry.shutdown().await;
                }
            }
        }
    }
}

fn encode(value: &impl Serialize) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory cannot fail");
    Message::binary(bytes)
}

fn decode<T: DeserializeOwned>(message: &Message) -> Option<T> {
    match message {
        Message::Binary(bytes) => ciborium::from_reader(bytes.as_ref()).ok(),
        _ => None,
    }
}

fn bytes<S: AsyncRead + AsyncWrite + Unpin>(socket: WebSocketStream<S>) -> Relayed<S> {
    let (sink, source) = socket.split();
    let payload: fn(_) -> _ = payload;
    let message: fn(_) -> _ = |bytes| ready(Ok(Message::Binary(bytes)));
    let failure: fn(_) -> _ = io::Error::other;
    let sink = sink.sink_map_err(failure).with(message);
    join(StreamReader::new(source.map(payload)), SinkWriter::new(CopyToBytes::new(sink)))
}

/// Returns the bytes of a message. Messages without any are skipped by the reader.
fn payload(message: Result<Message, tungstenite::Error>) -> io::Result<Bytes> {
    match message {
        Ok(Message::Binary(bytes)) => Ok(bytes),
        Ok(_) => Ok(Bytes::new()),
        Err(error) => Err(io::Error::other(error)),
    }
}
