//! Leases of targets in a registry that may be unavailable.

use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::{Change, Leases, REJOIN_GRACE, Start, State, Target};
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::time::Time;
use yare::parameterized;

fn target(name: &str) -> Target {
    Target {
        id: name.parse().expect("name"),
        instance: name.into(),
        service: "pages".parse().expect("name"),
        address: "127.0.0.1:1".parse().expect("address"),
        domain: "hala-a".parse().expect("name"),
        state: State::Ready,
        renewal: 1,
        cold_ms: 0,
        slots: 0,
        software: None,
        start: None,
    }
}

fn draining(name: &str) -> Target {
    Target { state: State::Draining, ..target(name) }
}

fn ready(leases: &Leases) -> Vec<String> {
    let service: id::Service = "pages".parse().expect("name");
    leases.ready(&service).map(|target| target.id.to_string()).collect()
}

fn revision(revision: u64) -> Position {
    Position::new(0, revision)
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Guards against sending work to a process that is about to end: its target was removed, but an
/// older reading still lists it.
#[test]
fn removed_targets_are_not_revived_by_older_readings() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(5), vec![target("a"), target("b")]);
    assert!(leases.apply_change(at(10), revision(7), Change::Put(draining("a"))));
    assert!(leases.apply_change(at(10), revision(8), Change::Gone(target("b").id)));
    assert!(!leases.apply_change(at(20), revision(9), Change::Put(target("a"))));
    assert!(!leases.apply_change(at(20), revision(9), Change::Put(target("b"))));
    assert!(!leases.apply_list(at(30), revision(9), vec![target("a"), target("b")]));
    assert!(ready(&leases).is_empty());
}

/// Guards against what was learned of a target at another address, and against forgetting it at each
/// renewal.
#[test]
fn a_new_address_is_noticed_once() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(5), vec![target("a"), target("b")]);
    leases.apply_change(at(10), revision(6), Change::Put(target_with_renewal("a", 7)));
    assert!(leases.take_moved().is_empty());
    let mut moved = target_with_renewal("b", 8);
    moved.address.set_port(moved.address.port() + 1);
    leases.apply_change(at(20), revision(7), Change::Put(moved));
    assert_eq!(leases.take_moved().into_iter().collect::<Vec<_>>(), [target("b").id]);
    assert!(leases.take_moved().is_empty());
}

/// Guards against sending work to a target that said itself that it leaves: the registry does not
/// know yet, denies it, drops the target, or comes back from an older copy.
#[test]
fn a_target_that_announced_its_end_itself_stays_draining() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(5), vec![target("a"), target("b")]);
    assert!(leases.mark_draining(&target("a")));
    assert!(!leases.mark_draining(&target("a")), "announced once");
    let renewed = target_with_renewal("a", 7);
    leases.apply_change(at(10), revision(6), Change::Put(renewed.clone()));
    assert_eq!(ready(&leases), ["b"]);
    leases.apply_list(at(20), position(1, 3), vec![renewed.clone(), target("b")]);
    assert_eq!(ready(&leases), ["b"]);
    leases.apply_list(at(30), position(1, 4), vec![target("b")]);
    leases.apply_list(at(40), position(1, 5), vec![target_with_renewal("a", 9), target("b")]);
    assert_eq!(ready(&leases), ["b"]);
}

/// Guards against reviving a target that announced its end after its lease had lapsed.
#[test]
fn an_announcement_after_a_lapse_is_kept() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(5), vec![target("a"), target("b")]);
    leases.apply_change(at(10), revision(6), Change::Gone(target("a").id));
    assert!(!leases.mark_draining(&target("a")));
    let renewed = target_with_renewal("a", 7);
    leases.apply_change(at(20), revision(7), Change::Put(renewed));
    assert_eq!(ready(&leases), ["b"]);
}

/// Guards against taking a restarted target out of use by what its earlier start announced.
#[test]
fn an_announcement_of_an_earlier_start_is_ignored() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(5), vec![target_with_start("a", 2, 1)]);
    assert!(!leases.mark_draining(&target_with_start("a", 1, 9)));
    assert_eq!(ready(&leases), ["a"]);
}

/// Guards against two readings arriving out of order, so that the earlier list replaces the later
/// one.
#[test]
fn older_list_is_ignored() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(9), vec![target("a"), target("b")]);
    assert!(!leases.apply_list(at(10), revision(4), vec![target("a")]));
    assert_eq!(ready(&leases), ["a", "b"]);
}

