//! The list of entries that callers should use.

use std::time::Duration;

use fireflyhoist_policy::topology::Member;
use fireflyhoist_wire::caller::Entry;
use ntex::http::{Request, Response};

use crate::platform::Platform;
use crate::process::fleet::Fleet;

/// How long callers cache the list. An entry that crashes is left out of the list within a second,
/// and callers stop using it one TTL later. With a shorter TTL callers would fetch the list once
/// for every few requests.
pub(crate) const TTL: Duration = Duration::from_secs(1);

/// Maximum number of entries in a list.
const MAX_ENTRIES: usize = 64;

/// Responds with the entries that accept callers now, those in the caller's failure domain first.
pub(crate) fn answer<P: Platform>(fleet: &Fleet, request: &Request) -> Response {
    let query = request.uri().query().unwrap_or("");
    let Some(domain) = P::entries_query(request.path(), query) else {
        return Response::NotFound().finish();
    };
    let mut members = fleet.listed_members();
    members.sort_by_key(|member| member.domain.as_str() != domain.as_str());
    let entry = |member: Member| Entry {
        host: member.host,
        domain: member.domain,
        address: member.callers,
    };
    let entries: Vec<Entry> = members.into_iter().take(MAX_ENTRIES).map(entry).collect();
    if entries.is_empty() {
        return Response::ServiceUnavailable().finish();
    }
    let body = P::encode_entries(&entries, TTL.min(fleet.entries_ttl()));
    Response::Ok().content_type("application/json").body(body)
}
