//! Reads the state of engines and sends them orders.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::order::lease::WRITE_TIMEOUT;
use fireflyhoist_wire::order::{Observed, Order, PATH, Refused};
use ntex::client::Client;
use ntex::http::{Method, StatusCode};

use crate::connection::answer;

/// The timeout of reading an engine's state; reads block nothing else.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The outcome of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The engine accepted the order.
    Taken,
    /// The engine has seen a higher fencing number.
    Refused(Refused),
    /// The order may have arrived, may arrive later or may be lost; only the next read shows which.
    Unknown,
}

/// Returns the state of the engine at `address`, or `None` if reading it fails.
pub(crate) async fn read(client: &Client, address: SocketAddr) -> Option<Observed> {
    let url = format!("http://{address}{PATH}");
    let response = client.get(url).timeout(READ_TIMEOUT).send().await.ok()?;
    let response = answer::check(&Method::GET, response).ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().await.ok()
}

/// Sends an order once, without retries.
pub(crate) async fn write(client: &Client, address: SocketAddr, order: &Order) -> Outcome {
    let url = format!("http://{address}{PATH}");
    let Ok(response) = client.post(url).timeout(WRITE_TIMEOUT).send_json(order).await else {
        return Outcome::Unknown;
    };
    match response.status() {
        status if status.is_success() => Outcome::Taken,
        StatusCode::CONFLICT => response.json().await.map_or(Outcome::Unknown, Outcome::Refused),
        _ => Outcome::Unknown,
    }
}
