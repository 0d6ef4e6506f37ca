//! Connections to targets. Everything that is sent to a target goes through this module.

use std::time::Duration;

use fireflyhoist_policy::lease::Target;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::exchange::{self, CONNECT_TIMEOUT, Failure, Outgoing, Response};
use crate::connection::forwarder;
use crate::process::state::Process;

impl Process {
    /// Opens a connection to a target `within` that time.
    pub(crate) async fn connect(
        &self,
        target: &Target,
        within: Duration,
    ) -> Result<TcpStream, Failure> {
        let within = CONNECT_TIMEOUT.min(within);
        match self.settings.forwarder {
            Some(forwarder) => forwarder::connect(forwarder, target.address, within).await,
            None => exchange::connect(target.address, within).await,
        }
    }

    /// Sends a request to a target over a new connection and waits for the head of its response,
    /// for at most `within` after the connection is open.
    pub(crate) async fn send(
        &self,
        target: &Target,
        outgoing: Outgoing,
        within: Duration,
    ) -> Result<Response, Failure> {
        let stream = self.connect(target, within).await?;
        exchange::send_over(stream, target.address, outgoing, within).await
    }

    /// Sends a request to a target and reads a small response, all of it `within` that time.
    pub(crate) async fn call(
        &self,
        target: &Target,
        outgoing: Outgoing,
        within: Duration,
        limit: usize,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let fetched = async {
            let mut response = self.send(target, outgoing, within).await?;
            let body = response.read_body(limit).await?;
            Ok((response.status, body))
        };
        timeout(within, fetched).await.unwrap_or(Err(Failure::TimedOut))
    }
}
