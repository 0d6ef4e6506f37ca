//! `/s/NAME/...`: calls to plain services.

use std::time::Duration;

use fireflyhoist_policy::gate::{Ask, Outcome};
use fireflyhoist_policy::id;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_text::{Kind, Service};
use fireflyhoist_wire::problem::Ran;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::process::Worker;
use crate::request::{entries, refuse};

pub(crate) async fn call(
    worker: web::types::State<Worker>,
    http: HttpRequest,
    path: web::types::Path<(String, String)>,
    body: Bytes,
) -> HttpResponse {
    let _open = worker.process.enter();
    let Some(snapshot) = worker.process.snapshot() else {
        return refuse::not_ready();
    };
    let workspace = match crate::request::auth::workspace(&snapshot.text, &http) {
        Ok(workspace) => workspace,
        Err(error) => return refuse::auth(&error),
    };
    if worker.process.is_leaving() {
        return refuse::leaving(entries::list(&worker.process, workspace.as_str()));
    }
    let service = path.0.parse().ok().and_then(|name| snapshot.text.service(&name));
    let Some(service) = service.filter(|s| s.kind == Kind::Plain) else {
        return refuse::not_found("no plain service has this name; see the operators' text");
    };
    forward(&worker, &http, workspace, service, &path.1, body).await
}

async fn forward(
    worker: &Worker,
    http: &HttpRequest,
    workspace: id::Workspace,
    service: &Service,
    path: &str,
    body: Bytes,
) -> HttpResponse {
    let Some(lane) = worker.process.lane(&service.name) else {
        return refuse::not_found("the service has just been removed; see the operators' text");
    };
    let watch = worker.process.burn().watch(service);
    let ask = Ask {
        request: id::Request::new(rand::random()),
        workspace,
        class: service.class,
        prompt: Tokens::default(),
        limit: Tokens::default(),
        prefix: 0,
        deadline: worker.process.clock.now() + Duration::from_millis(service.patience_ms),
        avoid: None,
    };
    let pass = match lane.admit(ask).await {
        Ok(pass) => pass,
        Err(refusal) => {
            watch.refused();
            return refuse::gate(refusal);
        }
    };
    let Some(target) = service.targets.iter().find(|t| t.name == *pass.target()) else {
        return refuse::target_failed(Ran::No);
    };
    let query = http.query_string();
    let mark = if query.is_empty() { "" } else { "?" };
    let url = format!("http://{}/{path}{mark}{query}", target.address);
    let sent = worker.client.request(http.method().clone(), url).send_body(body).await;
    let Ok(response) = sent else {
        pass.finish(Outcome::Failed);
        return refuse::target_failed(Ran::Unknown);
    };
    watch.answered();
    pass.finish(Outcome::Whole);
    HttpResponse::build(response.status()).streaming(response.take_payload())
}