/// Guards against losing the address of a removed target while answers that run there must still be
/// migrated.
#[test]
fn removed_target_stays_known_until_its_tombstone_expires() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(1), vec![target("a")]);
    leases.apply_change(at(10), revision(2), Change::Gone(target("a").id));
    let id = target("a").id;
    assert!(!leases.is_ready(&id));
    assert_eq!(leases.get(&id).map(|t| t.address), Some(target("a").address));
    leases.expire(at(120_000));
    assert_eq!(leases.get(&id), None, "but not for good");
}

/// Guards against removing live targets after an outage: their leases expired while the registry
/// was down, so its first list lacks them. Targets that are not listed again in time are removed.
#[test]
fn missing_targets_stay_ready_after_an_outage() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(1), vec![target("a"), target("b"), target("c")]);
    leases.start_grace(at(10_000));
    assert!(!leases.apply_list(at(10_000), revision(2), vec![target("c")]));
    assert_eq!(ready(&leases), ["a", "b", "c"]);
    leases.apply_change(at(11_000), revision(3), Change::Put(target("b")));
    assert!(!leases.expire(at(11_500)));
    assert!(leases.expire(at(10_000) + REJOIN_GRACE));
    assert_eq!(ready(&leases), ["b", "c"]);
}

/// Guards against a grace period for targets that were draining before the outage.
#[test]
fn draining_targets_get_no_grace() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(1), vec![draining("a"), target("b")]);
    leases.apply_change(at(1), revision(2), Change::Put(draining("b")));
    leases.start_grace(at(10_000));
    leases.apply_list(at(10_000), revision(3), Vec::new());
    assert_eq!(leases.all().count(), 0);
}

/// Guards against renewals, which come many times a second, waking anything.
#[test]
fn renewal_is_no_change() {
    let mut leases = Leases::default();
    assert!(leases.apply_change(at(0), revision(1), Change::Put(target("a"))));
    assert!(!leases.apply_change(at(10), revision(2), Change::Put(target("a"))));
    assert_eq!(leases.position(), revision(1));
}

fn target_with_renewal(name: &str, renewal: u64) -> Target {
    Target { renewal, ..target(name) }
}

/// Guards against refusing all requests for a minute although every target is free: the registry
/// hung for five seconds, all leases expired, and the watch that waited through it was answered
/// with their removal. No call had failed, so no outage was detected.
#[test]
fn mass_lapse_during_a_hung_watch_starts_grace() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(1), ["a", "b", "c", "d"].map(target).to_vec());
    let gone = ["a", "b", "c", "d"].map(|name| Change::Gone(target(name).id));
    assert!(leases.apply_changes(at(9_000), revision(2), gone.to_vec()).is_empty());
    assert_eq!(ready(&leases), ["a", "b", "c", "d"]);
    leases.apply_changes(at(10_000), revision(5), vec![Change::Put(target_with_renewal("b", 9))]);
    assert!(leases.expire(at(9_000) + REJOIN_GRACE));
    assert_eq!(ready(&leases), ["b"]);
}

/// Guards against suspecting an outage, and sending work to removed targets for seconds, when three
/// of six targets leave in one reading.
#[test]
fn half_of_the_targets_leave_at_once() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(1), ["a", "b", "c", "d", "e", "f"].map(target).to_vec());
    let gone = ["a", "b", "c"].map(|name| Change::Gone(target(name).id));
    assert_eq!(leases.apply_changes(at(10), revision(2), gone.to_vec()).len(), 3);
    assert_eq!(ready(&leases), ["d", "e", "f"]);
}

/// Guards against a target getting no work for a minute after it was cut off from the registry for
/// longer than its lease: it was removed, and its renewals after that counted as those of a target
/// that had left.
#[test]
fn lapsed_target_returns_with_a_newer_renewal() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(1), vec![target_with_renewal("a", 3), target("b")]);
    assert!(leases.apply_change(at(10), revision(4), Change::Gone(target("a").id)));
    assert!(
        !leases.apply_change(at(20), revision(5), Change::Put(target_with_renewal("a", 3))),
        "an old renewal"
    );
    assert!(
        !leases.apply_change(at(20), revision(4), Change::Put(target_with_renewal("a", 9))),
        "an older reading"
    );
    assert!(leases.apply_change(at(30), revision(6), Change::Put(target_with_renewal("a", 9))));
    assert_eq!(ready(&leases), ["a", "b"]);
    assert!(leases.apply_change(at(40), revision(7), Change::Put(draining("a"))));
    assert!(leases.apply_change(at(50), revision(8), Change::Gone(target("a").id)));
    assert!(
        !leases.apply_change(at(60), revision(9), Change::Put(target_with_renewal("a", 99))),
        "it had announced that it drains"
    );
    assert_eq!(ready(&leases), ["b"]);
}

