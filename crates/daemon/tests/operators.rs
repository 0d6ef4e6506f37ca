//! What operators read from a daemon: status, SLO burn rates and metrics.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_harness::{client, entry, host_list, read_answer, standin, until_ready};
use fireflyhoist_policy::burn::Measure;
use fireflyhoist_wire::caller::REQUEST_HEADER;
use fireflyhoist_wire::status::{Burn, Status};
use ntex::client::Client;

async fn put(client: &Client, url: String, body: String, kind: &'static str) {
    client.put(url).content_type(kind).send_body(body).await.expect("published");
}

async fn page(client: &Client, address: SocketAddr, path: &str) -> String {
    let response = client.get(format!("http://{address}{path}")).send().await.expect("sent");
    assert_eq!(response.status(), 200, "{path}");
    String::from_utf8(response.body().await.expect("body").to_vec()).expect("text")
}

async fn status(client: &Client, address: SocketAddr) -> Status {
    serde_json::from_str(&page(client, address, "/v1/status").await).expect("a status")
}

/// Polls the status until it satisfies a condition, and returns it; panics after 1,000 polls.
async fn until(
    client: &Client,
    address: SocketAddr,
    condition: impl Fn(&Status) -> bool,
) -> Status {
    for _ in 0..1_000 {
        let status = status(client, address).await;
        if condition(&status) {
            return status;
        }
        ntex::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the status is still {:?}", status(client, address).await);
}

/// Adds hosts to a host list, each of which runs the one target of `scan`.
fn list_with(list: &str, engine: SocketAddr, hosts: &[(&str, &str)]) -> String {
    let mut list: serde_json::Value = serde_json::from_str(list).expect("a list");
    let serving = serde_json::json!({"service": "scan", "target": "t1", "address": engine});
    for (name, state) in hosts {
        let host = serde_json::json!({
            "name": name, "domain": "hala-a", "state": state, "serves": [serving],
        });
        list["hosts"].as_array_mut().expect("hosts").push(host);
    }
    list.to_string()
}

/// Guards against status, burn rates or metrics that miss what a daemon does. An operator publishes
/// a text whose targets come from the host list, an answer is served, an invalid text is published,
/// and the engine's host is marked as leaving and then replaced. Each step must be reported, and
/// the valid text must stay in force throughout.
#[ntex::test]
async fn status_burn_and_metrics_report_each_change() {
    let (_platform, platform) = standin("platform", &[]);
    let (_engine, engine) = standin("engine", &[]);
    let host = entry("brno-1", "hala-a", platform);
    let client = client().await;
    let text = "revision = 3\n[[service]]\nname = \"scan\"\ntargets_from = \"hosts\"\n";
    let publish = |path: &str| format!("http://{platform}/operator/{path}");
    let list = host_list(&[&host]);
    put(&client, publish("hosts"), list.clone(), "application/json").await;
    put(&client, publish("text"), text.into(), "text/plain").await;
    until_ready(&client, host.http).await;
    put(&client, publish("hosts"), list_with(&list, engine, &[("m1", "live")]), "application/json")
        .await;
    let seen = until(&client, host.http, |s| s.targets.len() == 1).await;
    assert_eq!(seen.in_force.as_ref().expect("in force").revision, 3);
    assert_eq!((seen.members.len(), seen.targets[0].unused.clone()), (1, None));

    let body = serde_json::json!({"model": "scan", "prompt": "tokens=300", "stream": true});
    let url = format!("http://{}/v1/completions", host.http);
    let response = client.post(url).send_json(&body).await.expect("sent");
    let request = response.headers().get(REQUEST_HEADER).expect("a request id").clone();
    assert_eq!(read_answer(response).await.0.len(), 300);
    let logged = host.process.value("request");
    assert_eq!(logged, request.to_str().expect("an id"), "the log names the request");
    until(&client, host.http, |s| s.open == 0).await;
    let burn: Burn =
        serde_json::from_str(&page(&client, host.http, "/v1/burn").await).expect("burn");
    let gaps = burn.services[0].readings.iter().find(|r| r.measure == Measure::BetweenTokens);
    assert_eq!(gaps.expect("read").windows[0].total, 299);
    let metrics = page(&client, host.http, "/metrics").await;
    let counted = "fireflyhoist_slo_events_total{measure=\"between_tokens\",service=\"scan\"} 299";
    assert!(metrics.contains(counted), "{metrics}");
    assert!(metrics.contains("fireflyhoist_revision 3"), "{metrics}");
    assert!(metrics.contains("fireflyhoist_first_token_seconds_count{service=\"scan\"} 1"));

    let invalid = text.replace("revision = 3", "revision = 4").replace("hosts", "host");
    put(&client, publish("text"), invalid, "text/plain").await;
    let seen = until(&client, host.http, |s| s.refused.is_some()).await;
    assert!(seen.refused.expect("a reason").contains("line 4: `\"host\"` is no choice here"));
    assert_eq!(seen.in_force.expect("in force").revision, 3);

    put(
        &client,
        publish("hosts"),
        list_with(&list, engine, &[("m1", "leaving")]),
        "application/json",
    )
    .await;
    let seen = until(&client, host.http, |s| s.targets[0].unused.is_some()).await;
    assert_eq!(seen.targets[0].unused.as_deref(), Some("its host is leaving"));

    let replaced = list_with(&list, engine, &[("m1", "leaving"), ("m2", "live")]);
    put(&client, publish("hosts"), replaced, "application/json").await;
    let seen = until(&client, host.http, |s| s.targets[0].host.as_str() == "m2").await;
    assert_eq!((seen.targets.len(), seen.targets[0].unused.clone()), (1, None));
}

/// Nothing listens at the address of one of two engines. Calls to it fail at once, so it always
/// looks idle; after a few failures it is ejected for a while, and the status must name it and the
/// reason.
#[ntex::test]
async fn status_names_an_ejected_target_and_the_reason() {
    let (_platform, platform) = standin("platform", &[]);
    let (_engine, engine) = standin("engine", &[]);
    let closed = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    let host = entry("e-brno-1", "hala-a", platform);
    let client = client().await;
    let text = format!(
        "revision = 1\n[[service]]\nname = \"scan\"\ntarget = [\n\
         {{ name = \"dead\", host = \"m1\", address = \"{closed}\" }},\n\
         {{ name = \"good\", host = \"m2\", address = \"{engine}\" }},\n]\n"
    );
    let publish = |path: &str| format!("http://{platform}/operator/{path}");
    put(&client, publish("hosts"), host_list(&[&host]), "application/json").await;
    put(&client, publish("text"), text, "text/plain").await;
    until_ready(&client, host.http).await;
    let mut seen = status(&client, host.http).await;
    // After each failure the target is in backoff for a second; three in a row eject it.
    for _ in 0..400 {
        if seen.targets[0].unused.is_some() {
            break;
        }
        let body = serde_json::json!({"model": "scan", "prompt": "tokens=2", "stream": true});
        let url = format!("http://{}/v1/completions", host.http);
        let response = client.post(url).send_json(&body).await.expect("sent");
        assert_eq!(read_answer(response).await.0.len(), 2);
        ntex::time::sleep(Duration::from_millis(20)).await;
        seen = status(&client, host.http).await;
    }
    let reason = seen.targets[0].unused.clone().expect("a reason");
    assert!(reason.starts_with("its calls fail; tried again in"), "{reason}");
    assert_eq!(seen.targets[1].unused, None);
}
