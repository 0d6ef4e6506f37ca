//! Mixed traffic through three daemons: two streamed answers beside a thousand plain calls.

use std::net::SocketAddr;

use fireflyhoist_harness::{client, entry, host_list, read_answer, standin, until_ready};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::script::Script;
use futures_util::future::join_all;
use ntex::client::Client;

const LOOKUPS: usize = 1_000;

/// Lookups in flight at once, far below any limit.
const IN_FLIGHT: usize = 25;

async fn generate(client: &Client, entry: SocketAddr, service: &str, prompt: &str) {
    let body = serde_json::json!({"model": service, "prompt": prompt, "stream": true});
    let url = format!("http://{entry}/v1/completions");
    let response = client.post(url).send_json(&body).await.expect("sent");
    assert_eq!(response.status(), 200);
    let (texts, done) = read_answer(response).await;
    assert!(done, "the end mark arrived");
    let script = Script::of(prompt, Generation::new(0), u64::MAX);
    assert_eq!(texts.concat(), script.text(), "every byte of {service}'s answer");
}

async fn look_up(client: &Client, entry: SocketAddr, number: usize) {
    let url = format!("http://{entry}/s/search/people?n={number}");
    let body = format!("passenger {number}");
    let response = client.post(url).send_body(body.clone()).await.expect("sent");
    assert_eq!(response.status(), 200);
    let received = response.body().await.expect("body");
    assert_eq!(received, format!("POST /people?n={number}\n{body}").as_bytes());
}

async fn look_up_all(client: &Client, entries: &[SocketAddr]) {
    let numbers: Vec<usize> = (0..LOOKUPS).collect();
    for batch in numbers.chunks(IN_FLIGHT) {
        join_all(batch.iter().map(|n| look_up(client, entries[n % entries.len()], *n))).await;
    }
}

/// Guards against mixed-up or corrupted answers under mixed traffic. A 60-line answer with `whole`
/// delivery, a live answer of 20 lines and a thousand plain lookups go through three daemons at
/// once, and every byte of every answer is compared.
#[ntex::test]
async fn mixed_traffic_through_three_daemons_corrupts_no_answer() {
    let (_platform, platform) = standin("platform", &[]);
    let (_engines, engines): (Vec<_>, Vec<SocketAddr>) =
        (0..3).map(|_| standin("engine", &[])).unzip();
    let (_search, search) = standin("plain", &[]);
    let daemons = [
        entry("brno-1", "hala-a", platform),
        entry("brno-2", "hala-b", platform),
        entry("brno-3", "hala-c", platform),
    ];
    let text = format!(
        r#"
        revision = 1
        [[model]]
        name = "scribe"
        version = "1"
        [[service]]
        name = "transcribe"
        model = "scribe"
        class = "overnight"
        delivery = "whole"
        target = [
            {{ name = "t1", host = "m1", address = "{}" }},
            {{ name = "t2", host = "m2", address = "{}" }},
        ]
        [[service]]
        name = "roster"
        model = "scribe"
        target = [{{ name = "r1", host = "m3", address = "{}" }}]
        [[service]]
        name = "search"
        kind = "plain"
        class = "lookup"
        target = [{{ name = "s1", host = "w1", address = "{search}" }}]
        "#,
        engines[0], engines[1], engines[2],
    );
    let client = client().await;
    let put = |path: &str, body: String, kind: &'static str| {
        client.put(format!("http://{platform}{path}")).content_type(kind).send_body(body)
    };
    let hosts = host_list(&daemons.iter().collect::<Vec<_>>());
    put("/operator/hosts", hosts, "application/json").await.expect("hosts");
    put("/operator/text", text, "text/plain").await.expect("text");
    let entries: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.http).collect();
    for entry in &entries {
        until_ready(&client, *entry).await;
    }

    let page = generate(&client, entries[0], "transcribe", "manifest of the Hansa lines=60");
    let roster = generate(&client, entries[1], "roster", "roster of 20 sites lines=20");
    futures_util::join!(page, roster, look_up_all(&client, &entries));
}
