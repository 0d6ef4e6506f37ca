//! Where a running answer may go on when its target leaves, and what this entry holds where.
//!
//! **Load pattern** (`reclaim`): borrowed engines are taken back every few seconds, a second or
//! two after a notice, with several answers on each. Without a place chosen ahead every answer
//! there is cut, and its prompt and all that was generated is lost.

use std::collections::BTreeSet;

use rand::Rng;

use crate::gate::Gate;
use crate::id;
use crate::time::Time;
use crate::unit::Tokens;

/// Load above which a target is no better for standing in the same failure domain: an answer of an
/// ordinary length no longer fits.
const FULL: f64 = 0.85;

/// Load that counts as none when a place for a copy is drawn.
///
/// The failure: a target that was just added is empty, so every copy of every entry goes there, and
/// they share its one link: moves that take 0.2 s took 1.5 s and more, and their engine was gone
/// before. Places are drawn at random instead, an empty one a few times as often as a full one.
const SLACK: f64 = 0.25;

/// Mean load of all targets up to which it pays to look for those that leave unannounced.
///
/// While the registry is away no replacement can be seen either. Answers that are moved off an engine
/// then push out others where engines are full, and new ones wait. With engines nine tenths full (a
/// day of the two larger deployments, three seeds each) the worth was 0.492 and 0.392 without asking,
/// 0.425 and 0.339 with, 0.466 and 0.372 up to 0.75, 0.483 and 0.387 up to 0.6; with engines a third
/// to half full (the same of the smaller ones, six seeds) 0.642 and 0.451, 0.660 and 0.457, 0.658 and
/// 0.460, 0.655 and 0.462.
const SPARE: f64 = 0.6;

/// How well a target suits an answer that leaves its own, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// In the same failure domain, with room for an ordinary answer more.
    Near,
    /// Elsewhere, or nearly full.
    Far,
    /// Without room for what the answer holds now.
    Full,
}

/// What one entry holds at one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// The target.
    pub target: id::Target,
    /// Tokens in its memory.
    pub tokens: Tokens,
    /// Answers that it generates.
    pub streams: u32,
    /// Prompt tokens of answers that have not begun.
    pub unread: Tokens,
}

impl Gate {
    /// What this entry's running answers hold, target by target.
    pub fn holdings(&self) -> impl Iterator<Item = Holding> {
        let busy = self.slots.iter().filter(|slot| slot.room.streams() > 0);
        busy.map(|slot| Holding {
            target: slot.name.clone(),
            tokens: Tokens::new(slot.room.holdings().0 as u64),
            streams: slot.room.streams(),
            unread: Tokens::new(slot.unread),
        })
    }

    /// Whether targets have room to take over what others that leave hold.
    pub fn has_refuge(&self) -> bool {
        let listed = self.slots.iter().filter(|slot| slot.is_open());
        let (count, load) =
            listed.fold((0.0, 0.0), |(count, load), slot| (count + 1.0, load + slot.room.load()));
        load < SPARE * count
    }

    /// Targets to which a running answer's memory is best copied or moved, the best first.
    ///
    /// They are those with most room among the targets that are up and trusted, since what is
    /// copied must fit there until the answer ends. Those in `near` go before others: a copy to
    /// another failure domain takes twice as long, and the engine's link is what is short.
    ///
    /// With a `reserve`, only targets are named where the answer fits until its end with that part
    /// of their memory left to others, and none where the targets as a whole have no room to spare:
    /// an engine that has just come is empty, and is wanted for answers. On two days of a deployment
    /// eight tenths full such copies cost 0.02 and 0.055 of the worth; on days of crashes they bring
    /// 0.035 to 0.05 where there is room, and nothing there. Without one, every target is: what the answer may grow to is
    /// a guess, and an answer that is preempted there is late, where one that stays is lost. Those
    /// where what it holds now does not fit come last: they refuse, and each refusal costs a part of
    /// the notice.
    pub fn refuges(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: id::Request,
        near: &BTreeSet<id::Target>,
        reserve: Option<f64>,
    ) -> Vec<id::Target> {
        self.weigh(now);
        if reserve.is_some() && !self.has_refuge() {
            return Vec::new();
        }
        let Some(running) = self.running.get(&request) else { return Vec::new() };
        let (own, curve, class) = (running.slot, running.curve, running.ask.class);
        let mut fitting: Vec<(Rank, f64, &id::Target)> = Vec::new();
        for (at, slot) in self.slots.iter().enumerate() {
            if at == own || !slot.is_up(now) {
                continue;
            }
            if let Some(reserve) = reserve {
                let claim = slot.room.claim(now, class, 1.0, 1.0, reserve);
                // An engine without answers takes any answer, but it may be full of copies.
                if slot.room.load() > 1.0 - reserve || !slot.room.fits(class, &claim, &curve) {
                    continue;
                }
            }
            let cost = (slot.room.load() + SLACK) * rng.random_range(0.0..1.0);
            let load = slot.room.load();
            let rank = match slot.room.load_with(&curve) > 1.0 {
                true => Rank::Full,
                false if load <= FULL && near.contains(&slot.name) => Rank::Near,
                false => Rank::Far,
            };
            fitting.push((rank, cost, &slot.name));
        }
        fitting.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        fitting.into_iter().map(|(_, _, name)| name.clone()).collect()
    }

    /// Notes that a running answer goes on at another target.
    pub fn transfer(&mut self, now: Time, request: id::Request, to: &id::Target) {
        let Some(&to) = self.index.get(to) else { return };
        let Some(running) = self.running.get_mut(&request) else { return };
        let from = std::mem::replace(&mut running.slot, to);
        let curve = running.curve;
        let unstarted = running.first.is_none();
        self.slots[from].room.free(now, &curve);
        if unstarted {
            let prompt = running.ask.prompt.get();
            self.slots[from].begun(prompt);
            self.slots[to].begins(prompt);
        }
        // The time on two engines says nothing of either.
        if let Some(running) = self.running.get_mut(&request) {
            running.judged = (running.produced, now);
        }
        self.slots[to].room.send(now, &curve);
    }

    /// Forgets targets that are neither listed nor in use.
    ///
    /// The failure: borrowed targets come and go all day, each under a name of its own; without
    /// this the gate grows and every placement looks at all that ever were.
    pub(super) fn forget_unused(&mut self) {
        let mut moved: Vec<Option<usize>> = Vec::with_capacity(self.slots.len());
        let mut kept = Vec::with_capacity(self.slots.len());
        for slot in self.slots.drain(..) {
            let keep = slot.listed || slot.room.streams() > 0;
            moved.push(keep.then_some(kept.len()));
            if keep {
                kept.push(slot);
            }
        }
        self.slots = kept;
        self.index = self.slots.iter().enumerate().map(|(at, s)| (s.name.clone(), at)).collect();
        for running in self.running.values_mut() {
            running.slot = moved[running.slot].unwrap_or_default();
        }
    }
}
