//! Limits of a workspace hold across all entries, as seen by callers.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fireflyhoist_harness::{client, entry, host_list, until_ready};
use fireflyhoist_standin::engine::{Engine, Pace};
use fireflyhoist_standin::platform::Platform;
use fireflyhoist_wire::caller::{Completion, WORKSPACE_HEADER};
use fireflyhoist_wire::problem::{Problem, Ran};
use ntex::client::{Client, ClientResponse};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn ask(client: &Client, entry: SocketAddr, workspace: &str) -> ClientResponse {
    let body = Completion {
        model: "transcribe".into(),
        prompt: "page tokens=100000".into(),
        max_tokens: None,
        stream: true,
    };
    let request = client.post(format!("http://{entry}/v1/completions"));
    request.header(WORKSPACE_HEADER, workspace).send_json(&body).await.expect("an answer")
}

/// One workspace opens streams through both entries as fast as it can, ten at each. If each entry
/// enforced the limit alone, the workspace would get twice its limit and delay other workspaces.
#[ntex::test]
async fn two_entries_do_not_double_the_stream_limit() {
    let (running, platform) = Platform::bind(ANY).expect("the platform listens");
    let pace = Pace { between: Duration::from_millis(20), ..Pace::default() };
    let (engine_running, engine) = Engine::bind(ANY, pace).expect("an engine listens");
    let one = entry("limit-1", "hala-a", running.address());
    let two = entry("limit-2", "hala-b", running.address());
    platform.set_hosts(serde_json::from_str(&host_list(&[&one, &two])).expect("a host list"));
    platform.publish(&format!(
        "revision = 1\n\
         [[workspace]]\nname = \"archive\"\nmax_streams = 4\n\
         [[workspace]]\nname = \"members\"\n\
         [[service]]\nname = \"transcribe\"\n\
         target = [{{ name = \"t1\", host = \"m1\", address = \"{}\" }}]\n",
        engine_running.address()
    ));
    let client = client().await;
    until_ready(&client, one.http).await;
    until_ready(&client, two.http).await;
    let mut open = Vec::new();
    let mut refused = Vec::new();
    for _ in 0..10 {
        for address in [one.http, two.http] {
            let response = ask(&client, address, "archive").await;
            match response.status().is_success() {
                true => open.push(response),
                false => refused.push(response),
            }
        }
    }
    assert_eq!(open.len(), 4);
    assert_eq!(engine.started(), 4, "a refused request reaches no target");
    for response in refused {
        assert_eq!(response.status().as_u16(), 429);
        let after = response.headers().get("retry-after").expect("a retry-after header");
        assert!(after.to_str().expect("text").parse::<u64>().expect("seconds") >= 1);
        let problem: Problem = response.json().await.expect("problem details");
        assert_eq!(problem.ran, Ran::No);
    }
    assert!(
        ask(&client, one.http, "members").await.status().is_success(),
        "other workspaces are served"
    );
}
