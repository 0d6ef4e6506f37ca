//! Connections to engines, each of which carries the stream of one generation.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::failover::Failure;
use fireflyhoist_policy::id;
use fireflyhoist_wire::engine::{READER_HEADER, Start};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::{Method, Payload, StatusCode};
use ntex::time::timeout;
use ntex::util::{Bytes, stream_recv};

use crate::connection::{answer, unpooled, unwritten};

/// The timeout of a cancel request to an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The engine that runs a generation, the generation and its reader.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) address: SocketAddr,
    pub(crate) generation: id::Generation,
    pub(crate) reader: id::Request,
}

/// A connection whose engine has confirmed that it runs the generation.
#[derive(Debug)]
pub(crate) struct Link {
    payload: Payload,
}

impl Link {
    /// Starts a generation.
    ///
    /// The engine runs it once, however often a start with the same id arrives.
    pub(crate) async fn start(
        client: &Client,
        site: &Site,
        start: &Start,
        answer_timeout: Duration,
    ) -> Result<Self, Failure> {
        let request = request(client, Method::POST, site, "/v1/streams");
        let response =
            response_within(&Method::POST, request.send_json(start), answer_timeout).await?;
        match response.status() {
            status if status.is_success() => Ok(Self { payload: response.take_payload() }),
            StatusCode::SERVICE_UNAVAILABLE => Err(Failure::Declined),
            status if status.is_client_error() => Err(Failure::Declined),
            _ => Err(Failure::Lost),
        }
    }

    /// Resumes reading a generation from the token at offset `from`.
    pub(crate) async fn resume(
        client: &Client,
        site: &Site,
        from: u64,
        answer_timeout: Duration,
    ) -> Result<Self, Failure> {
        let path = format!("/v1/streams/{}?from={from}", site.generation);
        let request = request(client, Method::GET, site, &path);
        let response = response_within(&Method::GET, request.send(), answer_timeout).await?;
        match response.status() {
            status if status.is_success() => Ok(Self { payload: response.take_payload() }),
            // An overloaded engine may still run the generation, so it is not given up.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Failure::Cut),
            _ => Err(Failure::Lost),
        }
    }

    /// Reads the next bytes.
    ///
    /// The end of the connection is [`Failure::Cut`], because a complete stream ends with an event.
    pub(crate) async fn read(&mut self) -> Result<Bytes, Failure> {
        match stream_recv(&mut self.payload).await {
            Some(Ok(bytes)) => Ok(bytes),
            Some(Err(_)) | None => Err(Failure::Cut),
        }
    }
}

fn request(client: &Client, method: Method, site: &Site, path: &str) -> ClientRequest {
    // A pooled connection could be as silent as the one that failed, so each link opens a new one.
    unpooled(client, method, site.address, path).header(READER_HEADER, site.reader.to_string())
}

async fn response_within(
    method: &Method,
    send: impl Future<Output = Result<ClientResponse, ntex::client::error::ClientError>>,
    answer_timeout: Duration,
) -> Result<ClientResponse, Failure> {
    match timeout(answer_timeout, send).await {
        Ok(Ok(response)) => answer::check(method, response).map_err(|_| Failure::Cut),
        Ok(Err(error)) if unwritten(&error) => Err(Failure::Refused),
        Ok(Err(_)) => Err(Failure::Cut),
        Err(()) => Err(Failure::Silent),
    }
}

/// Cancels this reader's interest in a generation at its engine; errors are ignored.
pub(crate) async fn cancel(client: &Client, site: &Site) {
    let path = format!("/v1/streams/{}", site.generation);
    let request = request(client, Method::DELETE, site, &path);
    // An engine that cannot be reached generates until it notices that the stream has no reader.
    drop(timeout(CANCEL_TIMEOUT, request.send()).await);
}
