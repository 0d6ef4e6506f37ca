//! `latency`: what one daemon adds to a direct connection, measured in one run.
//!
//! Engines and the daemon are processes of their own on loopback. Engines stamp each token with
//! the time of writing; the difference on arrival is the token's delay, once over a direct
//! connection and once through the daemon, under the same load and one after the other.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use fireflyhoist_harness::Process;
use fireflyhoist_standin::script::micros_now;
use fireflyhoist_wire::sse;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use ntex::client::{Client, ClientResponse};
use ntex::util::stream_recv;
use serde_json::Value;

/// Engine processes, so that no engine is the bottleneck.
const ENGINES: usize = 3;

/// Tokens of memory of an engine: so much that no stream waits for room, since what is measured
/// is the daemon's own work and not its decisions.
const MEMORY: &str = "1000000000";

/// Threads that play callers.
const CALLERS: usize = 3;

/// Clock ticks a second of `/proc/PID/stat`, a constant of the Linux ABI.
const TICKS: f64 = 100.0;

/// Measures what a daemon adds to a direct connection.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Flags {
    /// Streams open at once.
    #[bpaf(argument("N"), fallback(500))]
    streams: usize,
    /// Tokens of each stream.
    #[bpaf(argument("N"), fallback(500))]
    tokens: u64,
    /// Microseconds between the tokens of a stream.
    #[bpaf(argument("US"), fallback(10_000))]
    between_us: u64,
    /// Streams opened in a second; an engine of the users' size begins about seven.
    #[bpaf(argument("N"), fallback(60))]
    opens: usize,
    /// Worker threads of the daemon.
    #[bpaf(argument("N"), fallback(1))]
    workers: usize,
}

/// What one way of connecting showed.
struct Sample {
    first: Histogram<u64>,
    delay: Histogram<u64>,
    gap: Histogram<u64>,
    whole: usize,
    elapsed: Duration,
}

impl Sample {
    fn open() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are in range");
        Self {
            first: histogram(),
            delay: histogram(),
            gap: histogram(),
            whole: 0,
            elapsed: Duration::ZERO,
        }
    }

    fn add(&mut self, other: &Self) {
        let _ = self.first.add(&other.first);
        let _ = self.delay.add(&other.delay);
        let _ = self.gap.add(&other.gap);
        self.whole += other.whole;
    }
}

/// How a caller asks for one stream.
#[derive(Clone, Copy)]
enum Way {
    Direct(SocketAddr),
    Through(SocketAddr),
}

async fn ask(client: &Client, way: Way, tokens: u64) -> Option<ClientResponse> {
    let prompt = format!("stamp tokens={tokens}");
    let (url, body) = match way {
        Way::Direct(engine) => {
            let generation = format!("{:032x}", rand::random::<u128>());
            let body = serde_json::json!({
                "generation": generation, "prompt": prompt, "max_tokens": tokens, "priority": 1,
            });
            (format!("http://{engine}/v1/streams"), body)
        }
        Way::Through(entry) => {
            let body = serde_json::json!({"model": "live", "prompt": prompt, "stream": true});
            (format!("http://{entry}/v1/completions"), body)
        }
    };
    let response = client.post(url).send_json(&body).await.ok()?;
    response.status().is_success().then_some(response)
}

/// The time of writing that an engine's event or an entry's event carries.
fn stamp(data: &str) -> Option<u64> {
    let value: Value = serde_json::from_str(data).ok()?;
    let text = value.get("text").or_else(|| value.pointer("/choices/0/text"))?;
    text.as_str()?.parse().ok()
}

async fn stream(client: &Client, way: Way, tokens: u64, sample: &mut Sample) {
    let begun = Instant::now();
    let Some(response) = ask(client, way, tokens).await else { return };
    let mut payload = response.take_payload();
    let mut decoder = sse::Decoder::open(1 << 20);
    let mut last: Option<Instant> = None;
    let mut seen = 0;
    while let Some(Ok(bytes)) = stream_recv(&mut payload).await {
        let arrived = micros_now();
        let now = Instant::now();
        for written in
            decoder.feed(&bytes).unwrap_or_default().iter().filter_map(|e| stamp(&e.data))
        {
            seen += 1;
            let _ = sample.delay.record(arrived.saturating_sub(written));
            let since = last.map_or(now - begun, |last| now - last);
            let histogram = if last.is_none() { &mut sample.first } else { &mut sample.gap };
            let _ = histogram.record(since.as_micros() as u64);
            last = Some(now);
        }
    }
    sample.whole += usize::from(seen == tokens);
}

/// One caller thread: opens its streams one after another and reads them all.
fn caller(ways: Vec<Way>, tokens: u64, spread: Duration) -> Sample {
    ntex::rt::System::new("caller", ntex::rt::DefaultRuntime).block_on(async move {
        let client = fireflyhoist_harness::client().await;
        let streams = ways.into_iter().enumerate().map(async |(number, way)| {
            ntex::time::sleep(spread * number as u32).await;
            let mut sample = Sample::open();
            stream(&client, way, tokens, &mut sample).await;
            sample
        });
        let mut total = Sample::open();
        join_all(streams).await.iter().for_each(|sample| total.add(sample));
        total
    })
}

