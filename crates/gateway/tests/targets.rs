//! Where work goes while targets come, leave and fail.

mod support;

use std::time::Duration;

use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::Request;
use support::target::{Standin, answer, listed};
use support::{eventually, gateway, route, text};

async fn two_targets() -> (Registry, Standin, Standin) {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let first = Standin::open("t-1", "web", |_| answer(200, "first")).await;
    let second = Standin::open("t-2", "web", |_| answer(200, "second")).await;
    registry.put(first.listed.clone());
    registry.put(second.listed.clone());
    (registry, first, second)
}

/// A dispatch is cut as its replica is taken down: it had said that it drains, and new work still
/// went there.
#[ntex::test]
async fn a_draining_target_gets_no_new_requests() {
    let (registry, first, second) = two_targets().await;
    let gateway = gateway(&registry).await;
    registry.put(first.draining());
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = first.seen().len();
    for _ in 0..10 {
        let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
        assert_eq!(answer.body, "second");
    }
    assert_eq!(first.seen().len(), before);
    assert!(second.seen().len() >= 10);
}

/// A draining target is listed as ready again by an entry that was written before: work goes to a
/// process that is about to end. What left never comes back under the same name.
#[ntex::test]
async fn an_outdated_entry_does_not_restore_a_drained_target() {
    let (registry, first, _second) = two_targets().await;
    let gateway = gateway(&registry).await;
    registry.put(first.draining());
    registry.put(first.listed.clone());
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..10 {
        let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
        assert_eq!(answer.body, "second");
    }
}

/// The registry loses entries of targets that live, since these could not renew them while it was
/// down. Until they are back every request would be refused with all targets free.
#[ntex::test]
async fn expired_targets_stay_in_use_after_a_registry_outage() {
    let (registry, first, second) = two_targets().await;
    let gateway = gateway(&registry).await;
    registry.set_mood(Mood::Busy);
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    registry.remove(&first.listed);
    registry.remove(&second.listed);
    registry.forget();
    registry.set_mood(Mood::Well);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let ask = async || Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    assert_eq!(ask().await.status, 200);
    registry.put(second.listed.clone());
    // The first stays away: it is gone.
    eventually(async || {
        let mut bodies = Vec::new();
        for _ in 0..8 {
            bodies.push(ask().await.body);
        }
        bodies.iter().all(|body| body == "second")
    })
    .await;
}

/// A roster dispatch runs at a booking service: its replica ended, and the address now belongs to
/// another. The instance that is meant goes along; whoever else answers declines, and it is sent to
/// one that is meant.
#[ntex::test]
async fn a_target_whose_address_was_reused_is_avoided() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let other = Standin::open("t-9", "other", |seen| match seen.header("fireflyhoist-instance") {
        Some("t-9") => answer(200, "other"),
        _ => answer(421, ""),
    })
    .await;
    registry.put(listed("t-1", "web", other.listed.address));
    let second = Standin::open("t-2", "web", |_| answer(200, "second")).await;
    registry.put(second.listed.clone());
    let gateway = gateway(&registry).await;
    for _ in 0..10 {
        let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "second"));
    }
    assert!(other.seen().len() <= 1, "the other instance got more than one request");
}

/// A watch is cut or its history dropped: what changed meanwhile is read from the list.
#[ntex::test]
async fn the_list_is_read_again_after_a_dropped_history() {
    let (registry, first, second) = two_targets().await;
    let gateway = gateway(&registry).await;
    registry.remove(&first.listed);
    registry.forget();
    eventually(async || {
        let before = first.seen().len();
        for _ in 0..8 {
            Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
        }
        first.seen().len() == before
    })
    .await;
    assert!(!second.seen().is_empty());
}
