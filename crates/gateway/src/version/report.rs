//! Asking engines themselves whether they leave, while nobody hears it from the registry.
//!
//! **Failure:** engines are taken back while the registry is away. Their notice lies nowhere that can
//! be read, so every answer on them is cut two seconds later: on days of the users' deployments with
//! a registry that is away for eight seconds that was a seventh of all long answers every 3.3 s.
//! **Guard:** an engine knows that it leaves. It is asked for as long as neither this entry nor any
//! that it has a link to hears of targets, only where answers of this entry run, and only where
//! other engines have room for them.
//! `docs/PLATFORM.md` has what it costs.

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::lease::Target;
use ntex::http::HeaderMap;
use ntex::time::sleep;
use ntex::util::Bytes;

use crate::connection::exchange::{self, Outgoing};
use crate::platform::Platform;
use crate::process::fleet::Fleet;
use crate::process::state::Process;

/// Time between two questions to one engine: a quarter of the shortest notice in use, of which an
/// answer needs 0.2 s to leave.
const PAUSE: Duration = Duration::from_millis(350);

/// How long an engine may take to answer: it needs no place among its requests for it.
const TIMEOUT: Duration = Duration::from_millis(300);

/// The largest report that is read; one with a hundred running requests takes some 5 KB.
const MAX_REPLY: usize = 256 << 10;

/// Begins to ask whenever it is needed.
pub(crate) fn spawn<P: Platform>(process: &Arc<Process>, fleet: &Arc<Fleet>) {
    let (process, fleet) = (Arc::clone(process), Arc::clone(fleet));
    ntex::rt::spawn(async move {
        loop {
            sleep(PAUSE).await;
            if fleet.are_targets_unwatched() {
                ask_all::<P>(&process, &fleet);
            }
        }
    })
    .detach();
}

/// Asks every engine on which answers of this entry run.
fn ask_all<P: Platform>(process: &Arc<Process>, fleet: &Arc<Fleet>) {
    let held = process.held().into_iter().filter(|held| held.streams > 0);
    let ready = held.filter(|held| process.is_target_ready(&held.target));
    let known = ready.filter_map(|held| process.target(&held.target));
    let has_refuge =
        |t: &Target| process.lane(&t.service).is_some_and(|lane| lane.has_spare_capacity());
    for target in known.filter(has_refuge) {
        let (process, fleet) = (Arc::clone(process), Arc::clone(fleet));
        ntex::rt::spawn(async move { ask::<P>(&process, &fleet, &target).await }).detach();
    }
}

async fn ask<P: Platform>(process: &Process, fleet: &Fleet, target: &Target) {
    let call = P::report();
    let (method, path, body) = (call.method, call.path, Bytes::from(call.body));
    let outgoing = Outgoing { method, path, headers: HeaderMap::new(), body };
    let (status, body) = match exchange::call(target.address, outgoing, TIMEOUT, MAX_REPLY).await {
        Ok(replied) => replied,
        Err(error) => {
            ::log::info!(target:% = target.id, error:% = error; "no report");
            return;
        }
    };
    if !P::leaves(status, &body) {
        return;
    }
    let since = process.targets_position();
    if let Some(change) = process.target_leaves(&target.id) {
        fleet.announce_changes(since, vec![change]);
    }
}
