//! Staggers the first requests of the entries to an engine that has just joined.
//!
//! Borrowed engines are replaced ten at a time, all entries learn of the new ones within a few
//! milliseconds, and each entry has requests that wait for room. Without a delay every entry sends
//! all of them to the engines that look empty before it has learned what the others sent. An engine
//! computes one prompt after the other, in 0.2 to 0.4 s each, so the last of nineteen begins four
//! seconds late: on a busy day of a large fleet, 176 of the 258 long answers that began
//! late had been sent to an engine less than a second old.
//!
//! The entries therefore begin one after another, 50 ms apart, in an order that differs from engine
//! to engine, so that each has learned what those before it sent. With it, 30 answers began late
//! for this reason.
//!
//! The order is that of rendezvous hashing over the entries that carry traffic, so it needs no
//! messages and no election. Entries that see different members may begin at the same time.

use std::time::Duration;

use crate::id;
use crate::rendezvous;
use crate::time::Time;

/// Time between the starts of two entries. What an entry sends is announced to the others within 15
/// ms and the network delay, and the prefill of one prompt takes four times as long as this
/// interval, so the engine is not idle meanwhile.
const INTERVAL: Duration = Duration::from_millis(50);

/// Longest delay of an entry, however many entries there are, so that an engine does not stay empty
/// if none of the earlier entries has requests for it.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// The entries that send, and which of them this one is. The default has no delays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Order {
    entries: Vec<id::Host>,
    own: Option<id::Host>,
}

impl Order {
    /// Creates the order in which `own` begins among `entries`.
    pub fn of(own: id::Host, entries: Vec<id::Host>) -> Self {
        Self { entries, own: Some(own) }
    }

    /// Returns how long after an engine has joined this entry leaves it to the others.
    pub(crate) fn delay(&self, engine: &id::Target) -> Duration {
        let Some(own) = &self.own else { return Duration::ZERO };
        let weight = |host: &id::Host| rendezvous::weight(engine.as_str(), host.as_str());
        let own_weight = weight(own);
        let precedes = |host: &&id::Host| {
            let weight = weight(host);
            weight > own_weight || weight == own_weight && *host < own
        };
        let position = match self.entries.contains(own) {
            true => self.entries.iter().filter(precedes).count(),
            false => self.entries.len(),
        };
        (INTERVAL * u32::try_from(position).unwrap_or(u32::MAX)).min(MAX_DELAY)
    }
}

/// When an engine joined, from which it follows when this entry may begin to send to it.
///
/// The delay is computed where it is asked for. The order changes with each entry that joins or
/// leaves, and a fleet may have thousands of engines, nearly all of which joined long ago.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delay {
    joined: Time,
}

impl Delay {
    pub(crate) fn since(joined: Time) -> Self {
        Self { joined }
    }

    pub(crate) fn is_over(&self, now: Time, order: &Order, engine: &id::Target) -> bool {
        now >= self.joined + MAX_DELAY || now >= self.joined + order.delay(engine)
    }
}
