//! Which targets get requests while targets start, drain and fail.

mod support;

use std::time::Duration;

use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::Request;
use support::target::{Standin, Step, answer, listed};
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

/// Guards against a target that answers well within the objective of its routes getting nothing,
/// because its peers answer many times faster.
#[ntex::test]
async fn a_target_well_within_its_objective_stays_in_use() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let slower = Standin::open("t-1", "web", |_| {
        let wait = Step::Wait(Duration::from_millis(30));
        [vec![wait], answer(200, "slower")].concat()
    });
    let (slower, faster) =
        (slower.await, Standin::open("t-2", "web", |_| answer(200, "faster")).await);
    registry.put(slower.listed.clone());
    registry.put(faster.listed.clone());
    let gateway = gateway(&registry).await;
    let send = async || Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    let warm_up = tokio::time::Instant::now() + Duration::from_secs(2);
    while tokio::time::Instant::now() < warm_up {
        send().await;
    }
    let before = slower.seen().len();
    for _ in 0..20 {
        send().await;
    }
    assert!(slower.seen().len() >= before + 5, "{} of 20", slower.seen().len() - before);
}

/// Guards against new requests being sent to a target that has announced that it drains: they would
/// be cut when its process ends.
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

/// Guards against an outdated registry entry that lists a draining target as ready: requests would
/// be sent to a process that is about to end. A target that has drained is not used again under the
/// same name.
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

/// Guards against refusing every request with all targets free after an outage of the registry:
/// leases expire although their targets live, because they could not be renewed during the outage.
/// Such targets stay in use until they have had time to renew.
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
    let send = async || Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    assert_eq!(send().await.status, 200);
    registry.put(second.listed.clone());
    // The first target does not renew its lease, so it is removed.
    eventually(async || {
        let mut bodies = Vec::new();
        for _ in 0..8 {
            bodies.push(send().await.body);
        }
        bodies.iter().all(|body| body == "second")
    })
    .await;
}

/// Guards against a request running at another service: its target has ended and the address
/// belongs to another instance. The request names the instance that it is meant for; any other
/// declines it, and it is sent to another target.
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

/// After a watch was cut off or its history dropped, the changes in between are read from the list.
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
