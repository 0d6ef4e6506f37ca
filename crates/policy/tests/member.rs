//! Membership of a fleet of members that run in one process and in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::member::proof::{Challenge, Role, prove, verify};
use fireflyhoist_policy::member::{Action, Heartbeat, Message, Record, Status, ring};
use fireflyhoist_standin::fleet::{Fleet, host, published};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns whether each of these members offers exactly these members to callers.
fn all_offer(fleet: &Fleet, numbers: &[usize]) -> bool {
    let mut wanted: Vec<id::Host> = numbers.iter().map(|n| host(*n)).collect();
    wanted.sort_unstable();
    let usable = |viewer: usize| fleet.nodes[viewer].membership.usable().map(|r| &r.host);
    numbers.iter().all(|viewer| usable(*viewer).eq(wanted.iter()))
}

/// Creates a fleet whose members all offer each other to callers.
fn converged(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::open(size, seed);
    let all: Vec<usize> = (0..size).collect();
    let took = fleet.until(seconds(60), |fleet| all_offer(fleet, &all));
    assert!(took.is_some(), "{size} members do not converge within 60 s");
    fleet
}

/// Requests of callers fail while a dead host is still offered to them. A member that dies without
/// announcing it must be detected by its neighbours, and every member must learn of it.
#[test]
fn dead_member_is_removed_everywhere() {
    let mut fleet = converged(32, 1);
    fleet.nodes[5].running = false;
    let rest: Vec<usize> = (0..32).filter(|n| *n != 5).collect();
    let took = fleet.until(seconds(6), |fleet| all_offer(fleet, &rest));
    assert!(took.is_some(), "the dead member is still offered after 6 s");
}

/// A link between two members may go silent while both are healthy. The neighbour must probe
/// through other members before it suspects, or a healthy entry is no longer offered to callers.
#[test]
fn one_lost_link_causes_no_suspicion() {
    let mut fleet = converged(16, 2);
    let first: Vec<String> =
        fleet.nodes[0].membership.neighbours().map(ToString::to_string).collect();
    let other = (1..16).find(|n| first.contains(&host(*n).to_string())).expect("a neighbour");
    fleet.cut(0, other);
    let all: Vec<usize> = (0..16).collect();
    for _ in 0..300 {
        fleet.run(Duration::from_millis(100));
        assert!(all_offer(&fleet, &all), "at {} a healthy member is not offered", fleet.now());
    }
}

/// A new generation sent to a host that is about to be shut down is lost with it. When a host
/// announces that it is leaving, all 330 members must know within 3 s.
#[test]
fn own_leave_is_known_everywhere_within_three_seconds() {
    let mut fleet = converged(330, 3);
    let now = fleet.now();
    fleet.nodes[7].membership.leave(now);
    let known = |fleet: &Fleet| fleet.nodes.iter().all(|n| n.membership.is_leaving(&host(7)));
    let took = fleet.until(seconds(3), known);
    assert!(took.is_some(), "not known everywhere after 3 s");
}

/// The same, when only the platform reports the leave and a single watcher reads the list.
#[test]
fn listed_leave_is_known_everywhere_within_three_seconds() {
    let mut fleet = converged(330, 4);
    let now = fleet.now();
    let list = published(2, 0..330, &[9]);
    fleet.nodes[100].membership.apply_list(now, &list);
    let known = |fleet: &Fleet| fleet.nodes.iter().all(|n| n.membership.is_leaving(&host(9)));
    assert!(fleet.until(seconds(3), known).is_some(), "not known everywhere after 3 s");
}

/// A stale platform may serve an old list after a newer one reported a host as leaving. The newer
/// list must hold, or a host that left long ago gets work again.
#[test]
fn stale_list_does_not_undo_a_leave() {
    let mut fleet = converged(8, 5);
    let now = fleet.now();
    fleet.nodes[0].membership.apply_list(now, &published(5, 0..8, &[3]));
    fleet.run(seconds(2));
    for node in &mut fleet.nodes {
        node.membership.apply_list(now, &published(4, 0..8, &[]));
    }
    fleet.run(seconds(5));
    assert!(fleet.nodes.iter().all(|node| node.membership.is_leaving(&host(3))));
}

