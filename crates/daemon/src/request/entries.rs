//! `GET /v1/entries`: which addresses a caller should use.

use fireflyhoist_policy::rendezvous;
use fireflyhoist_wire::caller::{Entries, Entry};
use fireflyhoist_wire::platform::{Host, State};
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::process::{Process, Worker};
use crate::request::refuse;

/// How long a caller may keep the list.
const TTL_MS: u64 = 5_000;

pub(crate) async fn get(worker: web::types::State<Worker>, request: HttpRequest) -> HttpResponse {
    match crate::request::workspace(&request) {
        Ok(workspace) => HttpResponse::Ok().json(&list(&worker.process, workspace.as_str())),
        Err(error) => refuse::bad_request("bad-workspace", &error.to_string()),
    }
}

/// Live entry hosts, ranked for one workspace.
///
/// Ranking by hash makes one workspace's requests meet in few queues, where they can be ordered
/// fairly, and keeps them there when other hosts come and go.
pub(crate) fn list(process: &Process, workspace: &str) -> Entries {
    let hosts = process.hosts();
    let own = &process.settings.host;
    let usable =
        |host: &&Host| host.state == State::Live && !(host.name == *own && process.is_leaving());
    let live: Vec<&Host> = hosts.hosts.iter().filter(usable).collect();
    let entries = rendezvous::rank(workspace, &live, |host| host.name.as_str())
        .into_iter()
        .filter_map(|host| {
            let address = host.entry?.http;
            Some(Entry { host: host.name.clone(), domain: host.domain.clone(), address })
        })
        .collect();
    Entries { ttl_ms: TTL_MS, entries }
}
