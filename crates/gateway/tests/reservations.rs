//! Reservations of prefill between entries that send prompts to the same engines at one moment.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::route::Kind;
use fireflyhoist_policy::topology::Member;
use fireflyhoist_policy::{id, permit};
use fireflyhoist_standin::registry::Registry;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use support::caller::{Answer, Request};
use support::proxy::Proxy;
use support::target::{Standin, Step, event, stream_end, stream_head};
use support::{eventually, fleet_behind_proxies, route, settings, text, until_ready};
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;
use yare::parameterized;

/// Entries, each of which owns one engine.
const ENTRIES: usize = 3;

/// How long an engine computes one prompt; it computes one after another.
const PREFILL: Duration = Duration::from_millis(150);

/// Prompts that may wait at one engine: the bound is 2.25 prompts of mean length.
const BOUND: usize = 2;

/// An engine that counts the prompts that wait for their prefill.
struct Engine {
    standin: Standin,
    /// The most prompts that waited there at one time.
    peak: Arc<AtomicUsize>,
}

impl Engine {
    async fn open(name: &str) -> Self {
        let (waiting, peak) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (read, seen) = (Arc::clone(&waiting), Arc::clone(&peak));
        let script = move |_: &_| {
            let ahead = read.fetch_add(1, Ordering::SeqCst) + 1;
            seen.fetch_max(ahead, Ordering::SeqCst);
            let read = Arc::clone(&read);
            let done = move || {
                read.fetch_sub(1, Ordering::SeqCst);
                true
            };
            let prefill = Step::Wait(PREFILL * ahead as u32);
            vec![prefill, Step::Until(Arc::new(done)), stream_head(), event(1), stream_end()]
        };
        Self { standin: Standin::open(name, "gen", script).await, peak }
    }
}

struct Fleet {
    entries: Vec<Gateway>,
    proxies: Vec<Proxy>,
    engines: Vec<Engine>,
}

impl Fleet {
    async fn open(reserves: bool) -> Self {
        let registry = Registry::open().await;
        registry.publish(text(1, vec![route("gen", Kind::Stream { resumable: false })]));
        let mut engines = Vec::new();
        for name in engine_names() {
            let engine = Engine::open(&name).await;
            registry.put(engine.standin.listed.clone());
            engines.push(engine);
        }
        let reserve = |settings: &mut Settings| settings.scheduling.reservations = reserves;
        let (entries, proxies) = fleet_behind_proxies(&registry, ENTRIES, reserve).await;
        // Entries stagger their first requests to engines that have just joined.
        sleep(Duration::from_millis(1_500)).await;
        Self { entries, proxies, engines }
    }

    /// Sends `count` requests to each of these entries at one moment, and returns the answers.
    async fn ask(&self, entries: &[usize], count: usize) -> Vec<Answer> {
        let mut asked = Vec::new();
        for nth in entries {
            let entry = &self.entries[*nth];
            for _ in 0..count {
                let request = Request::stream("/gen/x", 20);
                let to = entry.callers();
                asked.push(tokio::task::spawn_local(
                    async move { request.body("b").send(to).await },
                ));
            }
        }
        let mut answers = Vec::new();
        for one in asked {
            answers.push(one.await.expect("it ends"));
        }
        answers
    }

    /// Returns the most prompts that waited at one engine at one time.
    fn peak(&self) -> usize {
        self.engines.iter().map(|engine| engine.peak.load(Ordering::SeqCst)).max().unwrap_or(0)
    }

    /// Returns the sum of a metric with this label over all entries.
    async fn metric(&self, name: &str) -> u64 {
        let mut sum = 0;
        for entry in &self.entries {
            let page = Request::get("/metrics").send(entry.metrics()).await.body;
            let lines = page.lines().filter_map(|line| line.strip_prefix(name));
            sum += lines.filter_map(|value| value.trim().parse::<u64>().ok()).sum::<u64>();
        }
        sum
    }
}

/// Returns the number of links that an entry has lost.
async fn lost_links(entry: &Gateway) -> usize {
    let page = Request::get("/metrics").send(entry.metrics()).await.body;
    page.lines().filter(|line| line.starts_with("fireflyhoist_links_lost_total{")).count()
}

/// Returns names of engines of which each entry owns one.
fn engine_names() -> Vec<String> {
    let entry = |nth| format!("entry-{nth}").parse().expect("a name");
    let entries: BTreeSet<id::Host> = (0..ENTRIES).map(entry).collect();
    let owned_by = |owner: &id::Host| {
        let mut names = (0..).map(|nth| format!("e-{nth}"));
        names.find(|name| permit::owner(name, &entries) == Some(owner)).expect("one of them")
    };
    entries.iter().map(owned_by).collect()
}

