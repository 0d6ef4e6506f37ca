//! `GET /v1/entries`: the entry addresses that a caller should use, in order of preference.

use fireflyhoist_policy::member::Record;
use fireflyhoist_policy::rendezvous;
use fireflyhoist_wire::caller::{Entries, Entry};
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::process::{Process, Worker};
use crate::request::refuse;

/// How long a caller may cache the list, in milliseconds.
const TTL_MS: u64 = 5_000;

pub(crate) async fn get(worker: web::types::State<Worker>, request: HttpRequest) -> HttpResponse {
    match crate::request::workspace(&request) {
        Ok(workspace) => HttpResponse::Ok().json(&list(&worker.process, workspace.as_str())),
        Err(error) => refuse::bad_request("bad-workspace", &error.to_string()),
    }
}

/// Returns the members that are ready and that no source reports as leaving, ranked for one
/// workspace.
///
/// Rendezvous hashing concentrates the requests of a workspace in few queues, where they can be
/// ordered fairly, and keeps them there when other hosts join or leave.
pub(crate) fn list(process: &Process, workspace: &str) -> Entries {
    let own = &process.settings.host;
    let mut members = process.control.usable();
    members.retain(|member| member.host != *own || !process.is_leaving());
    let ranked = rendezvous::rank(workspace, &members, |member| member.host.as_str());
    let spread = rendezvous::spread(ranked, |member| member.domain.as_str());
    let entry = |member: &Record| Entry {
        host: member.host.clone(),
        domain: member.domain.clone(),
        address: member.http,
    };
    Entries { ttl_ms: TTL_MS, entries: spread.into_iter().map(entry).collect() }
}
