//! Membership among daemons that run as separate processes.

mod fleet;

use fireflyhoist_harness::{PATIENCE, entry, standin, until_listed, until_ready};
use fireflyhoist_policy::member::proof::{Challenge, Role, prove};
use fireflyhoist_wire::peer::{self, Frame};
use fleet::{Fleet, Relay, text};
use futures_util::{SinkExt, StreamExt};
use tokio_tungstenite::tungstenite::Message;

/// Callers are sent to an entry that is shutting down, and their requests are refused or lost. The
/// entry drains while a long answer still runs; the others must stop listing it, although it is
/// alive and the platform still lists it.
#[ntex::test]
async fn a_draining_entry_is_no_longer_listed() {
    let fleet = Fleet::open().await;
    let (_engine, engine) = standin("engine", &["--between-us", "20000"]);
    let (a, b) = (entry("m-1", "d-1", fleet.platform), entry("m-2", "d-2", fleet.platform));
    fleet.hosts(1, &[&a, &b], &[]).await;
    let text = format!(
        "revision = 1\n[[service]]\nname = \"transcribe\"\n\
         target = [{{ name = \"t1\", host = \"e1\", address = \"{engine}\" }}]\n"
    );
    fleet.text(&text).await;
    until_listed(&fleet.client, a.http, &["m-1", "m-2"]).await;
    let body = serde_json::json!({"model": "transcribe", "prompt": "lines=60", "stream": true});
    let url = format!("http://{}/v1/completions", b.http);
    let running = fleet.client.post(url).send_json(&body).await.expect("sent");
    assert_eq!(running.status(), 200);
    b.process.term();
    until_listed(&fleet.client, a.http, &["m-1"]).await;
    fleet.until(a.http, "/v1/status", "\"leaving\"").await;
    fleet.until(b.http, "/readyz", "leaving").await;
    drop(running);
}

/// The platform marks a host as leaving. The daemon on that host must refuse new requests on its
/// own, naming the entries to use instead, and all others must stop listing it.
#[ntex::test]
async fn an_entry_on_a_leaving_host_refuses_new_requests() {
    let fleet = Fleet::open().await;
    let (a, b) = (entry("p-1", "d-1", fleet.platform), entry("p-2", "d-2", fleet.platform));
    fleet.hosts(1, &[&a, &b], &[]).await;
    fleet.text(&text(1, 0)).await;
    until_listed(&fleet.client, a.http, &["p-1", "p-2"]).await;
    until_listed(&fleet.client, b.http, &["p-1", "p-2"]).await;
    fleet.hosts(2, &[&a, &b], &[&b]).await;
    until_listed(&fleet.client, a.http, &["p-1"]).await;
    let refusal = fleet.until(b.http, "/s/search/villages", "\"leaving\"").await;
    assert!(refusal.contains("\"p-1\"") && refusal.contains("\"no\""), "{refusal}");
}

/// Callers are sent to an entry that was killed. It announced no shutdown, so the others must
/// detect the failure and stop listing it.
#[ntex::test]
async fn a_killed_entry_is_no_longer_listed() {
    let fleet = Fleet::open().await;
    let (a, mut b) = (entry("k-1", "d-1", fleet.platform), entry("k-2", "d-2", fleet.platform));
    fleet.hosts(1, &[&a, &b], &[]).await;
    fleet.text(&text(1, 0)).await;
    until_listed(&fleet.client, a.http, &["k-1", "k-2"]).await;
    b.process.kill();
    until_listed(&fleet.client, a.http, &["k-1"]).await;
}

/// An entry is paused until the others consider it dead, and continues with stale state. It must
/// detect the pause, ask its peers before it reports ready, and be listed again.
#[ntex::test]
async fn a_paused_entry_detects_it_and_is_listed_again() {
    let fleet = Fleet::open().await;
    let (a, b) = (entry("s-1", "d-1", fleet.platform), entry("s-2", "d-2", fleet.platform));
    fleet.hosts(1, &[&a, &b], &[]).await;
    fleet.text(&text(1, 0)).await;
    until_listed(&fleet.client, a.http, &["s-1", "s-2"]).await;
    b.process.pause();
    until_listed(&fleet.client, a.http, &["s-1"]).await;
    b.process.wake();
    b.process.line("this process slept");
    b.process.line("readiness");
    until_ready(&fleet.client, b.http).await;
    until_listed(&fleet.client, a.http, &["s-1", "s-2"]).await;
    until_listed(&fleet.client, b.http, &["s-1", "s-2"]).await;
}

/// The connection between two healthy entries goes silent for good, while new connections work. It
/// must be replaced, or the two would lose contact for good; neither may be considered dead.
#[ntex::test]
async fn a_silent_link_is_replaced() {
    let fleet = Fleet::open().await;
    let (mut a, mut b) = (entry("l-1", "d-1", fleet.platform), entry("l-2", "d-2", fleet.platform));
    let (to_a, to_b) = (Relay::open(a.peer).await, Relay::open(b.peer).await);
    (a.peer, b.peer) = (to_a.address, to_b.address);
    fleet.hosts(1, &[&a, &b], &[]).await;
    fleet.text(&text(1, 0)).await;
    until_listed(&fleet.client, a.http, &["l-1", "l-2"]).await;
    until_listed(&fleet.client, b.http, &["l-1", "l-2"]).await;
    let before = to_a.silence() + to_b.silence();
    let end = std::time::Instant::now() + PATIENCE;
    while to_a.opened() + to_b.opened() == before {
        if std::time::Instant::now() >= end {
            let status = fleet.until(a.http, "/v1/status", "").await;
            panic!("no new link; status of l-1: {status}");
        }
        ntex::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    // A membership change must reach the other entry over the new link.
    b.process.term();
    until_listed(&fleet.client, a.http, &["l-1"]).await;
}

/// A peer without the key connects to the peer port. It must receive no data after the challenge,
/// must not become a member, and must be logged.
#[ntex::test]
async fn an_unauthenticated_peer_is_refused_and_logged() {
    let fleet = Fleet::open().await;
    let a = entry("x-1", "d-1", fleet.platform);
    let stream = tokio::net::TcpStream::connect(a.peer).await.expect("connected");
    let url = format!("ws://{}/peer", a.peer);
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.expect("upgraded");
    let Some(Ok(Message::Binary(bytes))) = socket.next().await else { panic!("no challenge") };
    let Ok(Frame::Challenge(theirs)) = peer::decode(&bytes) else { panic!("no challenge") };
    let host: fireflyhoist_policy::id::Host = "x-2".parse().expect("a name");
    let ours = Challenge::new([1, 2]);
    let proof = prove("a guess", Role::Dialer, ours, theirs, &host);
    let hello = peer::encode(&Frame::Hello { host, challenge: ours, proof });
    socket.send(Message::binary(hello)).await.expect("sent");
    let answer = socket.next().await;
    assert!(
        !matches!(answer, Some(Ok(Message::Binary(_)))),
        "an unauthenticated peer got {answer:?}"
    );
    let line = a.process.line("stranger refused");
    assert!(line.contains("peer_key"), "{line}");
}
