//! Answers of an engine whose memory fills up during generations.

use std::net::SocketAddr;

use fireflyhoist_harness::{client, entry, host_list, read_answer, standin, until_ready};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::script::Script;
use futures_util::future::join_all;
use ntex::client::Client;

/// Streams whose peak memory adds up to several times the engine's memory.
const STREAMS: usize = 12;

async fn ask(client: &Client, entry: SocketAddr, number: usize) -> (String, Vec<String>, bool) {
    let prompt = format!("page {number} of the Hansa tokens=60");
    let body = serde_json::json!({"model": "transcribe", "prompt": prompt, "stream": true});
    let url = format!("http://{entry}/v1/completions");
    let response = client.post(url).send_json(&body).await.expect("sent");
    let (texts, done) = read_answer(response).await;
    (prompt, texts, done)
}

/// Twelve streams run at once on a single engine whose memory holds a quarter of them. The engine
/// preempts streams and recomputes them, so their tokens come late; every answer must still arrive
/// complete, each token once and in order.
#[ntex::test]
async fn preemption_on_a_full_engine_loses_or_repeats_no_token() {
    let (_platform, platform) = standin("platform", &[]);
    let (_engine, engine) = standin("batching", &["--memory", "300", "--step-us", "500"]);
    let daemon = entry("brno-1", "hala-a", platform);
    let text = format!(
        "revision = 1\n[[model]]\nname = \"scribe\"\nversion = \"1\"\nmemory = 300\n\
         [[service]]\nname = \"transcribe\"\nmodel = \"scribe\"\nclass = \"overnight\"\n\
         target = [{{ name = \"t1\", host = \"m1\", address = \"{engine}\" }}]\n"
    );
    let client = client().await;
    let put = |path: &str, body: String, kind: &'static str| {
        client.put(format!("http://{platform}{path}")).content_type(kind).send_body(body)
    };
    put("/operator/hosts", host_list(&[&daemon]), "application/json").await.expect("hosts");
    put("/operator/text", text, "text/plain").await.expect("text");
    until_ready(&client, daemon.http).await;

    let answers = join_all((0..STREAMS).map(|n| ask(&client, daemon.http, n))).await;
    for (prompt, texts, done) in answers {
        assert!(done, "the end mark of {prompt} arrived");
        let script = Script::of(&prompt, Generation::new(0), u64::MAX);
        assert_eq!(texts.concat(), script.text(), "every byte of {prompt}");
    }
}
