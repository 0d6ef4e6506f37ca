//! Ownership of engines, rollout and pacing of loads, and fencing numbers of orders.

use std::time::Duration;

use fireflyhoist_policy::id::{Host, Service, Target};
use fireflyhoist_policy::order::desired::{Engine, Fencing, Role, Setup, engines};
use fireflyhoist_policy::order::fence::{Epoch, Fence, FenceError, MAX_REVISION};
use fireflyhoist_policy::order::pace::{self, Pacer};
use fireflyhoist_policy::order::rollout::{Status, eligible};
use fireflyhoist_policy::order::{owner, plan};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Bytes;
use proptest::prelude::*;

fn hosts(count: usize) -> Vec<Host> {
    (0..count).map(|n| format!("entry-{n}").parse().expect("a name")).collect()
}

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(|n| format!("t{n}").parse().expect("a name")).collect()
}

fn service() -> Service {
    "transcribe".parse().expect("a name")
}

fn epoch(version: u64) -> Epoch {
    Epoch::of(version, &[]).expect("fits")
}

fn engine(n: usize) -> Engine {
    let adapters = vec!["kurrent".into(), "antiqua".into(), "kurrent".into()];
    Engine {
        target: targets(n + 1).remove(n),
        host: format!("m{n}").parse().expect("a name"),
        service: service(),
        setup: Setup {
            model: "scribe".parse().expect("a name"),
            version: "7".into(),
            adapters,
            role: Role::Both,
        },
        fencing: Fencing::Checked,
        weights: Bytes::new(1 << 30),
    }
}

/// Two entries read the same text with its lines in a different order. If the resulting setups
/// differed in the order of adapters, the two would order each engine back and forth without end.
#[test]
fn desired_state_is_independent_of_declaration_order() {
    let everywhere = |_: &Host| true;
    let forward = engines((0..5).map(engine), everywhere);
    let reversed = engines((0..5).rev().map(engine), everywhere);
    assert_eq!(forward, reversed);
    assert_eq!(forward[0].setup.adapters, ["antiqua", "kurrent"]);
}

/// A borrowed host is about to be taken back. Guards against an engine there starting a load that
/// uses the weight store to no effect.
#[test]
fn leaving_host_gets_no_orders() {
    let kept = engines((0..3).map(engine), |host| host.as_str() != "m1");
    assert!(kept.iter().all(|engine| engine.host.as_str() != "m1"));
    assert_eq!(kept.len(), 2);
}

/// A version changes the model of twelve engines. If all loaded at once, services that call them
/// would get no answers for minutes.
#[test]
fn at_most_a_quarter_of_a_service_is_unavailable_at_once() {
    let mut engines: Vec<(Target, Status)> =
        targets(12).into_iter().map(|target| (target, Status::Outdated)).collect();
    for _ in 0..12 {
        let next: Vec<Target> = eligible(&service(), &engines).into_iter().cloned().collect();
        let order = |(target, status): &mut (Target, Status)| {
            if next.contains(target) {
                *status = Status::Loading;
            }
        };
        engines.iter_mut().for_each(order);
        let out = engines.iter().filter(|(_, status)| *status == Status::Loading).count();
        assert!(out <= 3, "{out} of 12 are unavailable");
        let loaded = engines.iter_mut().find(|(_, status)| *status == Status::Loading);
        loaded.expect("an engine is loading").1 = Status::UpToDate;
    }
    assert!(engines.iter().all(|(_, status)| *status == Status::UpToDate));
}

/// Owners do not coordinate, and one of them cannot read an engine. If that engine were not
/// counted, each owner would use its place, and twice the quarter would be unavailable.
#[test]
fn unreachable_engine_counts_as_unavailable() {
    let names = targets(4);
    let all = |status| names.iter().map(|name| (name.clone(), status)).collect::<Vec<_>>();
    let mut engines = all(Status::Outdated);
    engines[2].1 = Status::Unreachable;
    assert_eq!(eligible(&service(), &engines), Vec::<&Target>::new());
    assert_eq!(eligible(&service(), &all(Status::Outdated)).len(), 1);
}

