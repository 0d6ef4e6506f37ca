//! Polls engines for whether they drain while the registry is unavailable.
//!
//! If engines are reclaimed during an outage of the registry, their drain notice cannot be read
//! there, and every answer on them is cut two seconds later. In an outage of eight seconds that was
//! a seventh of all long answers every 3.3 s. An engine itself knows that it drains. It is polled
//! only while neither this entry nor any entry linked to it watches targets, only where answers of
//! this entry run, and only where other engines have room for these answers.

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::lease::Target;
use tokio::time::sleep;

use crate::platform::Platform;
use crate::process::fleet::Fleet;
use crate::process::state::Process;

/// Time between two polls of an engine: a quarter of the shortest notice in use, of which an answer
/// needs 0.2 s to move.
const POLL_INTERVAL: Duration = Duration::from_millis(350);

/// Timeout of a report call. An engine answers it without a place among its requests.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest report that is read, in bytes; one with a hundred running requests takes some 5 KB.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Starts the task that polls engines while no entry watches targets.
pub(crate) fn spawn<P: Platform>(process: &Arc<Process>, fleet: &Arc<Fleet>) {
    let (process, fleet) = (Arc::clone(process), Arc::clone(fleet));
    ntex::rt::spawn(async move {
        loop {
            // An entry without requests has no answers to lose.
            process.busy().await;
            sleep(POLL_INTERVAL).await;
            if fleet.are_targets_unwatched() {
                poll_all::<P>(&process, &fleet);
            }
        }
    })
    .detach();
}

/// Polls every engine on which answers of this entry run and whose answers have room elsewhere.
fn poll_all<P: Platform>(process: &Arc<Process>, fleet: &Arc<Fleet>) {
    let used = process.own_usage().into_iter().filter(|usage| usage.streams > 0);
    let ready = used.filter(|usage| process.is_target_ready(&usage.target));
    let known = ready.filter_map(|usage| process.target(&usage.target));
    let has_spare_capacity =
        |t: &Target| process.gate(&t.service).is_some_and(|gate| gate.has_spare_capacity());
    for target in known.filter(has_spare_capacity) {
        let (process, fleet) = (Arc::clone(process), Arc::clone(fleet));
        ntex::rt::spawn(async move { poll::<P>(&process, &fleet, &target).await }).detach();
    }
}

async fn poll<P: Platform>(process: &Process, fleet: &Fleet, target: &Target) {
    let call = P::report().into();
    let reply = match process.call(target, call, REPORT_TIMEOUT, MAX_REPORT_BYTES).await {
        Ok(reply) => reply,
        Err(error) => {
            ::log::info!(target:% = target.id, error:% = error; "no report");
            return;
        }
    };
    let is_leaving = P::reply(reply.status, &reply.headers).leaving;
    if is_leaving || P::is_draining(reply.status, &reply.body) {
        fleet.drain_target(target);
    }
}
