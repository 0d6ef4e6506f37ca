//! The ranks of requests, and how turns are divided among the ranks that wait in one class.
//!
//! A rank is the priority that operators give to a workspace or, where the workspace has none, to a
//! route; 0 is the most urgent. Within a class the most urgent rank that waits is served first,
//! except for a share of the turns that goes to less urgent ones. That share is an eighth, or a
//! quarter of the part of the waiting workspaces that wait only at less urgent ranks if that is
//! more. So no rank starves, and an urgent workspace that sends without end leaves the others a
//! quarter of their equal part.

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use crate::id;
use crate::request::Class;
use crate::route::Text;

/// Least share of the turns of a class that goes to ranks below the most urgent one that waits.
const MIN_SHARE: f64 = 1.0 / 8.0;

/// Share of their equal part that workspaces keep which wait only at less urgent ranks. Operators
/// accept no workspace that is served less than a quarter as often as all.
const KEPT_PART: f64 = 0.25;

/// How often more urgent requests may go first while a turn of the less urgent ones is due and
/// their requests fit on no target. After that the room that becomes free is left to them.
const MAX_PASSES: u32 = 8;

/// Owed turns are sums of fractions; this much less than one counts as one.
const ROUNDING: f64 = 1e-9;

/// A class and a rank: the requests that wait for the same turns. The order is that of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level {
    /// The latency class.
    pub class: Class,
    /// The rank within it; 0 for all while ranks are not in use.
    pub rank: u8,
}

impl Level {
    /// Returns the most urgent level of a class.
    pub fn first(class: Class) -> Self {
        Self { class, rank: 0 }
    }

    /// Returns the least urgent level of a class.
    pub fn last(class: Class) -> Self {
        Self { class, rank: u8::MAX }
    }
}

/// Turns that the less urgent ranks of one class are owed.
#[derive(Clone, Debug, Default)]
struct Debt {
    /// Number of turns, at most one.
    owed: f64,
    /// Number of turns given.
    given: u32,
    /// How often more urgent requests went first while a turn was due.
    passes: u32,
}

/// Divides the turns of each class among its ranks; see the [module](self).
#[derive(Clone, Debug, Default)]
pub struct Turns {
    debts: BTreeMap<Class, Debt>,
}

impl Turns {
    /// Returns whether a turn of the less urgent ranks of a class is due.
    pub fn is_due(&self, class: Class) -> bool {
        self.debts.get(&class).is_some_and(|debt| debt.owed >= 1.0 - ROUNDING)
    }

    /// Returns the ranks to try in the next turn of a class, in order. `waiting` holds those that
    /// wait, the most urgent first.
    pub fn order(&self, class: Class, waiting: &[u8]) -> Vec<u8> {
        let Some((first, others)) = waiting.split_first() else { return Vec::new() };
        if others.is_empty() || !self.is_due(class) {
            return vec![*first];
        }
        let debt = self.debts.get(&class).cloned().unwrap_or_default();
        let other = choose(debt.given, others);
        match debt.passes < MAX_PASSES {
            true => vec![other, *first],
            false => vec![other],
        }
    }

    /// Records that a request was served while several ranks of its class waited: `first` if it had
    /// the most urgent one. `part` is the part of the waiting workspaces that wait only at less
    /// urgent ranks.
    pub fn record(&mut self, class: Class, first: bool, part: f64) {
        let is_due = self.is_due(class);
        let debt = self.debts.entry(class).or_default();
        if first {
            let share = (KEPT_PART * part).max(MIN_SHARE);
            debt.owed = (debt.owed + share / (1.0 - share)).min(1.0);
            debt.passes += u32::from(is_due);
        } else {
            debt.owed = (debt.owed - 1.0).max(0.0);
            debt.given = debt.given.wrapping_add(1);
            debt.passes = 0;
        }
    }
}

/// Returns the rank that gets the turn after `given` others: every second one goes to the least
/// urgent rank, the rest to those between in rotation.
fn choose(given: u32, others: &[u8]) -> u8 {
    let last = others.len() - 1;
    if last == 0 || given.is_multiple_of(2) {
        return others[last];
    }
    others[(given / 2) as usize % last]
}

/// The route and the workspace of a request, by which its rank is found in another text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The name of the route.
    pub route: SmolStr,
    /// The workspace; `None` for callers that need no key.
    pub workspace: Option<id::Workspace>,
}

/// The ranks in one text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranks {
    routes: HashMap<SmolStr, u8>,
    /// Only the workspaces that have a rank of their own.
    workspaces: HashMap<id::Workspace, u8>,
}

impl Ranks {
    /// Returns the ranks in a text.
    pub fn of(text: &Text) -> Self {
        let routes = text.routes.iter().map(|route| (route.name.clone(), route.rank));
        let own =
            |workspace: &crate::route::Workspace| Some((workspace.id.clone(), workspace.rank?));
        Self {
            routes: routes.collect(),
            workspaces: text.workspaces.iter().filter_map(own).collect(),
        }
    }

    /// Returns the rank of requests of a workspace on a route; `None` if the text has neither a
    /// rank of the workspace nor the route.
    pub fn rank(&self, owner: &Owner) -> Option<u8> {
        let own = owner.workspace.as_ref().and_then(|workspace| self.workspaces.get(workspace));
        own.or_else(|| self.routes.get(&owner.route)).copied()
    }
}
