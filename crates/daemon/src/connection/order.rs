//! Reading what an engine holds and giving it orders.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::order::lease::WRITE_TIMEOUT;
use fireflyhoist_wire::order::{Observed, Order, PATH, Refused};
use ntex::client::Client;
use ntex::http::StatusCode;

/// How long an engine may take to say what it holds; reads stand in nobody's way.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The engine says that it took it.
    Taken,
    /// The engine has seen a higher fencing number.
    Refused(Refused),
    /// It may have arrived, may arrive later, or is lost; only the next read can tell.
    Unknown,
}

/// What the engine at `address` holds, or `None` where it does not say.
pub(crate) async fn read(client: &Client, address: SocketAddr) -> Option<Observed> {
    let url = format!("http://{address}{PATH}");
    let response = client.get(url).timeout(READ_TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().await.ok()
}

/// Gives an order, once.
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