/// Guards against prompts that arrive at all entries at one moment meeting at the same engines, and
/// against a test load that does not bring this about.
#[ntex::test]
async fn prompts_of_one_moment_spread_over_the_engines() {
    let mut peaks = Vec::new();
    for reserves in [false, true] {
        let fleet = Fleet::open(reserves).await;
        for _ in 0..6 {
            let answers = fleet.ask(&[0, 1, 2], 2).await;
            assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
        }
        let granted = fleet.metric("fireflyhoist_reservations_total{outcome=\"granted\"}").await;
        // An owner on a busy host may answer late now and then.
        assert!(if reserves { granted >= 30 } else { granted == 0 }, "{granted} granted");
        peaks.push(fleet.peak());
    }
    assert!(peaks[0] > BOUND && peaks[1] <= BOUND, "{peaks:?} prompts at one engine");
}

/// Guards against prompts that are not sent, or sent late, while the owners of their engines do not
/// answer.
#[ntex::test]
async fn prompts_are_sent_while_owners_do_not_answer() {
    let fleet = Fleet::open(true).await;
    fleet.proxies.iter().for_each(Proxy::stall);
    let answers = fleet.ask(&[1, 2], 3).await;
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    let longest = answers.iter().map(|answer| answer.took).max().expect("answers");
    assert!(longest < PREFILL * 3 + Duration::from_millis(350), "{longest:?}");
    let unanswered = fleet.metric("fireflyhoist_reservations_total{outcome=\"unanswered\"}").await;
    assert!((2..=6).contains(&unanswered), "{unanswered} unanswered");
}

/// A frame of an entry on the links, in the format of all releases.
#[derive(Serialize)]
enum Frame {
    Hello(Member),
    Beat(Beat),
}

#[derive(Clone, Default, Serialize)]
struct Beat {
    ready: bool,
    text: u64,
    targets: Option<u64>,
    registry: bool,
    protocol: u32,
    watching: bool,
    follows: bool,
    endings: Vec<u64>,
    held: Vec<u64>,
}

impl Frame {
    fn message(&self) -> Message {
        let mut bytes = vec![0];
        ciborium::into_writer(self, &mut bytes).expect("it is encoded");
        Message::binary(bytes)
    }
}

/// Links to an entry as another one of this protocol that answers nothing; returns the requests for
/// permits that it receives.
async fn link_silent_entry(host: &id::Host, to: SocketAddr, protocol: u32) -> Arc<AtomicUsize> {
    let stream = TcpStream::connect(to).await.expect("it listens");
    let url = format!("ws://{to}/peer");
    let (socket, _) = client_async(url, stream).await.expect("a link");
    let (mut sink, mut source) = socket.split();
    let unused = "127.0.0.1:1".parse().expect("an address");
    let domain = "hala-a".parse().expect("a name");
    let (host, power) = (host.clone(), 1.0);
    let hello = Frame::Hello(Member { host, domain, power, peers: unused, callers: unused });
    sink.send(hello.message()).await.expect("the link is open");
    let asked = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&asked);
    tokio::task::spawn_local(async move {
        while let Some(Ok(message)) = source.next().await {
            let bytes = message.into_data();
            let is_ask =
                bytes.first() == Some(&0) && bytes.windows(7).any(|seven| seven == b"Prefill");
            seen.fetch_add(usize::from(is_ask), Ordering::SeqCst);
        }
    });
    tokio::task::spawn_local(async move {
        let beat = Beat { ready: true, registry: true, protocol, ..Beat::default() };
        while sink.send(Frame::Beat(beat.clone()).message()).await.is_ok() {
            sleep(Duration::from_millis(100)).await;
        }
    });
    asked
}

/// Guards against an owner of the earlier release being asked, which would close the link, and
/// against an owner that does not answer delaying more than one request a second.
#[parameterized(
    earlier_release = { 1, 0 },
    silent = { 2, 1 },
)]
#[test_macro(ntex::test)]
async fn an_owner_that_does_not_answer_is_not_asked_again(protocol: u32, asks: usize) {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("gen", Kind::Stream { resumable: false })]));
    let entries: BTreeSet<id::Host> =
        ["entry-0", "entry-1"].map(|name| name.parse().expect("a name")).into();
    let other = entries.last().expect("two of them");
    let mut names = (0..).map(|nth| format!("e-{nth}"));
    let name =
        names.find(|name| permit::owner(name, &entries) == Some(other)).expect("one of them");
    let script = |_: &_| vec![stream_head(), event(1), stream_end()];
    registry.put(Standin::open(&name, "gen", script).await.listed.clone());
    let mut settings = settings("entry-0", registry.address(), &[]);
    settings.scheduling.reservations = true;
    let entry = Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
    until_ready(&entry).await;
    let asked = link_silent_entry(other, entry.peers(), protocol).await;
    let known = Request::get("/v1/entries?domain=hala-a");
    let count = async || known.send(entry.directory()).await.body.matches("entry-").count();
    eventually(async || count().await == 2).await;
    // Entries stagger their first requests to engines that have just joined.
    sleep(Duration::from_millis(1_500)).await;
    for nth in 0..3 {
        let answer = Request::stream("/gen/x", 20).body("b").send(entry.callers()).await;
        assert_eq!((answer.status, asked.load(Ordering::SeqCst)), (200, asks), "{answer:?}");
        // The first one that asks waits for the answer.
        assert!(nth > 0 || asks == 0 || answer.took >= Duration::from_millis(100), "{answer:?}");
    }
    assert_eq!(lost_links(&entry).await, 0);
}