/// Guards against entries that do not read the registry themselves sending to a target that was
/// removed after an outage, because the entry that reads it showed no newer position than theirs.
#[test]
fn expiry_advances_the_position() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(1), vec![target("a"), target("b")]);
    leases.start_grace(at(10));
    leases.apply_change(at(20), revision(5), Change::Gone(target("a").id));
    assert_eq!(leases.position(), revision(1));
    assert!(leases.expire(at(10) + REJOIN_GRACE));
    assert_eq!(leases.position(), revision(5));
}

fn target_with_start(name: &str, start: u64, renewal: u64) -> Target {
    Target { start: Some(Start::new(start)), renewal, ..target(name) }
}

/// Guards against treating an engine that crashed while draining and restarted under its name as a
/// late reading of its old start, since its renewals count from one again. It would get no work,
/// and a service whose engines all restarted in this way would be refused for a minute.
#[test]
fn restarted_target_takes_work() {
    let mut leases = Leases::default();
    leases.apply_list(
        at(0),
        revision(1),
        vec![target_with_start("a", 1_000, 40), target_with_start("b", 1_000, 40)],
    );
    let drains = Target { state: State::Draining, ..target_with_start("a", 1_000, 41) };
    leases.apply_change(at(10), revision(2), Change::Put(drains));
    leases.apply_change(at(10), revision(3), Change::Gone(target("b").id));
    assert!(ready(&leases).is_empty());
    assert!(leases.apply_change(
        at(20),
        revision(4),
        Change::Put(target_with_start("a", 2_000, 1))
    ));
    assert!(leases.apply_change(
        at(20),
        revision(5),
        Change::Put(target_with_start("b", 2_000, 1))
    ));
    assert_eq!(ready(&leases), ["a", "b"]);
    assert_eq!(leases.get(&target("a").id).map(|t| t.renewal), Some(1));
}

/// Guards against a late reading of an earlier start reverting a target to its old state, or
/// reviving one that was removed.
#[test]
fn late_reading_of_an_earlier_start_is_ignored() {
    let mut leases = Leases::default();
    leases.apply_list(
        at(0),
        revision(1),
        vec![target_with_start("a", 2_000, 1), target_with_start("b", 2_000, 1)],
    );
    let drained = Target { state: State::Draining, ..target_with_start("a", 1_000, 41) };
    assert!(!leases.apply_change(at(10), revision(2), Change::Put(drained)));
    leases.apply_change(at(10), revision(3), Change::Gone(target("b").id));
    assert!(!leases.apply_change(
        at(20),
        revision(4),
        Change::Put(target_with_start("b", 1_000, 90))
    ));
    assert_eq!(ready(&leases), ["a"]);
}

fn position(era: u64, revision: u64) -> Position {
    Position::new(era, revision)
}

/// Guards against the list of a restored registry being dropped as old.
#[test]
fn list_of_a_later_era_replaces_higher_revisions() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), position(0, 90), vec![target("a")]);
    assert!(leases.apply_list(at(10), position(1, 4), vec![target("a"), target("b")]));
    assert!(leases.is_ready(&target("b").id));
    assert_eq!(leases.position(), position(1, 4));
    // Updates of the previous era are ignored.
    assert!(!leases.apply_list(at(20), position(0, 99), vec![target("a")]));
    assert!(!leases.apply_change(at(20), position(0, 99), Change::Gone(target("b").id)));
    assert!(leases.is_ready(&target("b").id));
}

/// Guards against removing targets that were written after the registry's copy was made, and
/// against keeping them forever.
#[test]
fn targets_missing_after_a_restore_stay_for_the_grace_period() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), position(0, 90), vec![target("a"), target("b"), target("c")]);
    leases.apply_list(at(10), position(1, 4), vec![target("a")]);
    assert!(leases.is_ready(&target("b").id) && leases.is_ready(&target("c").id));
    leases.apply_change(at(1_000), position(1, 5), Change::Put(target("b")));
    leases.expire(at(3_000));
    assert!(leases.is_ready(&target("b").id));
    assert!(!leases.is_ready(&target("c").id));
}

