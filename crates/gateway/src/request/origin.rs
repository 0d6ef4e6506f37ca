//! Streams that callers take up again: at which engines they may go on.

use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::origin::{Constraint, Key};
use fireflyhoist_policy::route::Route;
use ntex::http::Response;

use crate::platform::{RequestInfo, Resumed};
use crate::request::{Worker, refuse};

/// When to come back if the version of a stream is not known: links that are missing are opened by
/// then, and other entries may know it.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);

/// Where a stream may go on.
#[derive(Debug, Default)]
pub(super) struct Resumption {
    pub(super) constraint: Constraint,
    /// The service that began it, if the stream is pinned.
    pub(super) service: Option<id::Service>,
}

/// Returns where a request may run, or its refusal if it takes up a stream of unknown version.
pub(super) async fn resolve(
    worker: &Worker,
    facts: &RequestInfo,
    route: &Route,
    workspace: Option<&id::Workspace>,
) -> Result<Resumption, Response> {
    let takes_up = facts.last_event.is_some() || facts.resumed != Resumed::None;
    if !route.kind.is_stream() || !takes_up {
        return Ok(Resumption::default());
    }
    let origin = match &facts.resumed {
        Resumed::Attempt(first) if *first != facts.request => {
            worker.fleet.find_origin(Key::of(workspace, first), workspace).await
        }
        Resumed::Attempt(_) | Resumed::Invalid => {
            return Err(refuse::bad_resumption(&facts.request));
        }
        Resumed::None => None,
    };
    let software = origin.as_ref().map_or("unknown".to_owned(), |at| at.software.to_string());
    log::info!(
        request = facts.request.as_str(), after = facts.last_event.unwrap_or(0),
        resumed:? = facts.resumed, software = software.as_str(); "stream taken up"
    );
    match origin {
        Some(origin) if route.parts.iter().any(|part| part.service == origin.service) => {
            let (constraint, service) =
                (Constraint::Version(origin.software), Some(origin.service));
            Ok(Resumption { constraint, service })
        }
        // The operators have moved the route away from the engines that could go on.
        Some(_) => Err(refuse::unknown_origin(&facts.request, UNKNOWN_RETRY)),
        None if is_unversioned(worker, route) => Ok(Resumption::default()),
        None => Err(refuse::unknown_origin(&facts.request, UNKNOWN_RETRY)),
    }
}

/// Returns whether the targets of a route have no versions.
fn is_unversioned(worker: &Worker, route: &Route) -> bool {
    route.parts.iter().all(|part| worker.process.is_unversioned(&part.service))
}
