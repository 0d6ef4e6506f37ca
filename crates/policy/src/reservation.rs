//! Reservations of prefill: several entries must not send prompts to one engine before they have
//! learned of each other's sends.
//!
//! An entry learns of another's send some 15 ms and a network delay later, and entries with waiting
//! requests all act when the same announcement arrives. Before a generation goes to an engine, the
//! entry therefore asks the engine's owner, which counts what it has granted to other entries and
//! they have not announced yet. The owner decides at once from memory. An entry that gets no answer
//! uses its own view, so that the loss of an owner delays requests but stops none.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::request::Class;
use crate::target;
use crate::time::Time;
use crate::unit::Tokens;

/// How long an owner may take to answer: about twenty round trips.
pub const TIMEOUT: Duration = Duration::from_millis(100);

/// How many owners are asked for one request before it waits in the queue.
pub const MAX_ASKS: u32 = 4;

/// How long a reservation counts unless its entry announces what it holds before. A leaf announces
/// a send to its primary active after [`COALESCE_DELAY`](crate::heartbeat::COALESCE_DELAY), and
/// that active passes it on within one [`INTERVAL`](crate::heartbeat::INTERVAL); two intervals leave
/// time for slow links and busy hosts.
const TTL: Duration = Duration::from_millis(300);

/// How long an owner counts the memory of its own sends as unknown to others:
/// [`COALESCE_DELAY`](crate::heartbeat::COALESCE_DELAY) and the delay of a link.
const OWN_TTL: Duration = Duration::from_millis(30);

/// The shortest time after which a deferred request asks again: a tenth of the prefill of one
/// prompt, so that an engine hardly waits for the next one.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// By how much later than the previous one each deferred request asks again. It is longer than a
/// round trip, so that the earlier request has its answer by then.
const WAIT_STEP: Duration = Duration::from_millis(5);

/// The longest time after which a deferred request asks again.
const MAX_WAIT: Duration = Duration::from_millis(60);

/// For how long an owner that did not answer is not asked again.
const SILENCE: Duration = Duration::from_secs(1);

/// How long after its last silence an owner is forgotten, such as one that was removed.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What a request needs at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The class, which determines how certain it must be that the memory suffices.
    pub class: Class,
    /// Prompt tokens.
    pub prompt: Tokens,
    /// The memory by which the answer raises the predicted peak at the engine.
    pub memory: Tokens,
    /// The memory that is predicted to stay free beside it, as the entry knows the engine.
    pub spare: Tokens,
    /// The mean prompt length at the entry, on which the bound on waiting prompts depends.
    pub mean_prompt: Tokens,
}

/// What an engine has room for without the request in question, as the owner knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Prompt tokens that wait for prefill there.
    pub unread: Tokens,
    /// The mean prompt length at the owner.
    pub mean_prompt: Tokens,
    /// Tokens of memory that nothing holds now.
    pub free: Tokens,
    /// Whether nothing runs there.
    pub idle: bool,
}

impl Default for Room {
    /// Returns the room of an engine that the owner does not know: only its grants count.
    fn default() -> Self {
        Self {
            unread: Tokens::default(),
            mean_prompt: Tokens::default(),
            free: Tokens::new(u64::MAX),
            idle: true,
        }
    }
}

/// How a reservation was decided.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// The owner granted it.
    #[display("granted")]
    Granted,
    /// The owner deferred it.
    #[display("deferred")]
    Deferred,
    /// The owner did not answer, can't be reached, or is of an earlier release.
    #[display("unanswered")]
    Unanswered,
}

/// A granted reservation.
#[derive(Clone, Debug)]
struct Grant {
    /// The entry that it was granted to; `None` for the owner.
    entry: Option<id::Host>,
    target: id::Target,
    prompt: u64,
    memory: u64,
    at: Time,
}

impl Grant {
    fn is_current(&self, now: Time) -> bool {
        now.since(self.at) < if self.entry.is_some() { TTL } else { OWN_TTL }
    }
}

/// What is granted at one target and not announced.
#[derive(Clone, Copy, Debug, Default)]
struct Pending {
    /// Prompt tokens of other entries.
    prompt: u64,
    /// Memory of other entries.
    memory: u64,
    /// Memory of the owner, which its gate counts already.
    own_memory: u64,
}