/// Guards against a draining or removed target becoming ready because a restored registry lists it.
#[test]
fn restore_revives_no_draining_or_removed_target() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), position(0, 90), vec![target("a"), target("b"), target("c")]);
    leases.apply_change(at(10), position(0, 91), Change::Put(draining("a")));
    leases.apply_change(at(10), position(0, 92), Change::Gone(target("b").id));
    leases.apply_list(at(20), position(1, 4), vec![target("a"), target("b"), target("c")]);
    assert!(!leases.is_ready(&target("a").id));
    assert!(!leases.is_ready(&target("b").id));
    assert!(leases.is_ready(&target("c").id));
}

/// Guards against confusing the second of two consecutive restores with the first.
#[test]
fn consecutive_restores_are_separate_eras() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), position(0, 90), vec![target("a")]);
    leases.apply_list(at(10), position(1, 95), vec![target("a"), target("b")]);
    assert!(leases.apply_list(at(20), position(2, 4), vec![target("a"), target("c")]));
    assert!(leases.is_ready(&target("c").id));
    assert!(!leases.apply_list(at(30), position(1, 99), vec![target("a")]));
}

/// Guards against each change of a target, and each check for expired ones, costing as much as
/// there are targets: what is passed on is what has changed, however many are listed.
#[test]
fn changes_touch_only_the_targets_that_changed() {
    for count in [750, 1_500, 3_000, 6_000] {
        let mut leases = Leases::default();
        let names: Vec<String> = (0..count).map(|nth| format!("t-{nth}")).collect();
        let all = names.iter().map(|name| target_with_renewal(name, 1)).collect();
        leases.apply_list(at(0), revision(1), all);
        assert_eq!(leases.take_changed().len(), count);
        // Every target renews its lease, three leave and one starts to drain.
        for name in &names {
            let renewal = Change::Put(target_with_renewal(name, 2));
            leases.apply_change(at(10), revision(2), renewal);
        }
        assert!(leases.take_changed().is_empty(), "a renewal is no change");
        for name in &names[..3] {
            leases.apply_change(at(20), revision(3), Change::Gone(target(name).id));
        }
        leases.apply_change(at(20), revision(3), Change::Put(draining(&names[3])));
        let changed: Vec<String> = leases.take_changed().iter().map(|id| id.to_string()).collect();
        assert_eq!(changed, ["t-0", "t-1", "t-2", "t-3"], "of {count}");
    }
}

/// Guards against a name that was removed, listed again and removed once more being forgotten with
/// its first removal, so that an older reading could bring it back.
#[test]
fn a_name_that_is_removed_twice_is_kept_for_the_second_removal() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(1), vec![target_with_renewal("a", 1), target("b")]);
    leases.apply_change(at(0), revision(2), Change::Gone(target("a").id));
    leases.apply_change(at(30_000), revision(3), Change::Put(target_with_renewal("a", 2)));
    leases.apply_change(at(40_000), revision(4), Change::Gone(target("a").id));
    leases.expire(at(61_000));
    assert!(leases.get(&target("a").id).is_some(), "its second removal is 21 s ago");
    leases.expire(at(101_000));
    assert_eq!(leases.get(&target("a").id), None);
}

fn versioned(name: &str, software: &str) -> Target {
    Target { software: Some(software.parse().expect("a version")), ..target(name) }
}

fn of_version(leases: &Leases, software: &str) -> Vec<String> {
    let service: id::Service = "pages".parse().expect("name");
    let software = software.parse().expect("a version");
    leases.of_version(&service, &software).iter().map(ToString::to_string).collect()
}

/// Guards against targets that are counted to a version that they have no longer: they leave, are
/// gone, or start again under their names with another one.
#[test]
fn targets_are_found_by_the_version_of_their_present_start() {
    let mut leases = Leases::default();
    let start = |ms| Some(Start::new(ms));
    let first = Target { start: start(1), ..versioned("a", "v1") };
    let all = vec![first, versioned("b", "v1"), versioned("c", "v1"), versioned("d", "v2")];
    leases.apply_list(at(0), revision(1), all);
    assert_eq!(of_version(&leases, "v1"), ["a", "b", "c"]);
    let restarted = Target { start: start(2), ..versioned("a", "v2") };
    leases.apply_change(at(1), revision(2), Change::Put(restarted));
    let leaving = Target { state: State::Draining, ..versioned("b", "v1") };
    leases.apply_change(at(1), revision(3), Change::Put(leaving));
    assert_eq!(
        (of_version(&leases, "v1"), of_version(&leases, "v2")),
        (vec!["c".to_owned()], vec!["a".to_owned(), "d".to_owned()])
    );
    // An older copy of the registry names the earlier start.
    let earlier = Target { start: start(1), ..versioned("a", "v1") };
    leases.apply_change(at(2), revision(4), Change::Put(earlier));
    leases.apply_change(at(2), revision(5), Change::Gone("c".parse().expect("name")));
    leases.expire(at(10_000));
    assert!(of_version(&leases, "v1").is_empty());
}

