//! One link to an engine that carries one generation's stream.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::failover::Failure;
use fireflyhoist_policy::id;
use fireflyhoist_wire::engine::{READER_HEADER, Start};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::{Method, Payload, StatusCode};
use ntex::time::timeout;
use ntex::util::{Bytes, stream_recv};

use crate::connection::{unpooled, unwritten};

/// How long an engine may take to take note of a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Where a generation runs and who reads it.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) address: SocketAddr,
    pub(crate) generation: id::Generation,
    pub(crate) reader: id::Request,
}

/// A link whose engine has answered that it has the generation.
#[derive(Debug)]
pub(crate) struct Link {
    payload: Payload,
}

impl Link {
    /// Begins a generation; the engine runs it once, however often it is begun under one id.
    pub(crate) async fn start(
        client: &Client,
        site: &Site,
        start: &Start,
        answer_timeout: Duration,
    ) -> Result<Self, Failure> {
        let request = request(client, Method::POST, site, "/v1/streams");
        let response = response_within(request.send_json(start), answer_timeout).await?;
        match response.status() {
            status if status.is_success() => Ok(Self { payload: response.take_payload() }),
            StatusCode::SERVICE_UNAVAILABLE => Err(Failure::Declined),
            status if status.is_client_error() => Err(Failure::Declined),
            _ => Err(Failure::Lost),
        }
    }

    /// Goes on with a generation from the token at `from` on.
    pub(crate) async fn resume(
        client: &Client,
        site: &Site,
        from: u64,
        answer_timeout: Duration,
    ) -> Result<Self, Failure> {
        let path = format!("/v1/streams/{}?from={from}", site.generation);
        let request = request(client, Method::GET, site, &path);
        let response = response_within(request.send(), answer_timeout).await?;
        match response.status() {
            status if status.is_success() => Ok(Self { payload: response.take_payload() }),
            // Too busy to answer is no reason to give up a generation that it may still run.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Failure::Cut),
            _ => Err(Failure::Lost),
        }
    }

    /// The next bytes; the end of the connection counts as a cut, since the end mark is an event.
    pub(crate) async fn read(&mut self) -> Result<Bytes, Failure> {
        match stream_recv(&mut self.payload).await {
            Some(Ok(bytes)) => Ok(bytes),
            Some(Err(_)) | None => Err(Failure::Cut),
        }
    }
}

fn request(client: &Client, method: Method, site: &Site, path: &str) -> ClientRequest {
    // Guards against resuming into another silent connection of the pool: each link is new.
    unpooled(client, method, site.address, path).header(READER_HEADER, site.reader.to_string())
}

async fn response_within(
    send: impl Future<Output = Result<ClientResponse, ntex::client::error::ClientError>>,
    answer_timeout: Duration,
) -> Result<ClientResponse, Failure> {
    match timeout(answer_timeout, send).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if unwritten(&error) => Err(Failure::Refused),
        Ok(Err(_)) => Err(Failure::Cut),
        Err(()) => Err(Failure::Silent),
    }
}

/// Tells the engine that this reader waits for the generation no more.
pub(crate) async fn cancel(client: &Client, site: &Site) {
    let path = format!("/v1/streams/{}", site.generation);
    let request = request(client, Method::DELETE, site, &path);
    // An engine that cannot be reached goes on until it notices that nobody reads.
    drop(timeout(CANCEL_TIMEOUT, request.send()).await);
}