/// The reservations that an owner has granted.
///
/// They live in memory only: a new owner starts from what heartbeats say.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    /// The grants that have not been announced, the earliest first; a few tens at most.
    grants: Vec<Grant>,
    /// When the request that was deferred last at a target is to ask again.
    turns: HashMap<id::Target, Time>,
}

impl Reservations {
    /// Grants a reservation by returning `None`, or returns the time after which to ask again.
    ///
    /// `entry` is the entry that asks, or `None` for the owner, whose gate counts the request
    /// already. `room` is what the owner knows without the request.
    pub fn try_grant(
        &mut self,
        now: Time,
        entry: Option<&id::Host>,
        target: &id::Target,
        demand: &Demand,
        room: &Room,
    ) -> Option<Duration> {
        self.grants.retain(|grant| grant.is_current(now));
        if !self.has_room(target, demand, room) {
            return Some(self.next_wait(now, target));
        }
        self.grants.push(Grant {
            entry: entry.cloned(),
            target: target.clone(),
            prompt: demand.prompt.get(),
            memory: demand.memory.get(),
            at: now,
        });
        None
    }

    /// Returns whether a target has room beside what is granted.
    ///
    /// The prediction of memory is that of the entry that asks: predictions differ between entries,
    /// and a request would have to satisfy the stricter of two. The owner adds what that entry can't
    /// know yet. What is held there must fit in any case, since the entry may have lost links.
    fn has_room(&self, target: &id::Target, demand: &Demand, room: &Room) -> bool {
        let pending = self.pending(target);
        let waiting = room.unread.get() + pending.prompt;
        let mean_prompt = room.mean_prompt.max(demand.mean_prompt).get() as f64;
        let prompt = demand.prompt.get();
        if !target::is_within_prefill_bound(waiting, prompt, mean_prompt) {
            return false;
        }
        // As in `Memory::fits`, an idle engine takes any answer.
        let first = room.idle && pending.memory == 0;
        let unknown = pending.memory + pending.own_memory;
        first || (unknown <= demand.spare.get() && pending.memory + prompt <= room.free.get())
    }

    /// Returns the time after which a deferred request asks again. Requests that are deferred
    /// together get increasing times, so that they return one after the other.
    fn next_wait(&mut self, now: Time, target: &id::Target) -> Duration {
        self.turns.retain(|_, turn| *turn > now);
        let earliest = now + MIN_WAIT;
        let turn = self.turns.get(target).map_or(earliest, |last| earliest.max(*last + WAIT_STEP));
        let turn = turn.min(now + MAX_WAIT);
        self.turns.insert(target.clone(), turn);
        turn.since(now)
    }

    /// Returns what is granted at a target and not announced.
    fn pending(&self, target: &id::Target) -> Pending {
        let mut pending = Pending::default();
        for grant in self.grants.iter().filter(|grant| grant.target == *target) {
            match grant.entry {
                Some(_) => {
                    pending.prompt += grant.prompt;
                    pending.memory += grant.memory;
                }
                None => pending.own_memory += grant.memory,
            }
        }
        pending
    }

    /// Records that an entry has announced what it holds, which includes what it was granted before.
    pub fn announced(&mut self, entry: &id::Host) {
        self.grants.retain(|grant| grant.entry.as_ref() != Some(entry));
    }

    /// Returns the number of reservations that are granted and not announced.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether nothing is granted that is not announced.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

/// The owners that did not answer lately.
#[derive(Clone, Debug, Default)]
pub struct SilentOwners {
    until: HashMap<id::Host, Time>,
}

impl SilentOwners {
    /// Returns whether an owner is to be asked. After a silence a single request tries it first, so
    /// that an owner that stays away delays one request a second.
    pub fn may_ask(&mut self, now: Time, owner: &id::Host) -> bool {
        match self.until.get_mut(owner) {
            Some(until) if now < *until => false,
            Some(until) => {
                *until = now + SILENCE;
                true
            }
            None => true,
        }
    }

    /// Records that an owner answered.
    pub fn answered(&mut self, owner: &id::Host) {
        self.until.remove(owner);
    }

    /// Records that an owner did not answer.
    pub fn unanswered(&mut self, now: Time, owner: &id::Host) {
        self.until.retain(|_, until| now.since(*until) < FORGET_AFTER);
        self.until.insert(owner.clone(), now + SILENCE);
    }
}
