//! A registry that is restored from an older copy: its revisions go back and are assigned again.

mod support;

use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::Request;
use support::target::{Standin, answer};
use support::{eventually, route, text, unready, until_ready};
use yare::parameterized;

/// Duration of the outage before the restore.
const OUTAGE: Duration = Duration::from_millis(400);

/// Maximum time until all entries apply what the registry announces.
const PROPAGATION: Duration = Duration::from_secs(1);

async fn target(name: &str) -> Standin {
    Standin::open(name, "web", |_| answer(200, "ok")).await
}

async fn fleet(registry: &Registry, entries: usize) -> Vec<Gateway> {
    let web = Route { objective: Duration::from_millis(500), ..route("web", Kind::Safe) };
    registry.publish(text(1, vec![web]));
    let mut fleet: Vec<Gateway> = Vec::new();
    for nth in 0..entries {
        let seeds: Vec<_> = fleet.iter().map(Gateway::peers).collect();
        let entry = unready(registry.address(), &format!("entry-{nth}"), &seeds).await;
        until_ready(&entry).await;
        fleet.push(entry);
    }
    let directory = Request::get("/v1/entries?domain=hala-a");
    eventually(async || {
        let answer = directory.send(fleet[0].directory()).await;
        answer.body.matches("entry-").count() == entries
    })
    .await;
    fleet
}

async fn request_status(entry: &Gateway) -> u16 {
    Request::new("POST", "/web/x").body("b").send(entry.callers()).await.status
}

/// Sends requests to each entry until one of them reaches the target.
async fn until_used(fleet: &[Gateway], target: &Standin) {
    for entry in fleet {
        let before = target.seen().len();
        eventually(async || {
            request_status(entry).await;
            target.seen().len() > before
        })
        .await;
    }
}

/// Makes the registry unavailable, restores it from a copy, and runs `write` before it answers
/// again.
async fn restore(
    registry: &Registry,
    copy: fireflyhoist_standin::registry::Copy,
    write: impl FnOnce(),
) {
    registry.set_mood(Mood::Busy);
    tokio::time::sleep(OUTAGE).await;
    registry.restore(copy);
    write();
    registry.set_mood(Mood::Well);
}

/// Guards against the list and the changes of a restored registry being ignored as outdated.
#[parameterized(
    one_entry = { 1, 0 },
    three_entries = { 3, 0 },
    revisions_reused = { 1, 12 },
    revisions_reused_three_entries = { 3, 12 },
)]
#[test_macro(ntex::test)]
async fn changes_of_a_restored_registry_are_applied(entries: usize, rewritten: u64) {
    let registry = Registry::open().await;
    let (old, new) = (target("t-1").await, target("t-2").await);
    registry.put(old.listed.clone());
    let copy = registry.copy();
    let fleet = fleet(&registry, entries).await;
    for renewal in 2..10 {
        let listed = fireflyhoist_policy::lease::Target { renewal, ..old.listed.clone() };
        registry.put(listed);
    }
    until_used(&fleet, &old).await;
    restore(&registry, copy, || {
        registry.put(new.listed.clone());
        for renewal in 10..10 + rewritten {
            let listed = fireflyhoist_policy::lease::Target { renewal, ..old.listed.clone() };
            registry.put(listed);
        }
    })
    .await;
    tokio::time::sleep(PROPAGATION).await;
    let before = new.seen().len();
    for entry in fleet.iter().cycle().take(6 * entries) {
        assert_eq!(request_status(entry).await, 200);
    }
    assert!(new.seen().len() >= before + entries, "{} more requests", new.seen().len() - before);
}

/// Guards against a target that announced that it drains, or that was removed, being used again
/// because a restored list contains it.
#[parameterized(drains = { true }, removed = { false })]
#[test_macro(ntex::test)]
async fn targets_removed_after_the_copy_stay_removed(drains: bool) {
    let registry = Registry::open().await;
    let (gone, kept) = (target("t-1").await, target("t-2").await);
    registry.put(gone.listed.clone());
    registry.put(kept.listed.clone());
    let copy = registry.copy();
    let fleet = fleet(&registry, 2).await;
    until_used(&fleet, &gone).await;
    match drains {
        true => registry.put(gone.draining()),
        false => registry.remove(&gone.listed),
    }
    // Entries must have applied the removal by the end of this wait.
    tokio::time::sleep(PROPAGATION).await;
    let before = gone.seen().len();
    restore(&registry, copy, || {}).await;
    tokio::time::sleep(PROPAGATION).await;
    for entry in fleet.iter().cycle().take(12) {
        assert_eq!(request_status(entry).await, 200);
    }
    assert_eq!(gone.seen().len(), before);
}

