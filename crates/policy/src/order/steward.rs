//! Which entry orders an engine.
//!
//! Members are ranked by hash for each engine, so that no entry is elected and none must agree.
//! Two entries that see different members may both believe they are the steward; the fence and
//! the promises are there for that.

use crate::id;
use crate::rendezvous;

/// The steward of `engine` among `members`.
pub fn of<'a>(engine: &id::Target, members: &'a [id::Host]) -> Option<&'a id::Host> {
    let weight = |host: &id::Host| rendezvous::weight(engine.as_str(), host.as_str());
    members.iter().max_by(|a, b| weight(a).cmp(&weight(b)).then_with(|| b.cmp(a)))
}
