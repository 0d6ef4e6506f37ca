//! Adds this host's outlier ejections to a status.

use fireflyhoist_wire::status::Status;

use crate::process::Process;

/// Sets the reason for each target that this host has ejected, unless one is set already.
pub(crate) fn mark(process: &Process, status: &mut Status) {
    for target in status.targets.iter_mut().filter(|target| target.unused.is_none()) {
        let gate = process.gate(&target.service);
        target.unused = gate.and_then(|gate| gate.ejection(&target.name));
    }
}
