//! The handshake of a link, in which both ends prove that they know the configured key.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use fireflyhoist_policy::member::proof::{self, Challenge, Role};
use fireflyhoist_wire::peer::{self, Frame, FrameError, MAX_FRAME};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// The timeout of connecting and the handshake together.
///
/// It allows many round trips between regions, and is short enough that silent connections of
/// unauthenticated clients do not accumulate.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The WebSocket connection of a link.
pub(crate) type Socket = WebSocketStream<TcpStream>;

/// The reason why a link could not be established.
#[derive(Debug, Display, Error)]
pub(crate) enum LinkError {
    #[display("no connection; see whether the host is up")]
    Unreachable,
    #[display("no answer in time; see whether the host is overloaded")]
    TimedOut,
    #[display("{_0}")]
    Unverified(#[error(not(source))] proof::VerifyError),
    #[display("{_0}")]
    Frame(#[error(not(source))] FrameError),
    #[display("an unexpected frame; run the same release on every entry host")]
    Unexpected,
    #[display("{found} answers where {expected} is listed; correct the host list")]
    WrongHost { found: id::Host, expected: id::Host },
}

/// The host name and key by which this process authenticates.
#[derive(Clone, Debug)]
pub(crate) struct Credentials {
    pub(crate) host: id::Host,
    pub(crate) key: smol_str::SmolStr,
}

fn config() -> WebSocketConfig {
    // The default lets an unauthenticated client or a faulty peer make this end buffer 64 MB for
    // one message.
    WebSocketConfig::default()
        .read_buffer_size(8 << 10)
        .max_message_size(Some(MAX_FRAME))
        .max_frame_size(Some(MAX_FRAME))
}

/// Connects to a daemon and authenticates both ends.
///
/// Fails if `expected` is given and another host answers.
pub(crate) async fn dial(
    credentials: &Credentials,
    address: SocketAddr,
    expected: Option<&id::Host>,
) -> Result<(Socket, id::Host), LinkError> {
    timeout(HANDSHAKE_TIMEOUT, prove_as_dialer(credentials, address, expected))
        .await
        .map_err(|_| LinkError::TimedOut)?
}

/// Accepts a connection and authenticates both ends.
pub(crate) async fn accept(
    credentials: &Credentials,
    stream: TcpStream,
) -> Result<(Socket, id::Host), LinkError> {
    timeout(HANDSHAKE_TIMEOUT, prove_as_listener(credentials, stream))
        .await
        .map_err(|_| LinkError::TimedOut)?
}

async fn prove_as_dialer(
    credentials: &Credentials,
    address: SocketAddr,
    expected: Option<&id::Host>,
) -> Result<(Socket, id::Host), LinkError> {
    let stream = TcpStream::connect(address).await.map_err(|_| LinkError::Unreachable)?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}/peer");
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(config()))
        .await
        .map_err(|_| LinkError::Unreachable)?;
    let Frame::Challenge(theirs) = receive(&mut socket).await? else {
        return Err(LinkError::Unexpected);
    };
    let ours = Challenge::new(rand::random());
    let proof = proof::prove(&credentials.key, Role::Dialer, ours, theirs, &credentials.host);
    let hello = Frame::Hello { host: credentials.host.clone(), challenge: ours, proof };
    send(&mut socket, &hello).await?;
    let Frame::Welcome { host, proof } = receive(&mut socket).await? else {
        return Err(LinkError::Unexpected);
    };
    proof::verify(&credentials.key, Role::Listener, ours, theirs, &host, &proof)
        .map_err(LinkError::Unverified)?;
    match expected {
        Some(expected) if *expected != host => {
            Err(LinkError::WrongHost { found: host, expected: expected.clone() })
        }
        _ => Ok((socket, host)),
    }
}

async fn prove_as_listener(
    credentials: &Credentials,
    stream: TcpStream,
) -> Result<(Socket, id::Host), LinkError> {
    let _ = stream.set_nodelay(true);
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(config()))
        .await
        .map_err(|_| LinkError::Unexpected)?;
    let ours = Challenge::new(rand::random());
    send(&mut socket, &Frame::Challenge(ours)).await?;
    let Frame::Hello { host, challenge, proof } = receive(&mut socket).await? else {
        return Err(LinkError::Unexpected);
    };
    // No frame but the handshake's is read before the key is proved; otherwise anyone who reaches
    // the port could inject a member list or a text into the fleet.
    proof::verify(&credentials.key, Role::Dialer, challenge, ours, &host, &proof)
        .map_err(LinkError::Unverified)?;
    let proof = proof::prove(&credentials.key, Role::Listener, challenge, ours, &credentials.host);
    send(&mut socket, &Frame::Welcome { host: credentials.host.clone(), proof }).await?;
    Ok((socket, host))
}

async fn send(socket: &mut Socket, frame: &Frame) -> Result<(), LinkError> {
    let message = Message::binary(peer::encode(frame));
    socket.send(message).await.map_err(|_| LinkError::Unreachable)
}

async fn receive(socket: &mut Socket) -> Result<Frame, LinkError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => peer::decode(&bytes).map_err(LinkError::Frame),
        Some(Ok(_)) => Err(LinkError::Unexpected),
        _ => Err(LinkError::Unreachable),
    }
}
