//! Versions among daemons that are processes of their own.

mod fleet;

use fireflyhoist_harness::{entry, entry_beside, until_ready};
use fleet::{Fleet, text};

/// A replaced host cannot serve while the platform is down. It must learn the text from its peers;
/// this one is large, so that it comes in many sections.
#[ntex::test]
async fn with_the_platform_down_a_new_daemon_learns_from_peers() {
    let fleet = Fleet::open().await;
    let a = entry("v-1", "d-1", fleet.platform);
    fleet.hosts(1, &[&a], &[]).await;
    fleet.text(&text(3, 8_000)).await;
    until_ready(&fleet.client, a.http).await;
    fleet.fault("down").await;
    let b = entry_beside("v-2", "d-2", fleet.platform, &[&a]);
    until_ready(&fleet.client, b.http).await;
    let ready = fleet.until(a.http, "/readyz", "ready version=3-").await;
    fleet.until(b.http, "/readyz", &ready).await;
}

/// With neither platform nor peers a daemon must not say that it is ready, and must say why.
#[ntex::test]
async fn with_neither_a_daemon_is_not_ready() {
    let fleet = Fleet::open().await;
    fleet.fault("down").await;
    let a = entry("n-1", "d-1", fleet.platform);
    fleet.until(a.http, "/readyz", "neither peers nor the platform").await;
    fleet.fault("none").await;
    fleet.hosts(1, &[&a], &[]).await;
    fleet.text(&text(1, 0)).await;
    until_ready(&fleet.client, a.http).await;
}

/// Operators removed a workspace and it is back. The platform serves an older text than the fleet
/// runs; no daemon may follow it, neither one that runs nor one that starts.
#[ntex::test]
async fn a_stale_platform_reverts_nobody() {
    let fleet = Fleet::open().await;
    let a = entry("o-1", "d-1", fleet.platform);
    fleet.hosts(1, &[&a], &[]).await;
    fleet.text(&text(5, 0)).await;
    until_ready(&fleet.client, a.http).await;
    fleet.text(&text(4, 0)).await;
    let status = fleet.until(a.http, "/v1/status", "is older than").await;
    assert!(status.contains("raise `revision`"), "{status}");
    let b = entry_beside("o-2", "d-2", fleet.platform, &[&a]);
    fleet.hosts(2, &[&a, &b], &[]).await;
    until_ready(&fleet.client, b.http).await;
    fleet.until(b.http, "/readyz", "ready version=5-").await;
    fleet.until(a.http, "/readyz", "ready version=5-").await;
}

/// A typing error reaches the platform. The text in force must stay, operators must see the error,
/// and the next good text must come in.
#[ntex::test]
async fn an_invalid_text_is_told_and_changes_nothing() {
    let fleet = Fleet::open().await;
    let a = entry("i-1", "d-1", fleet.platform);
    fleet.hosts(1, &[&a], &[]).await;
    fleet.text(&text(1, 0)).await;
    until_ready(&fleet.client, a.http).await;
    fleet.text("revision = 2\n[[service]\n").await;
    fleet.until(a.http, "/v1/status", "\"refused\":\"").await;
    fleet.until(a.http, "/readyz", "ready version=1-").await;
    fleet.text(&text(3, 0)).await;
    fleet.until(a.http, "/readyz", "ready version=3-").await;
    fleet.until(a.http, "/v1/status", "\"refused\":null").await;
}

/// Two operators publish at once under one revision; whichever is read last, all must end with the
/// same, and the log must say so.
#[ntex::test]
async fn two_texts_of_one_revision_end_alike_and_are_logged() {
    let fleet = Fleet::open().await;
    let (a, b) = (entry("c-1", "d-1", fleet.platform), entry("c-2", "d-2", fleet.platform));
    fleet.hosts(1, &[&a, &b], &[]).await;
    fleet.text(&text(2, 1)).await;
    until_ready(&fleet.client, a.http).await;
    fleet.text(&text(2, 2)).await;
    let line = a.process.line("two texts share a revision");
    let higher = line.split_whitespace().find_map(|word| word.strip_prefix("higher="));
    let wanted = format!("ready version={}", higher.expect("the line names it"));
    fleet.until(a.http, "/readyz", &wanted).await;
    fleet.until(b.http, "/readyz", &wanted).await;
}

/// The platform is busy with watches of daemons that have nothing to learn. Each of the two values
/// costs a watcher one call in 25 s; a daemon that asks over and over shows as a growing count.
#[ntex::test]
async fn a_daemon_that_learns_nothing_waits_in_two_calls() {
    let fleet = Fleet::open().await;
    let a = entry("w-1", "d-1", fleet.platform);
    fleet.hosts(1, &[&a], &[]).await;
    fleet.text(&text(1, 0)).await;
    until_ready(&fleet.client, a.http).await;
    let reads = async || -> u64 {
        let url = format!("http://{}/operator/reads", fleet.platform);
        let response = fleet.client.get(url).send().await.expect("sent");
        let body = response.body().await.expect("a count");
        std::str::from_utf8(&body).expect("digits").parse().expect("a count")
    };
    // Both watches are waiting once a second passes without a call.
    let mut before = reads().await;
    loop {
        ntex::time::sleep(std::time::Duration::from_secs(1)).await;
        let now = reads().await;
        if now == before {
            break;
        }
        assert!(now < 40, "{now} calls and still none that waits");
        before = now;
    }
}