/// A member that has not read the list yet announces the address that it is bound to. The listed
/// address must override it, or members connect to an address that they may not reach.
#[test]
fn listed_address_overrides_announced_address() {
    let mut fleet = converged(2, 10);
    let now = fleet.now();
    let viewer = &mut fleet.nodes[0].membership;
    let mut list = published(2, 0..2, &[]);
    let elsewhere = "127.0.0.9:9".parse().expect("an address");
    list.entries[1].peer = elsewhere;
    viewer.apply_list(now, &list);
    assert_eq!(
        viewer.address(&host(1)),
        Some(elsewhere),
        "a newer list changes the address of a known member"
    );
    let own = viewer.records().find(|record| record.host == host(1)).expect("known").clone();
    let announced = Record {
        incarnation: own.incarnation + 1,
        peer: "127.0.0.1:1".parse().expect("an address"),
        ..own
    };
    let Message::Heartbeat(heartbeat) = viewer.greeting() else { panic!("a heartbeat") };
    let heartbeat = Heartbeat { records: vec![announced], ..heartbeat };
    viewer.receive(now, &host(1), Message::Heartbeat(heartbeat));
    assert_eq!(
        viewer.address(&host(1)),
        Some(elsewhere),
        "an announced address overrides the listed one"
    );
}

/// A member must not refute records that differ from its own only in its listed addresses, or it
/// raises its incarnation again and again.
#[test]
fn member_does_not_refute_its_listed_addresses() {
    let mut fleet = converged(2, 11);
    let now = fleet.now();
    let mut list = published(2, 0..2, &[]);
    list.entries[0].peer = "127.0.0.9:9".parse().expect("an address");
    fleet.nodes[1].membership.apply_list(now, &list);
    let before = fleet.nodes[0].membership.own().incarnation;
    let forwarded = fleet.nodes[1].membership.records().find(|record| record.host == host(0));
    let forwarded = forwarded.expect("known").clone();
    let Message::Heartbeat(heartbeat) = fleet.nodes[1].membership.greeting() else {
        panic!("a heartbeat")
    };
    let heartbeat = Heartbeat { records: vec![forwarded], ..heartbeat };
    fleet.nodes[0].membership.receive(now, &host(1), Message::Heartbeat(heartbeat));
    assert_eq!(fleet.nodes[0].membership.own().incarnation, before);
}

/// During a long partition each side considers the other dead. Once it has healed, both sides must
/// find each other without help.
#[test]
fn partition_heals() {
    let mut fleet = converged(16, 6);
    let all: Vec<usize> = (0..16).collect();
    let (left, right) = all.split_at(8);
    right.iter().for_each(|n| fleet.nodes[*n].group = 1);
    let separated = |fleet: &Fleet| all_offer(fleet, left) && all_offer(fleet, right);
    assert!(fleet.until(seconds(60), separated).is_some(), "the sides still offer each other");
    fleet.run(seconds(300));
    right.iter().for_each(|n| fleet.nodes[*n].group = 0);
    let healed = fleet.until(seconds(60), |fleet| all_offer(fleet, &all));
    assert!(healed.is_some(), "the sides do not find each other within 60 s");
}

/// A process that was paused for a minute holds outdated state. It must detect the pause before it
/// acts, or it offers hosts that have left and suspects all its neighbours.
#[test]
fn paused_process_distrusts_its_state_after_resuming() {
    let mut fleet = converged(12, 7);
    fleet.nodes[4].running = false;
    fleet.run(seconds(60));
    let now = fleet.now();
    let mut random = StdRng::seed_from_u64(1);
    let stale = Message::Ping { on_behalf: host(1) };
    assert!(fleet.nodes[4].membership.receive(now, &host(1), stale).is_empty());
    let actions = fleet.nodes[4].membership.poll(now, &mut random);
    assert!(!fleet.nodes[4].membership.is_trusted(), "it trusts its outdated state");
    assert!(actions.contains(&Action::CloseAllLinks), "it keeps links with buffered messages");
    let probes = |a: &Action| matches!(a, Action::Send { message: Message::Probe { .. }, .. });
    assert!(!actions.iter().any(probes), "it probes neighbours for its own pause");
    fleet.nodes[4].running = true;
    let all: Vec<usize> = (0..12).collect();
    let rejoined = fleet.until(seconds(30), |fleet| all_offer(fleet, &all));
    assert!(rejoined.is_some() && fleet.nodes[4].membership.is_trusted());
}

