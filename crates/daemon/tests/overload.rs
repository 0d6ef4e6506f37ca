//! Overload and a slow engine over HTTP, as seen by callers.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fireflyhoist_harness::{Entry, client, entry, host_list, read_answer, until_ready};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::batch::Shape;
use fireflyhoist_standin::engine::{Engine, Pace};
use fireflyhoist_standin::platform::Platform;
use fireflyhoist_standin::script::Script;
use fireflyhoist_wire::caller::Completion;
use fireflyhoist_wire::problem::{Problem, Ran};
use futures_util::future::join_all;
use ntex::client::{Client, ClientResponse};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn ask(client: &Client, entry: SocketAddr, prompt: &str) -> ClientResponse {
    let body = Completion {
        model: "rosters".into(),
        prompt: prompt.into(),
        max_tokens: Some(64),
        stream: true,
    };
    let url = format!("http://{entry}/v1/completions");
    client.post(url).send_json(&body).await.expect("an answer")
}

/// Publishes a service of class `live` with these engines and waits until the entry is ready.
async fn publish(platform: &Platform, entry: &Entry, patience_ms: u64, engines: &[SocketAddr]) {
    platform.set_hosts(serde_json::from_str(&host_list(&[entry])).expect("a host list"));
    let target = |(index, address): (usize, &SocketAddr)| {
        format!("{{ name = \"t{index}\", host = \"m{index}\", address = \"{address}\" }},")
    };
    let targets: String = engines.iter().enumerate().map(target).collect();
    platform.publish(&format!(
        "revision = 1\n[[service]]\nname = \"rosters\"\nclass = \"live\"\n\
         patience_ms = {patience_ms}\ntarget = [{targets}]\n"
    ));
    until_ready(&client().await, entry.http).await;
}

/// Sixty requests arrive at once, many times what one engine can hold. Some of them queue. Each
/// served request must get a complete answer; each refused one must get a retry-after time and must
/// never have reached the engine.
#[ntex::test]
async fn overload_cuts_no_answer_and_refusals_reach_no_engine() {
    let (running, platform) = Platform::bind(ANY).expect("the platform listens");
    let shape = Shape { memory: 400, ..Shape::default() };
    let (engine_running, engine) = Engine::bind_batching(ANY, shape).expect("an engine listens");
    let daemon = entry("overload-1", "sal-a", running.address());
    publish(&platform, &daemon, 1_000, &[engine_running.address()]).await;

    let client = client().await;
    let calls = (0..60).map(|number| {
        let client = client.clone();
        let address = daemon.http;
        async move {
            let prompt = format!("roster {number} tokens=40");
            let response = ask(&client, address, &prompt).await;
            if response.status().is_success() {
                let (texts, done) = read_answer(response).await;
                assert!(done, "the end mark of {prompt} arrived");
                let script = Script::of(&prompt, Generation::new(0), u64::MAX);
                assert_eq!(texts.concat(), script.text());
                return true;
            }
            assert_eq!(response.status().as_u16(), 503);
            let after = response.headers().get("retry-after").expect("a retry-after header");
            assert!(after.to_str().expect("text").parse::<u64>().expect("seconds") >= 1);
            let problem: Problem = response.json().await.expect("problem details");
            assert_eq!(problem.ran, Ran::No);
            false
        }
    });
    let served = join_all(calls).await.into_iter().filter(|whole| *whole).count();
    assert!((1..60).contains(&served), "{served} of 60 were served");
    assert_eq!(engine.started(), served, "a refused request reaches no engine");
}

/// One of two engines takes 100 ms for each token. Every answer must still arrive complete, and the
/// faster engine must serve more of the requests.
#[ntex::test]
async fn a_slow_engine_receives_fewer_requests_and_cuts_none() {
    let (running, platform) = Platform::bind(ANY).expect("the platform listens");
    let slow = Pace { between: Duration::from_millis(100), ..Pace::default() };
    let (slow_running, slow) = Engine::bind(ANY, slow).expect("an engine listens");
    let (fast_running, fast) = Engine::bind(ANY, Pace::default()).expect("an engine listens");
    let daemon = entry("overload-2", "sal-a", running.address());
    let engines = [slow_running.address(), fast_running.address()];
    publish(&platform, &daemon, 30_000, &engines).await;

    let client = client().await;
    let callers = (0..4).map(|caller| {
        let client = client.clone();
        let address = daemon.http;
        async move {
            for number in 0..6 {
                let prompt = format!("roster {caller} {number} tokens=10");
                let response = ask(&client, address, &prompt).await;
                assert_eq!(response.status().as_u16(), 200);
                let (texts, done) = read_answer(response).await;
                let script = Script::of(&prompt, Generation::new(0), u64::MAX);
                assert!(done && texts.concat() == script.text(), "{prompt} arrived whole");
            }
        }
    });
    join_all(callers).await;
    let (slow, fast) = (slow.started(), fast.started());
    assert_eq!(slow + fast, 24, "each request ran once");
    assert!(fast > slow, "{fast} requests at the fast engine, {slow} at the slow one");
}
