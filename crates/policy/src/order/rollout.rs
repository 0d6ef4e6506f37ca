//! Limits how many of a service's engines load at once.
//!
//! A version may change the model of all engines of a service that other services call. If all were
//! ordered at once, neither the service nor its dependents would answer until the first engine had
//! loaded, which takes minutes.
//!
//! A quarter of a service's engines, at least one, may be unavailable at once; the rest then carry
//! a third more load. Owners need not coordinate: all read the same engines, and only the first by
//! rank of those that still serve an outdated setup are eligible. An engine that cannot be read
//! counts as unavailable, which keeps the limit even when owners can read different engines; it
//! uses up a part of the limit until the host list drops it. A service with one engine cannot be
//! rolled out gradually: its engine is ordered, and dependents wait.

use crate::id;
use crate::rendezvous;

/// The divisor of a service's engine count that gives how many may be unavailable at once.
pub const UNAVAILABLE_DIVISOR: usize = 4;

/// The state that was read from one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It holds the desired setup.
    UpToDate,
    /// It holds nothing and serves nothing, so loading it removes no capacity.
    Empty,
    /// It serves another setup than the desired one.
    Outdated,
    /// It is loading the desired setup.
    Loading,
    /// It is loading another setup; ordering it removes no further capacity.
    LoadingOther,
    /// It does not answer.
    Unreachable,
}

/// Returns the engines of one service that may be ordered now.
pub fn eligible<'a>(
    service: &id::Service,
    engines: &'a [(id::Target, Status)],
) -> Vec<&'a id::Target> {
    let allowed = (engines.len() / UNAVAILABLE_DIVISOR).max(1);
    let is_unavailable = |status: &Status| {
        matches!(status, Status::Loading | Status::LoadingOther | Status::Unreachable)
    };
    let unavailable = engines.iter().filter(|(_, status)| is_unavailable(status)).count();
    let ranked = rendezvous::rank(service.as_str(), engines, |(target, _)| target.as_str());
    let of = |sought: Status| {
        ranked.iter().filter(move |(_, status)| *status == sought).map(|(target, _)| target)
    };
    let outdated = of(Status::Outdated).take(allowed.saturating_sub(unavailable));
    of(Status::Empty).chain(of(Status::LoadingOther)).chain(outdated).collect()
}
