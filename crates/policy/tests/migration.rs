//! Targets to which running answers are migrated when theirs leaves.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflyhoist_policy::gate::{Gate, Outcome, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::request::Class;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MEMORY: u64 = 34_000;

fn names(range: std::ops::Range<u32>) -> Vec<id::Target> {
    range.map(|n| format!("e-{n}").parse().expect("name")).collect()
}

fn ask(request: u128) -> Request {
    Request {
        id: id::Request::new(request),
        workspace: "w".parse().expect("name"),
        class: Class::Live,
        rank: 0,
        prompt: Tokens::new(3_000),
        limit: Tokens::new(2_000),
        prefix: 0,
        objective: Time::ZERO + Duration::from_secs(40),
        deadline: Time::ZERO + Duration::from_secs(40),
        retry: false,
        avoid: None,
    }
}

fn report(used: u64) -> Report {
    let (capacity, used) = (Tokens::new(MEMORY), Tokens::new(used));
    Report { capacity, used, ..Report::default() }
}

struct Entry {
    gate: Gate,
    rng: ChaCha8Rng,
    now: Time,
}

impl Entry {
    fn open(targets: &[id::Target]) -> Self {
        let settings = Settings { share: false, ..Settings::default() };
        let (mut gate, now) = (Gate::open(settings), Time::ZERO);
        gate.set_targets(now, targets.to_vec());
        targets.iter().for_each(|t| gate.report(now, t, &report(0), Duration::ZERO));
        Self { gate, rng: ChaCha8Rng::seed_from_u64(7), now }
    }

    fn send(&mut self, request: u128) -> id::Target {
        match self.gate.offer(self.now, &mut self.rng, ask(request)) {
            Verdict::Send(target) => target,
            other => panic!("{other:?}"),
        }
    }

    fn migration_targets(&mut self, near: &[id::Target], reserve: Option<f64>) -> Vec<id::Target> {
        let near: BTreeSet<id::Target> = near.iter().cloned().collect();
        let request = id::Request::new(1);
        self.gate.migration_targets(self.now, &mut self.rng, request, &near, reserve)
    }
}

/// An engine has just been added and is empty. If every copy went to it, they would share its one
/// link.
#[test]
fn an_empty_engine_does_not_get_every_copy() {
    let targets = names(0..10);
    let mut entry = Entry::open(&targets);
    let own = entry.send(1);
    let busy = report(MEMORY * 6 / 10);
    let empty = targets.iter().find(|t| **t != own).expect("one of ten").clone();
    for target in targets.iter().filter(|t| **t != empty) {
        entry.gate.report(entry.now, target, &busy, Duration::ZERO);
    }
    let first =
        (0..200).filter(|_| entry.migration_targets(&[], None).first() == Some(&empty)).count();
    assert!((30..120).contains(&first), "{first} of 200");
}

/// A copy to another failure domain takes twice as long, and may not be complete before its source
/// is gone.
#[test]
fn engines_in_the_same_failure_domain_come_first() {
    let targets = names(0..8);
    let mut entry = Entry::open(&targets);
    let own = entry.send(1);
    let near: Vec<id::Target> = targets.iter().filter(|t| **t != own).take(2).cloned().collect();
    for _ in 0..50 {
        let ranked = entry.migration_targets(&near, None);
        assert!(ranked[..2].iter().all(|target| near.contains(target)), "{ranked:?}");
        assert!(!ranked.contains(&own));
        assert_eq!(ranked.len(), 7);
    }
}

/// Copies made ahead use memory that answers need, so with a reserve only engines with room are
/// returned. Without one every other engine is, since an answer that stays is lost.
#[test]
fn a_reserve_leaves_out_full_engines() {
    let targets = names(0..4);
    let mut entry = Entry::open(&targets);
    let own = entry.send(1);
    for target in targets.iter().filter(|t| **t != own) {
        entry.gate.report(entry.now, target, &report(MEMORY / 2), Duration::ZERO);
    }
    assert!(entry.migration_targets(&[], Some(0.65)).is_empty());
    assert_eq!(entry.migration_targets(&[], None).len(), 3);
}

/// Guards against a migrated answer being counted at its old target, or still being counted after
/// its end.
#[test]
fn a_migrated_answer_is_counted_at_its_new_target() {
    let targets = names(0..2);
    let mut entry = Entry::open(&targets);
    let own = entry.send(1);
    let other = targets.iter().find(|t| **t != own).expect("two").clone();
    entry.gate.transfer(entry.now, id::Request::new(1), &other);
    let holdings: Vec<id::Target> = entry.gate.holdings().map(|holding| holding.target).collect();
    assert_eq!(holdings, [other]);
    entry.gate.finish(entry.now, id::Request::new(1), Outcome::Whole);
    assert_eq!(entry.gate.holdings().count(), 0);
}

