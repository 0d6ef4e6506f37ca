//! Versions of the text among daemons that run as separate processes.

mod fleet;

use fireflyhoist_harness::{entry, entry_beside, until_ready};
use fleet::{Fleet, text};

/// A new daemon starts while the platform is down. It must get the text from its peers, or it could
/// not serve; the text is large, so that it is transferred in many sections.
#[ntex::test]
async fn a_new_daemon_gets_the_text_from_peers_without_the_platform() {
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

/// A daemon that reaches neither the platform nor peers must not report ready, and must name the
/// reason.
#[ntex::test]
async fn a_daemon_without_platform_and_peers_is_not_ready() {
    let fleet = Fleet::open().await;
    fleet.fault("down").await;
    let a = entry("n-1", "d-1", fleet.platform);
    fleet.until(a.http, "/readyz", "neither peers nor the platform").await;
    fleet.fault("none").await;
    fleet.hosts(1, &[&a], &[]).await;
    fleet.text(&text(1, 0)).await;
    until_ready(&fleet.client, a.http).await;
}

/// The platform serves an older text than the one in force in the fleet. No daemon may apply it,
/// neither a running one nor one that starts, or the operators' last change would be undone.
#[ntex::test]
async fn a_stale_platform_reverts_no_daemon() {
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

/// The platform serves an invalid text. The text in force must stay, the status must show the
/// error, and the next valid text must be applied.
#[ntex::test]
async fn an_invalid_text_is_reported_and_not_applied() {
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

/// Two operators publish different texts with the same revision. All daemons must converge on the
/// same one, whichever they read last, and log the conflict.
#[ntex::test]
async fn two_texts_of_one_revision_converge_and_are_logged() {
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

/// A daemon polls the platform in a loop while nothing changes. Each of the two watched values
/// costs one long-poll call in 25 s; a daemon that polls without waiting shows as a growing count.
#[ntex::test]
async fn an_idle_daemon_holds_long_polls_instead_of_polling() {
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
    // Once a second passes without a call, both long polls are waiting.
    let mut before = reads().await;
    loop {
        ntex::time::sleep(std::time::Duration::from_secs(1)).await;
        let now = reads().await;
        if now == before {
            break;
        }
        assert!(now < 40, "{now} calls and the daemon still polls");
        before = now;
    }
}