/// After a host restarts on the same address, its peers must accept the new process and not keep it
/// dead like the old one.
#[test]
fn restarted_host_rejoins() {
    let mut fleet = converged(16, 8);
    fleet.nodes[2].running = false;
    fleet.run(seconds(20));
    fleet.restart(2, &published(1, 0..16, &[]));
    let all: Vec<usize> = (0..16).collect();
    assert!(fleet.until(seconds(15), |fleet| all_offer(fleet, &all)).is_some());
}

/// Members that know the same fleet must choose each other as neighbours, each has at most six, and
/// the graph is connected within 7 hops.
#[test]
fn neighbours_are_symmetric_bounded_and_connected() {
    let names: Vec<String> = (0..330).map(|n| host(n).to_string()).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let chosen_by: BTreeMap<&str, Vec<String>> =
        all.iter().map(|name| (*name, ring::neighbours(name, &all))).collect();
    let neighbours_of = |name: &str| chosen_by[name].clone();
    for name in &all {
        let chosen = neighbours_of(name);
        assert!((2..=6).contains(&chosen.len()));
        assert!(chosen.iter().all(|other| neighbours_of(other).iter().any(|back| back == name)));
    }
    let mut reached = BTreeSet::from([names[0].clone()]);
    let mut hops = 0;
    while reached.len() < names.len() {
        hops += 1;
        let next: Vec<String> = reached.iter().flat_map(|name| neighbours_of(name)).collect();
        reached.extend(next);
        assert!(hops <= 7, "an update needs more than 7 hops");
    }
}

/// A process without the key must not be able to join the fleet, neither with another key nor by
/// replaying or reflecting a recorded proof.
#[test]
fn proof_requires_the_key() {
    let (a, b, c) = (Challenge::new([1, 2]), Challenge::new([3, 4]), Challenge::new([5, 6]));
    let good = prove("key", Role::Dialer, a, b, &host(1));
    let verifies = |key: &str, role, dialer, listener, of| {
        verify(key, role, dialer, listener, &host(of), &good).is_ok()
    };
    assert!(verifies("key", Role::Dialer, a, b, 1));
    assert!(!verifies("other", Role::Dialer, a, b, 1), "another key");
    assert!(!verifies("key", Role::Dialer, a, c, 1), "replayed for a new challenge");
    assert!(!verifies("key", Role::Listener, a, b, 1), "reflected");
    assert!(!verifies("key", Role::Dialer, a, b, 2), "for another host");
}

/// The number of messages that a member sends must not grow with the fleet; the `slopes`
/// program checks bytes.
#[test]
fn message_rate_per_member_does_not_grow_with_the_fleet() {
    let rate = |size: usize| {
        let mut fleet = converged(size, 9);
        fleet.run(seconds(10));
        let before: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
        fleet.run(seconds(10));
        let after: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
        (after - before) as f64 / 10.0 / size as f64
    };
    let (small, large) = (rate(16), rate(128));
    assert!(large < small * 1.5, "{small} messages a second a member at 16, {large} at 128");
    assert!(large < 8.0, "{large} messages a second");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever members stop, resume, restart and get partitioned: once all run and are connected
    /// again, all of them agree.
    #[test]
    fn membership_converges(events in prop::collection::vec((0..5u8, 0..8usize, 1..15u64), 1..12), seed: u64) {
        let mut fleet = Fleet::open(8, seed);
        for (kind, member, span) in events {
            match kind {
                0 => fleet.nodes[member].running = false,
                1 => fleet.nodes[member].running = true,
                2 => fleet.restart(member, &published(1, 0..8, &[])),
                3 => fleet.nodes[member].group = 1,
                _ => fleet.nodes[member].group = 0,
            }
            fleet.run(seconds(span));
        }
        for node in &mut fleet.nodes {
            (node.running, node.group) = (true, 0);
        }
        let all: Vec<usize> = (0..8).collect();
        prop_assert!(fleet.until(seconds(120), |fleet| all_offer(fleet, &all)).is_some());
        let alive = |record: &fireflyhoist_policy::member::Record| record.status == Status::Alive;
        prop_assert!(fleet.nodes.iter().all(|node| node.membership.records().all(alive)));
    }
}