/// Guards against targets that are missing from the copy being removed before they have renewed
/// their leases, and against those that do not renew them being used forever.
#[ntex::test]
async fn targets_missing_from_the_copy_get_a_grace_period() {
    let registry = Registry::open().await;
    let (renewed, expired, other) = (target("t-1").await, target("t-2").await, target("t-3").await);
    registry.put(other.listed.clone());
    let copy = registry.copy();
    let fleet = fleet(&registry, 2).await;
    registry.put(renewed.listed.clone());
    registry.put(expired.listed.clone());
    until_used(&fleet, &renewed).await;
    until_used(&fleet, &expired).await;
    restore(&registry, copy, || {}).await;
    tokio::time::sleep(PROPAGATION).await;
    until_used(&fleet, &renewed).await;
    registry.put(fireflyhoist_policy::lease::Target { renewal: 2, ..renewed.listed.clone() });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = expired.seen().len();
    until_used(&fleet, &renewed).await;
    assert_eq!(expired.seen().len(), before);
}

/// Guards against a starting entry trusting the state that its peers have from before the restore.
#[ntex::test]
async fn an_entry_started_after_a_restore_uses_the_new_list() {
    let registry = Registry::open().await;
    let (old, new) = (target("t-1").await, target("t-2").await);
    registry.put(old.listed.clone());
    let copy = registry.copy();
    let mut fleet = fleet(&registry, 2).await;
    for renewal in 2..10 {
        registry.put(fireflyhoist_policy::lease::Target { renewal, ..old.listed.clone() });
    }
    until_used(&fleet, &old).await;
    restore(&registry, copy, || registry.put(new.listed.clone())).await;
    let seeds: Vec<_> = fleet.iter().map(Gateway::peers).collect();
    let joined = unready(registry.address(), "entry-9", &seeds).await;
    until_ready(&joined).await;
    fleet.push(joined);
    tokio::time::sleep(PROPAGATION).await;
    until_used(&fleet, &new).await;
}

/// Guards against a registry being ignored forever after a restore because it reports no era or an
/// earlier one.
#[parameterized(reports_none = { true }, era_falls = { false })]
#[test_macro(ntex::test)]
async fn a_registry_that_goes_back_without_a_new_era_is_read_in_full(no_era: bool) {
    let registry = Registry::open().await;
    registry.set_era(7);
    if no_era {
        registry.keep_quiet();
    }
    let (old, new) = (target("t-1").await, target("t-2").await);
    registry.put(old.listed.clone());
    let copy = registry.copy();
    let fleet = fleet(&registry, 1).await;
    for renewal in 2..10 {
        registry.put(fireflyhoist_policy::lease::Target { renewal, ..old.listed.clone() });
    }
    until_used(&fleet, &old).await;
    // The entry must have read past the revisions that are assigned again, otherwise the test shows
    // nothing.
    tokio::time::sleep(PROPAGATION).await;
    restore(&registry, copy, || {
        registry.set_era(3);
        registry.put(new.listed.clone());
    })
    .await;
    tokio::time::sleep(PROPAGATION).await;
    until_used(&fleet, &new).await;
}

/// Guards against the text in force being replaced by the older one of the copy.
#[ntex::test]
async fn a_restore_does_not_revert_the_text() {
    let registry = Registry::open().await;
    let served = target("t-1").await;
    registry.put(served.listed.clone());
    let fleet = fleet(&registry, 2).await;
    let copy = registry.copy();
    let web = Route { objective: Duration::from_millis(500), ..route("web", Kind::Safe) };
    let more = Route { prefix: "/more/".into(), ..web.clone() };
    registry.publish(text(5, vec![web, more]));
    let more = async |entry: &Gateway| {
        Request::new("POST", "/more/x").body("b").send(entry.callers()).await.status == 200
    };
    for entry in &fleet {
        eventually(async || more(entry).await).await;
    }
    restore(&registry, copy, || {}).await;
    for _ in 0..10 {
        tokio::time::sleep(PROPAGATION / 5).await;
        for entry in &fleet {
            assert!(more(entry).await);
        }
    }
}
