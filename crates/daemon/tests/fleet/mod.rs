//! A platform and daemons, each a process of its own, and a relay that can fall silent.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use fireflyhoist_harness::{Entry, Process, client, host_list_at, standin};
use ntex::client::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The platform of one test, and a client.
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

    /// Reads a path of a daemon until the answer's body holds `words`.
    pub(crate) async fn until(&self, address: SocketAddr, path: &str, words: &str) -> String {
        let mut last = String::new();
        for _ in 0..3_000 {
            let response = self.client.get(format!("http://{address}{path}")).send().await;
            if let Ok(response) = response {
                let body = response.body().await.unwrap_or_default();
                last = String::from_utf8_lossy(&body).into_owned();
                if last.contains(words) {
                    return last;
                }
            }
            ntex::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        panic!("{path} of {address} says {last:?}, not {words:?}");
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

/// Passes connections on to `to`, until those open at a moment are made silent for good.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    era: Arc<AtomicUsize>,
    opened: Arc<AtomicUsize>,
}

impl Relay {
    pub(crate) async fn open(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let (era, opened) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (eras, count) = (Arc::clone(&era), Arc::clone(&opened));
        ntex::rt::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::AcqRel);
                let Ok(far) = TcpStream::connect(to).await else { continue };
                let born = eras.load(Ordering::Acquire);
                let (near, far) = (near.into_split(), far.into_split());
                pass(near.0, far.1, Arc::clone(&eras), born);
                pass(far.0, near.1, Arc::clone(&eras), born);
            }
        })
        .detach();
        Self { address, era, opened }
    }

    /// Lets no byte more through on the connections that are open now, and closes none of them.
    pub(crate) fn silence(&self) -> usize {
        self.era.fetch_add(1, Ordering::AcqRel);
        self.opened.load(Ordering::Acquire)
    }

    /// Connections ever opened.
    pub(crate) fn opened(&self) -> usize {
        self.opened.load(Ordering::Acquire)
    }
}

fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    eras: Arc<AtomicUsize>,
    born: usize,
) {
    ntex::rt::spawn(async move {
        let mut buffer = [0; 4096];
        while let Ok(count) = from.read(&mut buffer).await {
            if eras.load(Ordering::Acquire) != born {
                // Held open and silent, as where something between the ends lost track of it.
                return std::future::pending().await;
            }
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    })
    .detach();
}
