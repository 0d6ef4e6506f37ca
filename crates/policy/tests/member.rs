//! Membership among members in one process and virtual time.

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

/// Whether these members, and they alone, are handed out by each of them.
fn all_see(fleet: &Fleet, numbers: &[usize]) -> bool {
    let mut wanted: Vec<id::Host> = numbers.iter().map(|n| host(*n)).collect();
    wanted.sort_unstable();
    let usable = |viewer: usize| fleet.nodes[viewer].membership.usable().map(|r| &r.host);
    numbers.iter().all(|viewer| usable(*viewer).eq(wanted.iter()))
}

fn settled(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::open(size, seed);
    let all: Vec<usize> = (0..size).collect();
    let took = fleet.until(seconds(60), |fleet| all_see(fleet, &all));
    assert!(took.is_some(), "{size} members never agree");
    fleet
}

/// Callers are sent to a host that died seconds ago and their requests fail. A member dies without
/// a word; its neighbours must miss it and the news reach everybody.
#[test]
fn a_dead_member_is_missed_by_all() {
    let mut fleet = settled(32, 1);
    fleet.nodes[5].running = false;
    let rest: Vec<usize> = (0..32).filter(|n| *n != 5).collect();
    let took = fleet.until(seconds(6), |fleet| all_see(fleet, &rest));
    assert!(took.is_some(), "the dead member is still handed out after 6 s");
}

/// A healthy entry vanishes from the list though it serves. One link between it and one neighbour
/// fell silent; the neighbour must ask others before it accuses.
#[test]
fn one_lost_link_accuses_nobody() {
    let mut fleet = settled(16, 2);
    let first: Vec<String> =
        fleet.nodes[0].membership.neighbours().map(ToString::to_string).collect();
    let other = (1..16).find(|n| first.contains(&host(*n).to_string())).expect("a neighbour");
    fleet.cut(0, other);
    let all: Vec<usize> = (0..16).collect();
    for _ in 0..300 {
        fleet.run(Duration::from_millis(100));
        assert!(all_see(&fleet, &all), "at {} somebody is not handed out", fleet.now());
    }
}

/// A new generation is sent to a host that is about to be taken back, and dies with it. The host
/// says that it leaves; all must know within 3 s, at the design size.
#[test]
fn leaving_by_its_own_word_is_known_everywhere_within_three_seconds() {
    let mut fleet = settled(330, 3);
    let now = fleet.now();
    fleet.nodes[7].membership.leave(now);
    let known = |fleet: &Fleet| fleet.nodes.iter().all(|n| n.membership.is_leaving(&host(7)));
    let took = fleet.until(seconds(3), known);
    assert!(took.is_some(), "not known everywhere after 3 s");
}

/// As above, but only the platform says so, and only one watcher reads it.
#[test]
fn leaving_by_the_platforms_word_is_known_everywhere_within_three_seconds() {
    let mut fleet = settled(330, 4);
    let now = fleet.now();
    let list = published(2, 0..330, &[9]);
    fleet.nodes[100].membership.apply_list(now, &list);
    let known = |fleet: &Fleet| fleet.nodes.iter().all(|n| n.membership.is_leaving(&host(9)));
    assert!(fleet.until(seconds(3), known).is_some(), "not known everywhere after 3 s");
}

/// A host that left hours ago gets work again. The platform serves an old list; what a newer list
/// said must hold.
#[test]
fn a_stale_list_brings_no_leaving_host_back() {
    let mut fleet = settled(8, 5);
    let now = fleet.now();
    fleet.nodes[0].membership.apply_list(now, &published(5, 0..8, &[3]));
    fleet.run(seconds(2));
    for node in &mut fleet.nodes {
        node.membership.apply_list(now, &published(4, 0..8, &[]));
    }
    fleet.run(seconds(5));
    assert!(fleet.nodes.iter().all(|node| node.membership.is_leaving(&host(3))));
}