/// New engines serve nothing yet, and one that loads another setup is already unavailable. Delaying
/// these would only keep the service's capacity reduced for longer.
#[test]
fn engines_that_serve_nothing_are_always_eligible() {
    let names = targets(4);
    let engines = [
        (names[0].clone(), Status::Empty),
        (names[1].clone(), Status::Empty),
        (names[2].clone(), Status::LoadingOther),
        (names[3].clone(), Status::Outdated),
    ];
    assert_eq!(eligible(&service(), &engines), names[..3].iter().collect::<Vec<_>>());
}

/// Dozens of engines each load a hundred gibibytes. If all loaded at once, each would get so little
/// of the store's rate that none would serve before nearly all do.
#[test]
fn loads_are_paced_at_the_weight_store_rate() {
    let mut pacer = Pacer::open();
    let load = Bytes::new(1000);
    assert!(pacer.may_start(Time::ZERO));
    pacer.charge(Time::ZERO, load, 100.0);
    assert!(!pacer.may_start(Time::ZERO + Duration::from_secs(9)));
    assert!(pacer.may_start(Time::ZERO + Duration::from_secs(10)));
}

/// An owner that was partitioned still follows version 6 while the engine has accepted an order of
/// version 7. Overriding it would restore the old model, and the two owners would alternate for the
/// whole partition.
#[test]
fn older_version_gets_no_fencing_number() {
    let seven = Fence::default().next(epoch(7)).expect("a number");
    assert_eq!(seven.next(epoch(6)), Err(FenceError::Outdated));
    assert!(seven.next(epoch(7)).expect("a number") > seven);
    assert!(seven.next(epoch(8)).expect("a number") > seven);
}

/// An engine's load fails repeatedly until the numbers of one version are used up.
#[test]
fn fencing_numbers_never_overflow_into_the_next_version() {
    let mut fence = Fence::default();
    let used = (0..70_000).position(|_| match fence.next(epoch(7)) {
        Ok(next) => {
            assert!(next > fence && next.epoch() == epoch(7));
            fence = next;
            false
        }
        Err(error) => error == FenceError::Exhausted,
    });
    assert_eq!(used, Some(65_536));
}

#[test]
fn too_large_revision_is_rejected_with_a_remedy() {
    let error = Epoch::of(MAX_REVISION + 1, &[]).expect_err("too large");
    assert!(error.to_string().contains("publish a smaller one"), "{error}");
}

#[test]
fn up_to_date_engine_gets_the_newer_fencing_number() {
    let desired = engine(0).setup;
    let fence = Fence::default().next(epoch(5)).expect("a number");
    let observed = plan::Observed { fence, holds: Some(desired.clone()), loading: None };
    let decide = |fencing, version| plan::decide(&desired, fencing, epoch(version), &observed);
    assert!(matches!(decide(Fencing::Checked, 7), Ok(plan::Action::RaiseFence(_))));
    assert_eq!(decide(Fencing::Checked, 5), Ok(plan::Action::Nothing));
    assert_eq!(decide(Fencing::Ignored, 7), Ok(plan::Action::Nothing));
}

proptest! {
    /// Every engine has one owner, and the shares of the weight store's rate sum to one.
    #[test]
    fn owners_partition_engines_and_rate(members in 1usize..12, count in 1usize..40) {
        let (members, engines) = (hosts(members), targets(count));
        let share: f64 = members.iter().map(|own| pace::share(own, &members, &engines).get()).sum();
        prop_assert!((share - 1.0).abs() < 1e-9);
        let without = &members[1..];
        for engine in &engines {
            let before = owner::of(engine, &members);
            if before != Some(&members[0]) {
                prop_assert_eq!(owner::of(engine, without), before, "only its own engines move");
            }
        }
    }
}
