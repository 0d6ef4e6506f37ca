//! One request to a target or the registry and its response, with every failure told apart.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_util::StreamExt;
use ntex::client::{Client, ClientResponse};
use ntex::http::error::PayloadError;
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{HeaderMap, Method, Payload, StatusCode};
use ntex::time::timeout;
use ntex::util::{Bytes, BytesMut};

use crate::connection::client::{fresh, unwritten};

/// Why an exchange brought no whole response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection came about: the request was not written.
    #[display("not reached; see whether the target is up")]
    Unreached,
    /// The connection ended, or what came is no response; the request may have run.
    #[display("broken off ({reason}); see the target's log")]
    Broken { reason: String },
    /// Nothing came in time; the request may have run.
    #[display("no answer in time; see whether the target is overloaded")]
    Late,
    /// The body is larger than is held.
    #[display("body too large; raise the bound or send less")]
    Large,
}

impl Failure {
    fn broken(error: &dyn std::error::Error) -> Self {
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

/// Sends a request over a connection of its own and waits for the head of its response.
pub(crate) async fn send(
    client: &Client,
    address: SocketAddr,
    outgoing: Outgoing,
    within: Duration,
) -> Result<Response, Failure> {
    let mut request = fresh(client, outgoing.method, address, &outgoing.path);
    for (name, value) in &outgoing.headers {
        request.headers_mut().append(name.clone(), value.clone());
    }
    let request = request.no_decompress();
    match timeout(within, request.send_body(outgoing.body)).await {
        Ok(Ok(response)) => Ok(Response::open(response)),
        Ok(Err(error)) if unwritten(&error) => Err(Failure::Unreached),
        Ok(Err(error)) => Err(Failure::broken(&error)),
        Err(()) => Err(Failure::Late),
    }
}

/// A response whose body is still to be read.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    payload: Payload,
    /// Whether the body ends with the connection.
    unframed: bool,
}

impl Response {
    fn open(response: ClientResponse) -> Self {
        let headers = response.headers().clone();
        let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let payload = response.take_payload();
        Self { status: response.status(), headers, payload, unframed: !framed }
    }

    /// The next bytes of the body, or `None` at its orderly end.
    ///
    /// The failure: a body without a length ends with its connection, and one that was reset on
    /// the way looks complete. Only an orderly close counts as its end.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        match self.payload.next().await {
            Some(Ok(bytes)) => Ok(Some(bytes)),
            None => Ok(None),
            Some(Err(PayloadError::Incomplete(None))) if self.unframed => Ok(None),
            Some(Err(error)) => Err(Failure::broken(&error)),
        }
    }

    /// The whole body, where it is at most `limit` bytes.
    pub(crate) async fn whole(&mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.chunk().await? {
            if body.len() + bytes.len() > limit {
                return Err(Failure::Large);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    }
}

/// Calls for a whole small reply, as the registry and engines give them.
pub(crate) async fn call(
    client: &Client,
    address: SocketAddr,
    outgoing: Outgoing,
    within: Duration,
    limit: usize,
) -> Result<(StatusCode, Bytes), Failure> {
    let exchanged = async {
        let mut response = send(client, address, outgoing, within).await?;
        let body = response.whole(limit).await?;
        Ok((response.status, body))
    };
    timeout(within, exchanged).await.unwrap_or(Err(Failure::Late))
}
