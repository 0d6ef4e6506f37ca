//! A platform that runs as a process of its own, and a relay that can stop forwarding.

#![allow(dead_code, reason = "each test file uses only some items")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use fireflyhoist_harness::{Entry, Process, client, host_list_at, standin};
use ntex::client::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The platform process of one test, and an HTTP client.
pub(crate) struct Fleet {
    _platform: Process,
    pub(crate) platform: SocketAddr,
    pub(crate) client: Client,
}

impl Fleet {
    pub(crate) async fn open() -> Self {
        let (process, platform) = standin("platform", &[]);
        Self { _platform: process, platform, client: client().await }
    }

    pub(crate) async fn put(&self, path: &str, body: String, kind: &'static str) {
        let url = format!("http://{}/operator/{path}", self.platform);
        let response = self.client.put(url).content_type(kind).send_body(body).await;
        assert!(response.expect("the platform answers").status().is_success());
    }

    pub(crate) async fn text(&self, body: &str) {
        self.put("text", body.to_owned(), "text/plain").await;
    }

    pub(crate) async fn fault(&self, name: &str) {
        self.put("fault", format!("\"{name}\""), "application/json").await;
    }

    pub(crate) async fn hosts(&self, sequence: u64, entries: &[&Entry], leaving: &[&Entry]) {
        self.put("hosts", host_list_at(sequence, entries, leaving), "application/json").await;
    }

    /// Polls a path of a daemon until the response body contains `expected`, which it returns.
    ///
    /// Panics after 3,000 polls.
    pub(crate) async fn until(&self, address: SocketAddr, path: &str, expected: &str) -> String {
        let mut last = String::new();
        for _ in 0..3_000 {
            let response = self.client.get(format!("http://{address}{path}")).send().await;
            if let Ok(response) = response {
                let body = response.body().await.unwrap_or_default();
                last = String::from_utf8_lossy(&body).into_owned();
                if last.contains(expected) {
                    return last;
                }
            }
            ntex::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        panic!("{path} of {address} returned {last:?}, which lacks {expected:?}");
    }
}

/// A text with one service and `workspaces` workspaces.
pub(crate) fn text(revision: u64, workspaces: usize) -> String {
    let mut text = format!(
        "revision = {revision}\n[[service]]\nname = \"search\"\nkind = \"plain\"\n\
         target = [{{ name = \"s1\", host = \"w1\", address = \"127.0.0.1:9\" }}]\n"
    );
    for number in 0..workspaces {
        text.push_str(&format!(
            "[[workspace]]\nname = \"w{number}\"\nweight = {}\n",
            number % 9 + 1
        ));
    }
    text
}

/// Forwards connections to `to`; those open when [`Relay::silence`] is called stay silent for good.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    epoch: Arc<AtomicUsize>,
    opened: Arc<AtomicUsize>,
}

impl Relay {
    pub(crate) async fn open(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let (epoch, opened) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (epochs, count) = (Arc::clone(&epoch), Arc::clone(&opened));
        ntex::rt::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::AcqRel);
                let Ok(far) = TcpStream::connect(to).await else { continue };
                let opened_in = epochs.load(Ordering::Acquire);
                let (near, far) = (near.into_split(), far.into_split());
                forward(near.0, far.1, Arc::clone(&epochs), opened_in);
                forward(far.0, near.1, Arc::clone(&epochs), opened_in);
            }
        })
        .detach();
        Self { address, epoch, opened }
    }

    /// Stops forwarding on all open connections without closing them.
    ///
    /// Returns the number of connections opened so far.
    pub(crate) fn silence(&self) -> usize {
        self.epoch.fetch_add(1, Ordering::AcqRel);
        self.opened.load(Ordering::Acquire)
    }

    /// Returns the number of connections opened so far.
    pub(crate) fn opened(&self) -> usize {
        self.opened.load(Ordering::Acquire)
    }
}

fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    epochs: Arc<AtomicUsize>,
    opened_in: usize,
) {
    ntex::rt::spawn(async move {
        let mut buffer = [0; 4096];
        while let Ok(count) = from.read(&mut buffer).await {
            if epochs.load(Ordering::Acquire) != opened_in {
                // Kept open without traffic, as when a middlebox on the path has lost the
                // connection's state.
                return std::future::pending().await;
            }
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    })
    .detach();
}
