//! Ownership of engines, rollout and pacing of loads, and fencing numbers of orders.

use std::time::Duration;

use fireflyhoist_policy::id::{Host, Service, Target};
use fireflyhoist_policy::order::desired::{Declared, Fencing, Role, Setup, engines};
use fireflyhoist_policy::order::fence::{Fence, FenceError, MAX_REVISION, Mark};
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

fn mark(version: u64) -> Mark {
    Mark::of(version, &[]).expect("fits")
}

fn declared(n: usize) -> Declared {
    let adapters = vec!["kurrent".into(), "antiqua".into(), "kurrent".into()];
    Declared {
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
fn one_version_wants_the_same_of_every_engine_wherever_it_is_read() {
    let everywhere = |_: &Host| true;
    let forth = engines((0..5).map(declared), everywhere);
    let back = engines((0..5).rev().map(declared), everywhere);
    assert_eq!(forth, back);
    assert_eq!(forth[0].setup.adapters, ["antiqua", "kurrent"]);
}

/// A borrowed host is about to be taken back. Guards against an engine there starting a load that
/// uses the weight store to no effect.
#[test]
fn a_host_that_leaves_is_ordered_nothing() {
    let kept = engines((0..3).map(declared), |host| host.as_str() != "m1");
    assert!(kept.iter().all(|engine| engine.host.as_str() != "m1"));
    assert_eq!(kept.len(), 2);
}

/// A version changes the model of twelve engines. If all loaded at once, services that call them
/// would get no answers for minutes.
#[test]
fn at_most_a_quarter_of_a_service_is_out_at_once() {
    let mut engines: Vec<(Target, Status)> =
        targets(12).into_iter().map(|target| (target, Status::Stale)).collect();
    for _ in 0..12 {
        let next: Vec<Target> = eligible(&service(), &engines).into_iter().cloned().collect();
        let order = |(target, status): &mut (Target, Status)| {
            if next.contains(target) {
                *status = Status::Loading;
            }
        };
        engines.iter_mut().for_each(order);
        let out = engines.iter().filter(|(_, status)| *status == Status::Loading).count();
        assert!(out <= 3, "{out} of 12 are out");
        let loaded = engines.iter_mut().find(|(_, status)| *status == Status::Loading);
        loaded.expect("the roll goes on").1 = Status::Settled;
    }
    assert!(engines.iter().all(|(_, status)| *status == Status::Settled));
}

/// Owners do not coordinate, and one of them cannot read an engine. If that engine were not
/// counted, each owner would use its place, and twice the quarter would be unavailable.
#[test]
fn an_engine_that_cannot_be_read_holds_a_place() {
    let names = targets(4);
    let all = |status| names.iter().map(|name| (name.clone(), status)).collect::<Vec<_>>();
    let mut engines = all(Status::Stale);
    engines[2].1 = Status::Unreachable;
    assert_eq!(eligible(&service(), &engines), Vec::<&Target>::new());
    assert_eq!(eligible(&service(), &all(Status::Stale)).len(), 1);
}

/// New engines serve nothing yet, and one that loads another setup is already unavailable. Delaying
/// these would only keep the service's capacity reduced for longer.
#[test]
fn engines_that_serve_nobody_wait_for_no_place() {
    let names = targets(4);
    let engines = [
        (names[0].clone(), Status::Empty),
        (names[1].clone(), Status::Empty),
        (names[2].clone(), Status::Diverted),
        (names[3].clone(), Status::Stale),
    ];
    assert_eq!(eligible(&service(), &engines), names[..3].iter().collect::<Vec<_>>());
}

/// Dozens of engines each load a hundred gibibytes. If all loaded at once, each would get so little
/// of the store's rate that none would serve before nearly all do.
#[test]
fn one_load_follows_another_at_the_rate_of_the_weight_store() {
    let mut pacer = Pacer::open();
    let load = Bytes::new(1000);
    assert!(pacer.is_free(Time::ZERO));
    pacer.take(Time::ZERO, load, 100.0);
    assert!(!pacer.is_free(Time::ZERO + Duration::from_secs(9)));
    assert!(pacer.is_free(Time::ZERO + Duration::from_secs(10)));
}

/// An owner that was partitioned still follows version 6 while the engine has accepted an order of
/// version 7. Overriding it would restore the old model, and the two owners would alternate for the
/// whole partition.
#[test]
fn a_steward_with_an_older_version_cannot_outbid_a_newer() {
    let seven = Fence::default().next(mark(7)).expect("a number");
    assert_eq!(seven.next(mark(6)), Err(FenceError::Behind));
    assert!(seven.next(mark(7)).expect("a number") > seven);
    assert!(seven.next(mark(8)).expect("a number") > seven);
}

/// An engine's load fails repeatedly until the numbers of one version are used up.
#[test]
fn numbers_never_wrap_into_the_next_version() {
    let mut fence = Fence::default();
    let used = (0..70_000).position(|_| match fence.next(mark(7)) {
        Ok(next) => {
            assert!(next > fence && next.mark() == mark(7));
            fence = next;
            false
        }
        Err(error) => error == FenceError::Exhausted,
    });
    assert_eq!(used, Some(65_536));
}

#[test]
fn a_revision_that_does_not_fit_is_refused_with_a_remedy() {
    let error = Mark::of(MAX_REVISION + 1, &[]).expect_err("too large");
    assert!(error.to_string().contains("publish a smaller one"), "{error}");
}

#[test]
fn an_engine_that_holds_what_is_wanted_of_an_older_version_is_claimed_for_the_newer() {
    let wanted = declared(0).setup;
    let fence = Fence::default().next(mark(5)).expect("a number");
    let observed = plan::Observed { fence, holds: Some(wanted.clone()), loading: None };
    let step = |fencing, version| plan::step(&wanted, fencing, mark(version), &observed);
    assert!(matches!(step(Fencing::Checked, 7), Ok(plan::Step::Claim(_))));
    assert_eq!(step(Fencing::Checked, 5), Ok(plan::Step::Nothing));
    assert_eq!(step(Fencing::Ignored, 7), Ok(plan::Step::Nothing));
}

proptest! {
    /// Every engine has one owner, and the shares of the weight store's rate sum to one.
    #[test]
    fn stewards_share_engines_and_rate(members in 1usize..12, count in 1usize..40) {
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
