//! Membership among daemons that are processes of their own.

mod fleet;

use fireflyhoist_harness::{PATIENCE, entry, standin, until_listed, until_ready};
use fireflyhoist_policy::member::proof::{Challenge, Role, prove};
use fireflyhoist_wire::peer::{self, Frame};
use fleet::{Fleet, Relay, text};
use futures_util::{SinkExt, StreamExt};
use tokio_tungstenite::tungstenite::Message;

/// A page goes to an entry that is being replaced and is refused or lost. The entry drains while a
/// long answer still runs; the others must hand it out no more, though it lives and the platform
/// still lists it.
#[ntex::test]
async fn a_draining_entry_is_handed_out_no_more() {
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

/// The platform says that a host is leaving; the daemon on it must refuse new work by itself, with
/// the entries to use instead, and all others must hand it out no more.
#[ntex::test]
async fn a_host_that_the_platform_takes_back_refuses_new_work() {
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

/// Callers are sent to an entry that was killed. Nobody said goodbye; it must be missed.
#[ntex::test]
async fn a_killed_entry_is_handed_out_no_more() {
    let fleet = Fleet::open().await;
    let (a, mut b) = (entry("k-1", "d-1", fleet.platform), entry("k-2", "d-2", fleet.platform));
    fleet.hosts(1, &[&a, &b], &[]).await;
    fleet.text(&text(1, 0)).await;
    until_listed(&fleet.client, a.http, &["k-1", "k-2"]).await;
    b.process.kill();
    until_listed(&fleet.client, a.http, &["k-1"]).await;
}

/// An entry sleeps through its own burial and wakes with old facts. It is stopped until the others
/// miss it, then goes on: it must notice, ask before it is ready, and be handed out again.
#[ntex::test]
async fn a_stopped_entry_notices_and_is_taken_in_again() {
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

/// Two entries lose sight of each other for good though both are well: the connection between them
/// went silent and new ones work. It must be replaced, and neither be taken for dead.
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
            panic!("no new link; l-1 says {status}");
        }
        ntex::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    // News crosses the new link: what one learns reaches the other.
    b.process.term();
    until_listed(&fleet.client, a.http, &["l-1"]).await;
}

/// A stranger that reaches the port must be told nothing, taken for no member, and logged.
#[ntex::test]
async fn a_stranger_is_refused_and_logged() {
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
    assert!(!matches!(answer, Some(Ok(Message::Binary(_)))), "a stranger got {answer:?}");
    let line = a.process.line("stranger refused");
    assert!(line.contains("peer_key"), "{line}");
}
