//! The order state of a stand-in engine: takes orders, loads for a while, and counts.
//!
//! Time is an argument, so that tests of stewards run in virtual time against the same state that
//! the engine serves over HTTP.

use std::time::Duration;

use fireflyhoist_policy::order::fence::Fence;
use fireflyhoist_policy::order::plan::{Observed, Order};
use fireflyhoist_policy::order::wanted::{Fencing, Setup};
use fireflyhoist_policy::time::Time;

/// What an engine remembers of its orders.
#[derive(Clone, Debug)]
pub struct Orders {
    fencing: Fencing,
    load: Duration,
    highest: Fence,
    holds: Option<Setup>,
    loading: Option<(Setup, Time)>,
    taken: Vec<Order>,
    loads: u64,
    refused: u64,
}

impl Orders {
    /// Opens an engine that holds nothing and takes `load` to load anything.
    pub fn open(fencing: Fencing, load: Duration) -> Self {
        Self {
            fencing,
            load,
            highest: Fence::default(),
            holds: None,
            loading: None,
            taken: Vec::new(),
            loads: 0,
            refused: 0,
        }
    }

    /// What it says of itself; one that ignores fencing numbers reports none.
    pub fn observe(&mut self, now: Time) -> Observed {
        if let Some((setup, until)) = self.loading.take() {
            match now >= until {
                true => self.holds = Some(setup),
                false => self.loading = Some((setup, until)),
            }
        }
        Observed {
            fence: self.highest,
            holds: self.holds.clone(),
            loading: self.loading.as_ref().map(|(setup, _)| setup.clone()),
        }
    }

    /// Takes an order, or refuses one whose number is not above the highest, which it names.
    pub fn take(&mut self, now: Time, order: &Order) -> Result<(), Fence> {
        let observed = self.observe(now);
        if self.fencing == Fencing::Checked {
            if order.fence <= self.highest {
                self.refused += 1;
                return Err(self.highest);
            }
            self.highest = order.fence;
        }
        self.taken.push(order.clone());
        if observed.loading.as_ref().or(observed.holds.as_ref()) != Some(&order.setup) {
            self.loads += 1;
            self.holds = None;
            self.loading = Some((order.setup.clone(), now + self.load));
        }
        Ok(())
    }

    /// The orders taken, in turn.
    pub fn taken(&self) -> &[Order] {
        &self.taken
    }

    /// How many loads began.
    pub fn loads(&self) -> u64 {
        self.loads
    }

    /// How many orders were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