/// Guards against dialling a member where the published list does not name it, for as long as that
/// member has not read the list.
#[test]
fn a_published_address_goes_before_a_members_own_word() {
    let mut fleet = settled(2, 10);
    let now = fleet.now();
    let viewer = &mut fleet.nodes[0].membership;
    let mut list = published(2, 0..2, &[]);
    let elsewhere = "127.0.0.9:9".parse().expect("an address");
    list.entries[1].peer = elsewhere;
    viewer.apply_list(now, &list);
    assert_eq!(viewer.address(&host(1)), Some(elsewhere), "a newer list moves a known member");
    let own = viewer.records().find(|record| record.host == host(1)).expect("known").clone();
    let word = Record {
        incarnation: own.incarnation + 1,
        peer: "127.0.0.1:1".parse().expect("an address"),
        ..own
    };
    let Message::Heartbeat(beat) = viewer.greeting() else { panic!("a heartbeat") };
    let beat = Heartbeat { records: vec![word], ..beat };
    viewer.receive(now, &host(1), Message::Heartbeat(beat));
    assert_eq!(viewer.address(&host(1)), Some(elsewhere), "its own word moves it back");
}

/// Guards against a member that outbids, again and again, what the list says of its addresses.
#[test]
fn a_member_does_not_refute_its_published_addresses() {
    let mut fleet = settled(2, 11);
    let now = fleet.now();
    let mut list = published(2, 0..2, &[]);
    list.entries[0].peer = "127.0.0.9:9".parse().expect("an address");
    fleet.nodes[1].membership.apply_list(now, &list);
    let before = fleet.nodes[0].membership.own().incarnation;
    let passed = fleet.nodes[1].membership.records().find(|record| record.host == host(0));
    let passed = passed.expect("known").clone();
    let Message::Heartbeat(beat) = fleet.nodes[1].membership.greeting() else {
        panic!("a heartbeat")
    };
    let beat = Heartbeat { records: vec![passed], ..beat };
    fleet.nodes[0].membership.receive(now, &host(1), Message::Heartbeat(beat));
    assert_eq!(fleet.nodes[0].membership.own().incarnation, before);
}

/// After a long cut between regions each side goes on as if the other were dead. The cut heals;
/// both must find each other again without anybody's help.
#[test]
fn a_partition_heals() {
    let mut fleet = settled(16, 6);
    let all: Vec<usize> = (0..16).collect();
    let (left, right) = all.split_at(8);
    right.iter().for_each(|n| fleet.nodes[*n].group = 1);
    let apart = |fleet: &Fleet| all_see(fleet, left) && all_see(fleet, right);
    assert!(fleet.until(seconds(60), apart).is_some(), "the sides still hand each other out");
    fleet.run(seconds(300));
    right.iter().for_each(|n| fleet.nodes[*n].group = 0);
    let healed = fleet.until(seconds(60), |fleet| all_see(fleet, &all));
    assert!(healed.is_some(), "the sides never find each other");
}

/// An entry hands out hosts that went while it slept, and accuses all its neighbours. A process is
/// stopped for a minute and woken: it must know that it slept before it acts.
#[test]
fn a_process_that_woke_distrusts_what_it_knew() {
    let mut fleet = settled(12, 7);
    fleet.nodes[4].running = false;
    fleet.run(seconds(60));
    let now = fleet.now();
    let mut random = StdRng::seed_from_u64(1);
    let stale = Message::Ping { on_behalf: host(1) };
    assert!(fleet.nodes[4].membership.receive(now, &host(1), stale).is_empty());
    let actions = fleet.nodes[4].membership.poll(now, &mut random);
    assert!(!fleet.nodes[4].membership.is_trusted(), "it trusts what it knew before");
    assert!(actions.contains(&Action::CloseAllLinks), "it reads on what its links buffered");
    let probes = |a: &Action| matches!(a, Action::Send { message: Message::Probe { .. }, .. });
    assert!(!actions.iter().any(probes), "it accuses neighbours of its own silence");
    fleet.nodes[4].running = true;
    let all: Vec<usize> = (0..12).collect();
    let back = fleet.until(seconds(30), |fleet| all_see(fleet, &all));
    assert!(back.is_some() && fleet.nodes[4].membership.is_trusted());
}

