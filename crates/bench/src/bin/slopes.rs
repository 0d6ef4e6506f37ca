//! Prints the slopes that `docs/CAPACITY.md` rests on: what one member costs as the fleet grows.
//!
//! Members run the policy's own membership and versions in one process and virtual time; bytes are
//! those of the frames that daemons send, with 46 bytes for each added for WebSocket, TCP and IP
//! and as much again for its acknowledgement.

use std::time::{Duration, Instant};

use fireflyhoist_bench::target_change;
use fireflyhoist_policy::member::Message;
use fireflyhoist_policy::version::{Version, WATCHERS_PER_DOMAIN, poll_interval};
use fireflyhoist_standin::fleet::{Fleet, published};
use fireflyhoist_text::Text;
use fireflyhoist_text::section::Store;
use fireflyhoist_text::transfer;
use fireflyhoist_wire::peer::{self, Frame};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Headers of a frame's segment and of its acknowledgement: 6 of WebSocket, 40 of TCP and IP, and
/// 40 more.
const HEADERS: u64 = 86;

/// Members measured.
const SIZES: [usize; 4] = [8, 32, 128, 330];

/// Targets before which one entry is measured.
const TARGETS: [usize; 4] = [300, 1_500, 3_000, 6_000];

/// Virtual time of each measurement.
const SPAN: Duration = Duration::from_secs(60);

/// Changes of the text in a day.
const CHANGES: f64 = 840.0;

/// Seconds in a day.
const DAY: f64 = 86_400.0;

/// How long a watch waits at the platform, as the daemon asks it.
const WATCH: f64 = 25.0;

fn size_of(message: &Message) -> usize {
    peer::encode(&Frame::Member(message.clone())).len()
}

/// Kilobytes of memory that this process has used at most, as the kernel counts them.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

fn totals(fleet: &Fleet) -> (u64, u64) {
    let sent = fleet.nodes.iter().map(|node| node.sent).sum();
    let bytes = fleet.nodes.iter().map(|node| node.bytes).sum();
    (sent, bytes)
}

/// Bytes a second that each member sends between two counts, headers included.
fn rate(before: (u64, u64), after: (u64, u64), size: usize, span: f64) -> f64 {
    let (sent, bytes) = (after.0 - before.0, after.1 - before.1);
    (bytes + sent * HEADERS) as f64 / span / size as f64
}

fn membership(size: usize) {
    let resident = resident_kb();
    let mut fleet = Fleet::counted(size, 1, size_of);
    fleet.run(SPAN);
    let used = (resident_kb().saturating_sub(resident)) as f64 / size as f64;
    let before = totals(&fleet);
    let clock = Instant::now();
    fleet.run(SPAN);
    let cpu = clock.elapsed().as_secs_f64() / SPAN.as_secs_f64() / size as f64 * 100.0;
    let after = totals(&fleet);
    let span = SPAN.as_secs_f64();
    let messages = (after.0 - before.0) as f64 / span / size as f64;
    let steady = rate(before, after, size, span);

    // One host dies and is replaced; the extra bytes are those of the news.
    let before = totals(&fleet);
    fleet.nodes[1].running = false;
    fleet.run(SPAN / 2);
    fleet.restart(1, &published(1, 0..size, &[]));
    fleet.run(SPAN / 2);
    let extra = (rate(before, totals(&fleet), size, span) - steady) * span;

    let version = Version::of(2, "two");
    fleet.offer(0, version);
    let took = fleet.until(Duration::from_secs(60), |fleet| fleet.all_have(version));
    let took = took.map_or(f64::NAN, |took| took.as_secs_f64());
    let now = fleet.now();
    fleet.nodes[2].membership.leave(now);
    let host = fleet.nodes[2].membership.own().host.clone();
    let left = fleet.until(Duration::from_secs(60), |fleet| {
        fleet.nodes.iter().all(|node| node.membership.is_leaving(&host))
    });
    let left = left.map_or(f64::NAN, |left| left.as_secs_f64());
    println!(
        "members={size} messages_per_s={messages:.2} bytes_per_s={steady:.0} cpu_percent={cpu:.4} \
         memory_kb={used:.0} bytes_per_replacement={extra:.0} version_everywhere_s={took:.1} \
         leaving_everywhere_s={left:.1}"
    );
}

fn platform(size: usize) {
    let domains = 5.min(size);
    let watchers = (domains * WATCHERS_PER_DOMAIN).min(size) as f64;
    let mut random = StdRng::seed_from_u64(1);
    let mean =
        (0..1_000).map(|_| poll_interval(size, &mut random).as_secs_f64()).sum::<f64>() / 1e3;
    // Two values, each watched; a change ends one watch of each watcher early.
    let calls = 2.0 * watchers / WATCH + watchers * CHANGES / DAY;
    let polls = 2.0 * (size as f64 - watchers) / mean;
    let total = calls + polls;
    println!("members={size} watchers={watchers} platform_calls_per_s={total:.2} (computed)");
}

fn sections() {
    let mut text = String::from("revision = 1\n");
    let mut number = 0;
    while text.len() < 1_000_000 {
        text.push_str(&format!(
            "[[workspace]]\nname = \"workspace-{number}\"\nweight = {}\n",
            number % 9 + 1
        ));
        number += 1;
    }
    let clock = Instant::now();
    let valid = Text::parse(&text).is_ok();
    let parse = clock.elapsed().as_secs_f64();
    let resident = resident_kb();
    let mut store = Store::default();
    let clock = Instant::now();
    let manifest = store.split(&text);
    let split = clock.elapsed().as_secs_f64();
    let memory = resident_kb().saturating_sub(resident);
    let changed = text.replacen("revision = 1", "revision = 2", 1);
    let changed =
        changed.replacen("\"workspace-5000\"\nweight = 6", "\"workspace-5000\"\nweight = 7", 1);
    let mut next = Store::default();
    let wanted = next.split(&changed);
    let missing = store.missing(&wanted);
    let bytes: usize = missing.iter().filter_map(|digest| next.get(*digest)).map(<[u8]>::len).sum();
    let version = Version::of(2, &changed);
    let frame =
        peer::encode(&Frame::Text(transfer::Message::Manifest { version, sections: wanted })).len();
    let change = (frame + bytes) as f64;
    println!(
        "text_bytes={} valid={valid} parse_s={parse:.3} split_s={split:.3} sections={} \
         sections_memory_kb={memory} manifest_bytes={frame} moved_sections={} moved_bytes={bytes} \
         change_bytes_each_way={change:.0} changes_bytes_per_s={:.0} whole_bytes_per_s={:.0} \
         changes_cpu_percent={:.3}",
        text.len(),
        manifest.digests().len(),
        missing.len(),
        change * CHANGES / DAY * 2.0,
        text.len() as f64 * CHANGES / DAY,
        (parse + split) * CHANGES / DAY * 100.0,
    );
}

fn target_changes(targets: usize) {
    let cost = target_change::measure(targets);
    println!(
        "targets={targets} change_us={:.1} with_list_us={:.1} load_us={:.1} with_all_us={:.1} \
         placement_us={:.1} of_all_us={:.1} expiry_us={:.2}",
        cost.change,
        cost.change_with_list,
        cost.load,
        cost.load_with_all,
        cost.placement,
        cost.placement_of_all,
        cost.expiry,
    );
}

fn main() {
    println!("cores_used=1 span_s={} seed=1", SPAN.as_secs());
    SIZES.iter().for_each(|size| membership(*size));
    [8, 330].iter().for_each(|size| platform(*size));
    sections();
    TARGETS.iter().for_each(|targets| target_changes(*targets));
}
