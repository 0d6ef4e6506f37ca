//! Where a running answer may go on when its target leaves, and what this entry holds where.
//!
//! **Load pattern** (`reclaim`): borrowed engines are taken back every few seconds, a second or
//! two after a notice, with several answers on each. Without a place chosen ahead every answer
//! there is cut, and its prompt and all that was generated is lost.

use rand::Rng;

use crate::ask::Class;
use crate::gate::Gate;
use crate::id;
use crate::time::Time;
use crate::unit::Tokens;

/// What one entry holds at one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// The target.
    pub target: id::Target,
    /// Tokens in its memory.
    pub tokens: Tokens,
    /// Answers that it generates.
    pub streams: u32,
}

impl Gate {
    /// What this entry's running answers hold, target by target.
    pub fn holdings(&self) -> impl Iterator<Item = Holding> {
        let busy = self.slots.iter().filter(|slot| slot.room.streams() > 0);
        busy.map(|slot| Holding {
            target: slot.name.clone(),
            tokens: Tokens::new(slot.room.holdings().0 as u64),
            streams: slot.room.streams(),
        })
    }

    /// The target to which a running answer's memory is best copied or moved.
    ///
    /// It is the one with most room among those that are up and trusted, since what is copied must
    /// fit there until the answer ends. `None` where no other target can hold it.
    pub fn refuge(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: id::Request,
        avoid: &[id::Target],
    ) -> Option<id::Target> {
        self.weigh(now);
        let running = self.running.get(&request)?;
        let (own, curve, class) = (running.slot, running.curve, running.ask.class);
        let mut best: Option<(f64, usize)> = None;
        for (at, slot) in self.slots.iter().enumerate() {
            if at == own || !slot.is_up(now) || avoid.contains(&slot.name) {
                continue;
            }
            let (_, total) = slot.room.holdings();
            let claim = slot.room.claim(now, class, 1.0, 1.0, 0.0);
            if class != Class::Lookup && !slot.room.fits(class, &claim, &curve) {
                continue;
            }
            // A little chance, so that answers of several entries don't all choose the same one.
            let cost = total * rng.random_range(0.9..1.1);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, at));
            }
        }
        best.map(|(_, at)| self.slots[at].name.clone())
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
            let slot = &mut self.slots[from];
            slot.unstarted = slot.unstarted.saturating_sub(1);
            self.slots[to].unstarted += 1;
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