/// Guards against forgetting the version of a target, whose streams could then go on nowhere, because
/// an entry of an earlier release tells of it too.
#[test]
fn a_reading_without_a_version_does_not_replace_a_known_one() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), revision(1), vec![target("a")]);
    assert!(of_version(&leases, "v1").is_empty());
    leases.apply_change(at(1), revision(1), Change::Put(versioned("a", "v1")));
    let renewed = Target { renewal: 2, ..target("a") };
    leases.apply_change(at(2), revision(2), Change::Put(renewed));
    assert_eq!(of_version(&leases, "v1"), ["a"]);
    let restarted = Target { start: Some(Start::new(2)), ..target("a") };
    let known = Target { start: Some(Start::new(1)), ..versioned("a", "v1") };
    leases.apply_change(at(3), revision(3), Change::Put(known));
    leases.apply_change(at(4), revision(4), Change::Put(restarted));
    assert!(of_version(&leases, "v1").is_empty(), "that of another start is not known");
}

/// Guards against keeping new streams from all targets of a service with one version, and from those
/// of a version that many have.
#[test]
fn a_version_is_scarce_beside_others_only() {
    let mut leases = Leases::default();
    let service: id::Service = "pages".parse().expect("name");
    leases.apply_list(at(0), revision(1), vec![versioned("a", "v1"), versioned("b", "v1")]);
    assert!(leases.scarce(&service).is_empty());
    for name in ["c", "d", "e"] {
        leases.apply_change(at(1), revision(2), Change::Put(versioned(name, "v2")));
    }
    let scarce: Vec<String> = leases.scarce(&service).iter().map(ToString::to_string).collect();
    assert_eq!(scarce, ["a", "b"]);
}

/// Guards against taking a service for one without versions, whose streams go on anywhere, while a
/// stream may still run that began at a version: it takes no new work, it was removed, or its target
/// has started again without one.
#[parameterized(
    draining = { 1 },
    removed = { 2 },
    started_again = { 3 },
    removed_after_a_grace_period = { 4 },
)]
fn a_service_is_without_versions_once_none_was_known_for_long(case: u32) {
    let mut leases = Leases::default();
    let service: id::Service = "pages".parse().expect("name");
    assert!(!leases.is_unversioned(at(0), &service), "nothing is listed");
    let first = Target { start: Some(Start::new(1)), ..versioned("a", "v1") };
    leases.apply_list(at(0), revision(1), vec![first.clone(), versioned("b", "")]);
    assert!(!leases.is_unversioned(at(0), &service));
    // The versions have been known for long when this one leaves.
    let left = 100_000;
    let change = match case {
        1 => Change::Put(Target { state: State::Draining, ..first }),
        2 => Change::Gone(first.id),
        3 => Change::Put(Target { start: Some(Start::new(2)), ..versioned("a", "") }),
        _ => {
            leases.start_grace(at(left));
            Change::Gone(first.id)
        }
    };
    leases.apply_change(at(left), revision(2), change);
    leases.expire(at(left + 10_000));
    assert!(!leases.is_unversioned(at(left + 10_000), &service));
    assert!(!leases.is_unversioned(at(left + 59_000), &service));
    leases.apply_change(at(left + 60_000), revision(3), Change::Gone(target("a").id));
    assert!(case == 1 || leases.is_unversioned(at(left + 80_000), &service));
    assert!(leases.is_unversioned(at(left + 130_000), &service));
}

/// Guards against taking targets of unknown version for ones without versions.
#[test]
fn a_target_of_unknown_version_may_have_one() {
    let mut leases = Leases::default();
    let service: id::Service = "pages".parse().expect("name");
    leases.apply_list(at(0), revision(1), vec![target("a"), versioned("b", "")]);
    assert!(!leases.is_unversioned(at(100_000), &service));
}