fn run(ways: &[Way], tokens: u64, opens: usize) -> Sample {
    let begun = Instant::now();
    let share = ways.len().div_ceil(CALLERS);
    let spread = Duration::from_secs(CALLERS as u64) / opens.max(1) as u32;
    let threads: Vec<_> = ways
        .chunks(share)
        .map(|ways| {
            let ways = ways.to_vec();
            thread::spawn(move || caller(ways, tokens, spread))
        })
        .collect();
    let mut total = Sample::open();
    for thread in threads {
        total.add(&thread.join().expect("a caller thread ends"));
    }
    total.elapsed = begun.elapsed();
    total
}

/// Processor seconds that a process has used.
fn cpu(process: &Process) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 =
        after.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum();
    ticks as f64 / TICKS
}

/// Resident memory of a process in kibibytes.
fn resident(process: &Process) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

async fn prepare(platform: SocketAddr, entry: SocketAddr, hosts: String, engines: Vec<SocketAddr>) {
    let client = fireflyhoist_harness::client().await;
    let targets: Vec<String> = engines
        .iter()
        .enumerate()
        .map(|(n, at)| format!("{{ name = \"e{n}\", host = \"m{n}\", address = \"{at}\" }}"))
        .collect();
    let text = format!(
        "revision = 1\n[[model]]\nname = \"m\"\nversion = \"1\"\nmemory = 100000000\n\
         [[service]]\nname = \"live\"\nmodel = \"m\"\ntarget = [{}]\n",
        targets.join(", ")
    );
    for (path, body) in [("hosts", hosts), ("text", text)] {
        let url = format!("http://{platform}/operator/{path}");
        let kind = if path == "hosts" { "application/json" } else { "text/plain" };
        client.put(url).content_type(kind).send_body(body).await.expect("published");
    }
    fireflyhoist_harness::until_ready(&client, entry).await;
}

fn print(name: &str, sample: &Sample) {
    let line = |what: &str, histogram: &Histogram<u64>| {
        let at = |q: f64| histogram.value_at_quantile(q);
        println!("{name:8} {what:12} p50={:>7}us p99={:>7}us", at(0.5), at(0.99));
    };
    line("first-token", &sample.first);
    line("token-delay", &sample.delay);
    line("token-gap", &sample.gap);
    let rate = sample.delay.len() as f64 / sample.elapsed.as_secs_f64();
    println!("{name:8} whole={} tokens={} rate={rate:.0}/s", sample.whole, sample.delay.len());
}

fn added(what: &str, direct: &Histogram<u64>, through: &Histogram<u64>) {
    let at = |q: f64| through.value_at_quantile(q) as i64 - direct.value_at_quantile(q) as i64;
    println!("added    {what:12} p50={:>7}us p99={:>7}us", at(0.5), at(0.99));
}

fn main() -> ExitCode {
    let flags = flags().run();
    let between = flags.between_us.to_string();
    let (_platform, platform) = fireflyhoist_harness::standin("platform", &[]);
    let (_engines, engines): (Vec<_>, Vec<_>) = (0..ENGINES)
        .map(|_| {
            let flags = ["--between-us", &between, "--memory", MEMORY];
            fireflyhoist_harness::standin("engine", &flags)
        })
        .unzip();
    let entry = fireflyhoist_harness::entry_with("bench-1", "hala-a", platform, flags.workers);
    let hosts = fireflyhoist_harness::host_list(&[&entry]);
    ntex::rt::System::new("prepare", ntex::rt::DefaultRuntime).block_on(prepare(
        platform,
        entry.http,
        hosts,
        engines.clone(),
    ));
    let at_rest = resident(&entry.process);
    let ways = |way: &dyn Fn(usize) -> Way| (0..flags.streams).map(way).collect::<Vec<_>>();
    let direct = run(&ways(&|n| Way::Direct(engines[n % ENGINES])), flags.tokens, flags.opens);
    let before = cpu(&entry.process);
    let through = thread::spawn({
        let ways = ways(&|_| Way::Through(entry.http));
        move || run(&ways, flags.tokens, flags.opens)
    });
    let all_open = Duration::from_secs((flags.streams / flags.opens.max(1)) as u64);
    thread::sleep(all_open + Duration::from_secs(1));
    let loaded = resident(&entry.process);
    let through = through.join().expect("the run ends");
    let used = cpu(&entry.process) - before;
    print("direct", &direct);
    print("through", &through);
    added("first-token", &direct.first, &through.first);
    added("token-delay", &direct.delay, &through.delay);
    added("token-gap", &direct.gap, &through.gap);
    println!("daemon   cpu={used:.2}s tokens-per-core={:.0}/s", through.delay.len() as f64 / used);
    println!("daemon   rss-at-rest={at_rest}KiB rss-with-{}-streams={loaded}KiB", flags.streams);
    if through.whole == flags.streams && direct.whole == flags.streams {
        ExitCode::SUCCESS
    } else {
        eprintln!("latency: some streams were not whole; lower --streams for this machine");
        ExitCode::FAILURE
    }
}
