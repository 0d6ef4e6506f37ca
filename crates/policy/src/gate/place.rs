//! Which targets of a gate may take a request, and how much of them a heavy workspace leaves.

use std::time::Duration;

use rand::Rng;

use crate::curve::Curve;
use crate::gate::Gate;
use crate::id;
use crate::late;
use crate::placement::{self, Candidate};
use crate::request::{Class, Request};
use crate::slot::Slot;
use crate::time::Time;

/// Part of every engine that a heavy workspace leaves to the others. An entry's share of it must
/// hold one ordinary answer, or the reserve is free and yet nobody may take it.
const RESERVE: f64 = 0.36;

/// How many times an entry's equal part of all that is held a workspace must hold there to be
/// heavy. Without it two ordinary workspaces that share an entry take turns at being heavy.
const FLOOR: f64 = 1.3;

/// The same, where the whole reserve is left.
const FULL: f64 = 1.6;

/// Streams that one entry may have at a live engine before their first token: each prompt holds
/// back every stream of the engine while it is computed.
const UNSTARTED: u32 = 1;

/// Prompts below so many tokens are computed in about 3 ms, less than one step of an engine, so
/// they go where the load is least and not where they were met before.
const AFFINE: u64 = 64;

/// How often targets' weights are read from the detector.
const WEIGHTS: Duration = Duration::from_millis(200);

impl Gate {
    /// Reads anew how far each target is trusted.
    pub(super) fn weigh(&mut self, now: Time) {
        if now.since(self.weighed) < WEIGHTS {
            return;
        }
        self.weighed = now;
        let listed = self.slots.iter().filter(|slot| slot.is_open());
        self.held = listed.map(|slot| slot.room.holdings().1).sum();
        if !self.settings.outlier {
            return;
        }
        self.detector.poll(now);
        for (target, weight) in self.detector.weights(now) {
            if let Some(at) = self.index.get(target) {
                self.slots[*at].weight = weight;
            }
        }
    }

    /// How far a workspace stands above this entry's equal part of all that is held, from 0 to 1.
    fn weight_above(&self, workspace: &id::Workspace) -> f64 {
        let part = self.held / self.entries.0.max(1) as f64;
        if !self.usage.is_heavy(workspace, FLOOR * part) {
            return 0.0;
        }
        let parts = self.usage.held(workspace) / part.max(1.0);
        ((parts - FLOOR) / (FULL - FLOOR)).clamp(0.0, 1.0)
    }

    /// A lookup goes out at once, whatever the generations do.
    pub(super) fn place_lookup(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        ask: &Request,
    ) -> Option<usize> {
        let sends = self.sends;
        self.collect(|slot| {
            let up = slot.is_up(now) && Some(&slot.name) != ask.avoid.as_ref();
            up.then(|| slot.load(sends))
        });
        if self.candidates.is_empty() {
            // Better a target in doubt than no answer, and one that failed some other request than
            // the one that has just failed this.
            self.collect(|slot| {
                let other = Some(&slot.name) != ask.avoid.as_ref();
                (slot.firm_exclusion(now).is_none() && other).then_some(0.0)
            });
        }
        if self.candidates.is_empty() {
            self.collect(|slot| slot.firm_exclusion(now).is_none().then_some(0.0));
        }
        let choices = self.settings.choices;
        let chosen = placement::choose(rng, placement::NO_PREFIX, &self.candidates, choices);
        chosen.map(|at| self.fitting[at])
    }

    /// The target for a generation, where one has room.
    pub(super) fn place(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        ask: &Request,
        curve: &Curve,
    ) -> Option<usize> {
        let settings = self.settings.clone();
        let (sends, ordinary) = (self.sends, self.ordinary);
        let live = ask.class == Class::Live;
        let reserve = match ask.class {
            Class::Live if settings.reserve => RESERVE * self.weight_above(&ask.workspace),
            Class::Spare if settings.late => late::RESERVE,
            _ => 0.0,
        };
        let live = settings.pace && live;
        self.collect(|slot| {
            if !slot.is_up(now) || Some(&slot.name) == ask.avoid.as_ref() {
                return None;
            }
            if settings.newcomers && !slot.arrival.is_turn(now) {
                return None;
            }
            if settings.ahead && !slot.reads_soon(ask.prompt.get(), ordinary) {
                return None;
            }
            let (share, part) = (slot.share, slot.share.get(now));
            if live && (slot.unstarted >= UNSTARTED || !slot.has_pace(now, part)) {
                return None;
            }
            let (own, total) = slot.room.holdings();
            let claim = slot.room.claim(now, ask.class, part, share.kept(now, own, total), reserve);
            let fits = !settings.room || slot.room.fits(ask.class, &claim, curve);
            fits.then(|| slot.load(sends))
        });
        let worth = settings.affinity && ask.prompt.get() >= AFFINE;
        let prefix = if worth { ask.prefix } else { placement::NO_PREFIX };
        let chosen = placement::choose(rng, prefix, &self.candidates, settings.choices);
        chosen.map(|at| self.fitting[at])
    }

    /// Lists the targets that `load` takes, each with its load.
    fn collect(&mut self, load: impl Fn(&Slot) -> Option<f64>) {
        self.candidates.clear();
        self.fitting.clear();
        for (at, slot) in self.slots.iter().enumerate() {
            if let Some(load) = load(slot) {
                self.candidates.push(Candidate { key: slot.key, load, weight: slot.weight });
                self.fitting.push(at);
            }
        }
    }
}
