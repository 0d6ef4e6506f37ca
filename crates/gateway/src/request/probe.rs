//! Endpoints for readiness and metrics.

use ntex::http::{Request, Response};

use crate::platform::Platform;
use crate::process::metrics::GaugeValues;
use crate::process::state::Process;

/// Responds 200 if callers should use this entry, and 503 if not.
pub(crate) fn readiness<P: Platform>(process: &Process, request: &Request) -> Response {
    if request.path() != P::READINESS {
        return Response::NotFound().finish();
    }
    match process.is_ready() {
        true => Response::Ok().finish(),
        false => Response::ServiceUnavailable().finish(),
    }
}

/// Responds with the metrics of this process in the Prometheus text format.
pub(crate) fn metrics(process: &Process) -> Response {
    let page = process.metrics.page(|| GaugeValues {
        open: process.open_requests(),
        isolated: process.is_isolated(),
        revision: process.revision(),
        era: process.era(),
        held: process.suspects() + process.suspect_features(),
        limited: process.limited_targets(),
        cordoned: process.cordoned_domains(),
        cold: process.cold_targets(),
        left_out: process.exclusions().len(),
        at_risk: process.targets_at_risk(),
        heavy: process.heavy_workspaces(),
        payload: process.memory.used(),
    });
    Response::Ok().content_type("text/plain; version=0.0.4").body(page)
}