/// Borrowed engines join and leave all day under new names. The gate must not grow with them, and
/// an answer that still runs at one that left must be able to finish.
#[test]
fn unlisted_targets_are_removed_once_unused() {
    let mut entry = Entry::open(&names(0..4));
    entry.send(1);
    for from in 1..500 {
        entry.gate.set_targets(entry.now, names(from * 4..from * 4 + 4));
    }
    entry.gate.finish(entry.now, id::Request::new(1), Outcome::Whole);
    entry.gate.set_targets(entry.now, names(9_000..9_004));
    let text = format!("{:?}", entry.gate);
    assert!(!text.contains("\"e-0\"") && !text.contains("\"e-1996\""), "removed targets are kept");
}

/// Guards against an answer being cut although an engine has room, because engines without room are
/// tried first: each refuses, which uses up part of the notice period. Engines on which the answer
/// does not fit now come last, even in the same failure domain.
#[test]
fn engines_without_room_come_last() {
    let targets = names(0..8);
    let mut entry = Entry::open(&targets);
    let own = entry.send(1);
    let others: Vec<id::Target> = targets.iter().filter(|t| **t != own).cloned().collect();
    let (full, free) = others.split_at(5);
    for target in full {
        entry.gate.report(entry.now, target, &report(MEMORY - 1_000), Duration::ZERO);
    }
    for _ in 0..50 {
        let ranked = entry.migration_targets(full, None);
        assert!(ranked[..2].iter().all(|target| free.contains(target)), "{ranked:?}");
        assert_eq!(ranked.len(), 7);
    }
}

/// If engines are full while the registry is unavailable, answers that are migrated displace
/// others, and more are late than would have been cut. Whether there is room in the mean decides.
#[test]
fn spare_capacity_depends_on_the_mean_load() {
    let targets = names(0..4);
    let mut entry = Entry::open(&targets);
    assert!(entry.gate.has_spare_capacity());
    for target in &targets[..2] {
        entry.gate.report(entry.now, target, &report(MEMORY), Duration::ZERO);
    }
    assert!(entry.gate.has_spare_capacity(), "half of the memory is free");
    entry.gate.report(entry.now, &targets[2], &report(MEMORY), Duration::ZERO);
    entry.gate.report(entry.now, &targets[3], &report(MEMORY / 2), Duration::ZERO);
    assert!(!entry.gate.has_spare_capacity());
}

/// An engine runs nothing yet but holds memory for answers that are being copied to it. A request
/// that is sent there waits inside it until these have ended, however empty it looks.
#[test]
fn an_engine_that_holds_memory_for_copies_is_not_idle() {
    let targets = names(0..2);
    let mut entry = Entry::open(&targets);
    entry.gate.report(entry.now, &targets[0], &report(MEMORY - 2_000), Duration::ZERO);
    let mut sent = Vec::new();
    for request in 0..12 {
        match entry.gate.offer(entry.now, &mut entry.rng, ask(request)) {
            Verdict::Send(target) => sent.push(target),
            Verdict::Wait => break,
            Verdict::Refuse(refusal) => panic!("{refusal:?}"),
        }
    }
    assert!(!sent.is_empty() && sent.iter().all(|target| *target == targets[1]), "{sent:?}");
}

/// Guards against half of the answers beginning late because engines that have just joined are
/// filled with copies made ahead for crashes, while all other engines are full of answers.
#[test]
fn no_copies_are_made_while_engines_as_a_whole_are_full() {
    let targets = names(0..6);
    let mut entry = Entry::open(&targets);
    let own = entry.send(1);
    let copies = |entry: &mut Entry| {
        let near = BTreeSet::new();
        let request = id::Request::new(1);
        entry.gate.migration_targets(entry.now, &mut entry.rng, request, &near, Some(0.65))
    };
    assert!(!copies(&mut entry).is_empty(), "there is room everywhere");
    let others: Vec<id::Target> = targets.iter().filter(|t| **t != own).cloned().collect();
    for target in &others[1..] {
        entry.gate.report(entry.now, target, &report(MEMORY * 19 / 20), Duration::ZERO);
    }
    assert!(copies(&mut entry).is_empty(), "the empty engine is needed for answers");
}
