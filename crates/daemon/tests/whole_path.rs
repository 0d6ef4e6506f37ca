//! The request path from end to end, with every component in a process of its own.

use fireflyhoist_harness::{
    client, entry, host_list, read_answer, standin, until_listed, until_ready,
};
use fireflyhoist_standin::script::Script;
use ntex::util::Bytes;

/// A caller reads the entry list, sends a completion to the first entry and must receive every line
/// once and in order; a plain call then goes through the other entry. Guards against components
/// that work alone but not together: the platform, two engines, the plain service and both daemons
/// are separate processes.
#[ntex::test]
async fn a_completion_and_a_plain_call_work_end_to_end() {
    let (_platform, platform) = standin("platform", &[]);
    let (_one, engine_one) = standin("engine", &[]);
    let (_two, engine_two) = standin("engine", &[]);
    let (_search, search) = standin("plain", &[]);
    let a = entry("brno-1", "hala-a", platform);
    let b = entry("brno-2", "hala-b", platform);
    let text = format!(
        r#"
        revision = 1
        [[service]]
        name = "transcribe"
        target = [
            {{ name = "t1", host = "m1", address = "{engine_one}" }},
            {{ name = "t2", host = "m2", address = "{engine_two}" }},
        ]
        [[service]]
        name = "search"
        kind = "plain"
        class = "lookup"
        depends_on = ["transcribe"]
        target = [{{ name = "s1", host = "w1", address = "{search}" }}]
        "#
    );
    let client = client().await;
    let put = |path: &str, body: String, kind: &'static str| {
        client.put(format!("http://{platform}{path}")).content_type(kind).send_body(body)
    };
    put("/operator/hosts", host_list(&[&a, &b]), "application/json").await.expect("hosts");
    put("/operator/text", text, "text/plain").await.expect("text");
    until_ready(&client, a.http).await;
    until_ready(&client, b.http).await;

    let entries = until_listed(&client, a.http, &["brno-1", "brno-2"]).await;

    let prompt = "transcribe the manifest of the Hansa lines=60";
    let first = entries.entries[0].address;
    let body = serde_json::json!({"model": "transcribe", "prompt": prompt, "stream": true});
    let response =
        client.post(format!("http://{first}/v1/completions")).send_json(&body).await.expect("sent");
    assert_eq!(response.status(), 200);
    let (texts, done) = read_answer(response).await;
    let script = Script::of(prompt, fireflyhoist_policy::id::Generation::new(0), u64::MAX);
    assert!(done, "the end mark arrived");
    assert_eq!(texts.concat(), script.text());

    let second = entries.entries[1].address;
    let url = format!("http://{second}/s/search/villages?q=lhotka");
    let response = client.get(url).send().await.expect("sent");
    let body: Bytes = response.body().await.expect("body");
    assert_eq!(&body[..], b"GET /villages?q=lhotka\n");
}
