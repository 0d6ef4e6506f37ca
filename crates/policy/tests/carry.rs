//! Pattern `reclaim`: where answers go on when their target leaves.

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

struct World {
    gate: Gate,
    rng: ChaCha8Rng,
    now: Time,
}

impl World {
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

    fn refuges(&mut self, near: &[id::Target], reserve: Option<f64>) -> Vec<id::Target> {
        let near: BTreeSet<id::Target> = near.iter().cloned().collect();
        let request = id::Request::new(1);
        self.gate.refuges(self.now, &mut self.rng, request, &near, reserve)
    }
}

/// An engine was just added and is empty: if every copy went there, they would share its one link.
#[test]
fn an_empty_engine_does_not_draw_every_copy() {
    let targets = names(0..10);
    let mut world = World::open(&targets);
    let own = world.send(1);
    let busy = report(MEMORY * 6 / 10);
    let empty = targets.iter().find(|t| **t != own).expect("one of ten").clone();
    for target in targets.iter().filter(|t| **t != empty) {
        world.gate.report(world.now, target, &busy, Duration::ZERO);
    }
    let first = (0..200).filter(|_| world.refuges(&[], None).first() == Some(&empty)).count();
    assert!((30..120).contains(&first), "{first} of 200");
}

/// A copy to another failure domain takes twice as long, and the engine is gone before it is there.
#[test]
fn engines_nearby_go_first() {
    let targets = names(0..8);
    let mut world = World::open(&targets);
    let own = world.send(1);
    let near: Vec<id::Target> = targets.iter().filter(|t| **t != own).take(2).cloned().collect();
    for _ in 0..50 {
        let refuges = world.refuges(&near, None);
        assert!(refuges[..2].iter().all(|refuge| near.contains(refuge)), "{refuges:?}");
        assert!(!refuges.contains(&own));
        assert_eq!(refuges.len(), 7);
    }
}

/// Copies ahead fill the memory that answers need: with a reserve only engines with room are named,
/// without one every other engine is, since an answer that stays is lost.
#[test]
fn a_reserve_leaves_out_full_engines() {
    let targets = names(0..4);
    let mut world = World::open(&targets);
    let own = world.send(1);
    for target in targets.iter().filter(|t| **t != own) {
        world.gate.report(world.now, target, &report(MEMORY / 2), Duration::ZERO);
    }
    assert!(world.refuges(&[], Some(0.65)).is_empty());
    assert_eq!(world.refuges(&[], None).len(), 3);
}

/// An answer that moved is counted where it is now, and at its end nowhere.
#[test]
fn a_moved_answer_is_counted_at_its_new_target() {
    let targets = names(0..2);
    let mut world = World::open(&targets);
    let own = world.send(1);
    let other = targets.iter().find(|t| **t != own).expect("two").clone();
    world.gate.transfer(world.now, id::Request::new(1), &other);
    let holdings: Vec<id::Target> = world.gate.holdings().map(|holding| holding.target).collect();
    assert_eq!(holdings, [other]);
    world.gate.finish(world.now, id::Request::new(1), Outcome::Whole);
    assert_eq!(world.gate.holdings().count(), 0);
}

/// Borrowed engines come and go all day under new names, and the gate must not grow with them,
/// while what still runs at one that left goes on to its end.
#[test]
fn targets_that_left_are_forgotten_once_unused() {
    let mut world = World::open(&names(0..4));
    world.send(1);
    for from in 1..500 {
        world.gate.set_targets(world.now, names(from * 4..from * 4 + 4));
    }
    world.gate.finish(world.now, id::Request::new(1), Outcome::Whole);
    world.gate.set_targets(world.now, names(9_000..9_004));
    let text = format!("{:?}", world.gate);
    assert!(!text.contains("\"e-0\"") && !text.contains("\"e-1996\""), "old names are kept");
}

/// A page is cut although an engine has room: each that was asked before it was full, refused, and
/// took a part of the notice. Engines where the page does not fit now come last, even nearby ones.
#[test]
fn engines_without_room_come_last() {
    let targets = names(0..8);
    let mut world = World::open(&targets);
    let own = world.send(1);
    let others: Vec<id::Target> = targets.iter().filter(|t| **t != own).cloned().collect();
    let (full, free) = others.split_at(5);
    for target in full {
        world.gate.report(world.now, target, &report(MEMORY - 1_000), Duration::ZERO);
    }
    for _ in 0..50 {
        let refuges = world.refuges(full, None);
        assert!(refuges[..2].iter().all(|refuge| free.contains(refuge)), "{refuges:?}");
        assert_eq!(refuges.len(), 7);
    }
}

/// Engines are full, the registry is away, and pages that leave an engine push others out: more are
/// late than would have been cut. Whether there is room decides.
#[test]
fn there_is_a_refuge_while_engines_have_room() {
    let targets = names(0..4);
    let mut world = World::open(&targets);
    assert!(world.gate.has_refuge());
    for target in &targets[..2] {
        world.gate.report(world.now, target, &report(MEMORY), Duration::ZERO);
    }
    assert!(world.gate.has_refuge(), "half of the room is free");
    world.gate.report(world.now, &targets[2], &report(MEMORY), Duration::ZERO);
    world.gate.report(world.now, &targets[3], &report(MEMORY / 2), Duration::ZERO);
    assert!(!world.gate.has_refuge());
}

/// An engine runs nothing yet and keeps memory for answers that are on their way to it. A page that
/// is sent there waits inside it until they have come and gone, however empty it looks.
#[test]
fn an_engine_that_keeps_memory_for_copies_is_not_idle() {
    let targets = names(0..2);
    let mut world = World::open(&targets);
    world.gate.report(world.now, &targets[0], &report(MEMORY - 2_000), Duration::ZERO);
    let mut sent = Vec::new();
    for request in 0..12 {
        match world.gate.offer(world.now, &mut world.rng, ask(request)) {
            Verdict::Send(target) => sent.push(target),
            Verdict::Wait => break,
            Verdict::Refuse(refusal) => panic!("{refusal:?}"),
        }
    }
    assert!(!sent.is_empty() && sent.iter().all(|target| *target == targets[1]), "{sent:?}");
}

/// Half of the drafts begin late although engines that were taken back have been replaced: the new
/// ones are filled with copies made for the case of a crash, while all others are full of answers.
#[test]
fn no_copies_are_made_while_engines_as_a_whole_are_full() {
    let targets = names(0..6);
    let mut world = World::open(&targets);
    let own = world.send(1);
    let copies = |world: &mut World| {
        let near = BTreeSet::new();
        let request = id::Request::new(1);
        world.gate.refuges(world.now, &mut world.rng, request, &near, Some(0.65))
    };
    assert!(!copies(&mut world).is_empty(), "there is room everywhere");
    let others: Vec<id::Target> = targets.iter().filter(|t| **t != own).cloned().collect();
    for target in &others[1..] {
        world.gate.report(world.now, target, &report(MEMORY * 19 / 20), Duration::ZERO);
    }
    assert!(copies(&mut world).is_empty(), "one that is empty is wanted for answers");
}