/// A host restarts on the same address within a second; peers must take the new process for what
/// it is, not bury it with the old one.
#[test]
fn a_replaced_host_is_taken_in_again() {
    let mut fleet = settled(16, 8);
    fleet.nodes[2].running = false;
    fleet.run(seconds(20));
    fleet.restart(2, &published(1, 0..16, &[]));
    let all: Vec<usize> = (0..16).collect();
    assert!(fleet.until(seconds(15), |fleet| all_see(fleet, &all)).is_some());
}

/// Two members that know the same fleet choose each other, and a fleet hangs together.
#[test]
fn neighbours_are_mutual_bounded_and_connect_all() {
    let names: Vec<String> = (0..330).map(|n| host(n).to_string()).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let chosen_by: BTreeMap<&str, Vec<String>> =
        all.iter().map(|name| (*name, ring::neighbours(name, &all))).collect();
    let of = |name: &str| chosen_by[name].clone();
    for name in &all {
        let chosen = of(name);
        assert!((2..=6).contains(&chosen.len()));
        assert!(chosen.iter().all(|other| of(other).iter().any(|back| back == name)));
    }
    let mut reached = BTreeSet::from([names[0].clone()]);
    let mut steps = 0;
    while reached.len() < names.len() {
        steps += 1;
        let next: Vec<String> = reached.iter().flat_map(|name| of(name)).collect();
        reached.extend(next);
        assert!(steps <= 7, "news needs more than 7 steps");
    }
}

/// A stranger joins the fleet and feeds it a list of its own. It does not hold the key, or plays
/// back what it overheard, or turns an answer round.
#[test]
fn only_the_key_answers_a_challenge() {
    let (a, b, c) = (Challenge::new([1, 2]), Challenge::new([3, 4]), Challenge::new([5, 6]));
    let good = prove("key", Role::Dialer, a, b, &host(1));
    let told = |key: &str, role, caller, listener, of| {
        verify(key, role, caller, listener, &host(of), &good).is_ok()
    };
    assert!(told("key", Role::Dialer, a, b, 1));
    assert!(!told("other", Role::Dialer, a, b, 1), "another key");
    assert!(!told("key", Role::Dialer, a, c, 1), "played back on a new challenge");
    assert!(!told("key", Role::Listener, a, b, 1), "turned round");
    assert!(!told("key", Role::Dialer, a, b, 2), "under another name");
}

/// Bytes a member sends must not grow with the fleet; the slopes bench measures them in full.
#[test]
fn messages_for_each_member_stay_flat() {
    let rate = |size: usize| {
        let mut fleet = settled(size, 9);
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

    /// Whatever stops, wakes, restarts and parts, once all is whole again all members agree.
    #[test]
    fn membership_converges(steps in prop::collection::vec((0..5u8, 0..8usize, 1..15u64), 1..12), seed: u64) {
        let mut fleet = Fleet::open(8, seed);
        for (kind, who, span) in steps {
            match kind {
                0 => fleet.nodes[who].running = false,
                1 => fleet.nodes[who].running = true,
                2 => fleet.restart(who, &published(1, 0..8, &[])),
                3 => fleet.nodes[who].group = 1,
                _ => fleet.nodes[who].group = 0,
            }
            fleet.run(seconds(span));
        }
        for node in &mut fleet.nodes {
            (node.running, node.group) = (true, 0);
        }
        let all: Vec<usize> = (0..8).collect();
        prop_assert!(fleet.until(seconds(120), |fleet| all_see(fleet, &all)).is_some());
        let alive = |record: &fireflyhoist_policy::member::Record| record.status == Status::Alive;
        prop_assert!(fleet.nodes.iter().all(|node| node.membership.records().all(alive)));
    }
}
