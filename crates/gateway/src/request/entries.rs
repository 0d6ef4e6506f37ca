//! Which entries a caller should use.

use std::time::Duration;

use fireflyhoist_policy::topology::Member;
use fireflyhoist_wire::caller::Entry;
use ntex::http::{Request, Response};

use crate::platform::Platform;
use crate::process::fleet::Fleet;

/// For how long callers keep an answer. An entry that dies is out of answers within a second, and
/// callers stop trying it after as long again; shorter costs a call for every few requests.
pub(crate) const TTL: Duration = Duration::from_secs(1);

/// The most addresses in one answer.
const MOST: usize = 64;

/// Answers with the entries that take callers now.
pub(crate) fn answer<P: Platform>(fleet: &Fleet, request: &Request) -> Response {
    let query = request.uri().query().unwrap_or("");
    let Some(domain) = P::entries_query(request.path(), query) else {
        return Response::NotFound().finish();
    };
    let mut members = fleet.ready();
    members.sort_by_key(|member| member.domain.as_str() != domain.as_str());
    let entry = |member: Member| Entry {
        host: member.host,
        domain: member.domain,
        address: member.callers,
    };
    let entries: Vec<Entry> = members.into_iter().take(MOST).map(entry).collect();
    if entries.is_empty() {
        return Response::ServiceUnavailable().finish();
    }
    let body = P::encode_entries(&entries, TTL.min(fleet.entries_ttl()));
    Response::Ok().content_type("application/json").body(body)
}
