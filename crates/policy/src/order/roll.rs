//! How many of a service's engines may load at once.
//!
//! **Load pattern.** A version changes the model of all engines of a service that others call.
//!
//! **Without it.** All are ordered at once, and until the first has loaded, minutes later, neither
//! the service nor any that depends on it answers.
//!
//! **Figures.** A quarter of a service's engines, at least one, may be out at once; the rest carry
//! a third more. Stewards need not talk: all read the same engines, and only the first by rank of
//! those that still serve an old setup may go. An engine that cannot be read counts as out, which
//! keeps the rule safe when stewards read different engines; it holds a place until the host list
//! drops it. A service with one engine cannot be rolled: its engine goes, and dependents wait.

use crate::id;
use crate::rendezvous;

/// One part in this many of a service's engines may be out at once.
pub const OUT: usize = 4;

/// What was read from one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It holds what is wanted.
    Settled,
    /// It holds nothing and serves nobody: loading it takes nothing away.
    Empty,
    /// It serves another setup than the one wanted.
    Stale,
    /// It loads what is wanted.
    Loading,
    /// It loads something else; ordering it takes nothing more away.
    Diverted,
    /// It does not answer.
    Unreachable,
}

/// The engines of one service that may be ordered now.
pub fn eligible<'a>(
    service: &id::Service,
    engines: &'a [(id::Target, Status)],
) -> Vec<&'a id::Target> {
    let allowed = (engines.len() / OUT).max(1);
    let is_out = |status: &Status| {
        matches!(status, Status::Loading | Status::Diverted | Status::Unreachable)
    };
    let out = engines.iter().filter(|(_, status)| is_out(status)).count();
    let ranked = rendezvous::rank(service.as_str(), engines, |(target, _)| target.as_str());
    let of = |wanted: Status| {
        ranked.iter().filter(move |(_, status)| *status == wanted).map(|(target, _)| target)
    };
    let stale = of(Status::Stale).take(allowed.saturating_sub(out));
    of(Status::Empty).chain(of(Status::Diverted)).chain(stale).collect()
}
