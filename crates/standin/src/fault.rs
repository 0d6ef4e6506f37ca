//! Faults of a stand-in target that tests switch on, in its process or with `PUT /fault`.
//!
//! To die is no fault of this list: end the process, or call [`crate::Running::kill`].

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// New work is declined with 503.
    Refuse,
    /// Work is accepted and done, but its reply never comes.
    LoseReply,
    /// The link is cut before the token or byte at this offset.
    Cut {
        /// The offset.
        at: u64,
    },
    /// The link brings nothing more from this offset on, and stays open.
    Silent {
        /// The offset.
        at: u64,
    },
    /// Nothing more is produced from this offset on, over any link.
    Stall {
        /// The offset.
        at: u64,
    },
    /// Tokens doubled, late, ahead and of another generation are mixed in from this offset on.
    Lie {
        /// The offset.
        at: u64,
    },
    /// An end mark that counts too few tokens comes at this offset.
    EndEarly {
        /// The offset.
        at: u64,
    },
    /// Streams are forgotten, as by a restart.
    Forget,
    /// Work takes this many times as long.
    Slow {
        /// The factor.
        by: u32,
    },
}

/// A fault and how often it is to strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What goes wrong.
    #[serde(flatten)]
    pub fault: Fault,
    /// How often; for ever where absent.
    #[serde(default)]
    pub times: Option<u32>,
}

/// The fault that is switched on, if any.
#[derive(Debug, Default)]
pub struct Switch(Mutex<Option<Order>>);

impl Switch {
    /// Switches a fault on, in place of any other.
    pub fn set(&self, order: Option<Order>) {
        *self.0.lock() = order;
    }

    /// The fault that is on, if `wanted` says that it strikes now; counts the strike.
    pub(crate) fn strikes(&self, wanted: impl FnOnce(Fault) -> bool) -> Option<Fault> {
        let mut order = self.0.lock();
        let on = order.as_mut().filter(|order| wanted(order.fault))?;
        let fault = on.fault;
        if let Some(times) = &mut on.times {
            *times = times.saturating_sub(1);
            if *times == 0 {
                *order = None;
            }
        }
        Some(fault)
    }

    /// The fault that is on, without counting a strike.
    pub(crate) fn on(&self) -> Option<Fault> {
        self.0.lock().map(|order| order.fault)
    }
}
