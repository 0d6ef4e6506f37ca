//! Which targets a status names as out of use by this host's own measurements.

use fireflyhoist_wire::status::Status;

use crate::process::Process;

/// Gives the reason for each target that is ejected here, unless one is known already.
pub(crate) fn mark(process: &Process, status: &mut Status) {
    for target in status.targets.iter_mut().filter(|target| target.unused.is_none()) {
        let lane = process.gate(&target.service);
        target.unused = lane.and_then(|lane| lane.ejection(&target.name));
    }
}
