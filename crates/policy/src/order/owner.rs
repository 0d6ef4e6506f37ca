//! Selects the entry that orders an engine.
//!
//! Members are ranked by rendezvous hash for each engine, so no election or agreement is needed.
//! Two entries that see different members may both consider themselves the owner; fencing numbers
//! and leases resolve this.

use crate::id;
use crate::rendezvous;

/// Returns the owner of `engine` among `members`, or `None` where there are no members.
pub fn of<'a>(engine: &id::Target, members: &'a [id::Host]) -> Option<&'a id::Host> {
    let weight = |host: &id::Host| rendezvous::weight(engine.as_str(), host.as_str());
    members.iter().max_by(|a, b| weight(a).cmp(&weight(b)).then_with(|| b.cmp(a)))
}
