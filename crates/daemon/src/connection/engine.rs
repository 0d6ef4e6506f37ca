//! One generation's stream from its engine.

use std::collections::VecDeque;
use std::net::SocketAddr;

use fireflyhoist_policy::id;
use fireflyhoist_wire::engine::{End, Start, Token};
use fireflyhoist_wire::sse;
use futures_util::StreamExt;
use ntex::client::Client;
use ntex::http::Payload;

/// The largest event that an engine may send, in bytes.
const MAX_EVENT: usize = 256 * 1024;

/// What an engine says next.
#[derive(Debug)]
pub(crate) enum Event {
    /// The token at an offset.
    Token { offset: u64, text: String },
    /// The answer is complete.
    End(End),
}

/// The stream broke before its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Broken;

/// A stream of events of one generation.
#[derive(Debug)]
pub(crate) struct Stream {
    payload: Payload,
    decoder: sse::Decoder,
    ready: VecDeque<Event>,
}

impl Stream {
    /// Begins a generation at the engine at `address`.
    pub(crate) async fn start(
        client: &Client,
        address: SocketAddr,
        start: &Start,
    ) -> Result<Self, Broken> {
        let url = format!("http://{address}/v1/streams");
        let response = client.post(url).send_json(start).await.map_err(|_| Broken)?;
        if !response.status().is_success() {
            return Err(Broken);
        }
        let payload = response.take_payload();
        let decoder = sse::Decoder::open(MAX_EVENT);
        Ok(Self { payload, decoder, ready: VecDeque::new() })
    }

    /// The next event.
    pub(crate) async fn next(&mut self) -> Result<Event, Broken> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            let bytes = self.payload.next().await.ok_or(Broken)?.map_err(|_| Broken)?;
            for event in self.decoder.feed(&bytes).map_err(|_| Broken)? {
                self.ready.push_back(typed(&event)?);
            }
        }
    }
}

fn typed(event: &sse::Event) -> Result<Event, Broken> {
    if event.name == "end" {
        return serde_json::from_str(&event.data).map(Event::End).map_err(|_| Broken);
    }
    let offset = event.id.parse().map_err(|_| Broken)?;
    let token: Token = serde_json::from_str(&event.data).map_err(|_| Broken)?;
    Ok(Event::Token { offset, text: token.text })
}

/// Tells the engine that nobody waits for a generation any more.
pub(crate) async fn cancel(client: &Client, address: SocketAddr, generation: id::Generation) {
    let url = format!("http://{address}/v1/streams/{generation}");
    // An engine that cannot be told ends the stream when it notices the cut connection.
    drop(client.delete(url).send().await);
}
