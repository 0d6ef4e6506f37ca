//! What one decision costs, and what memory it keeps, measured on the machine at hand.
//!
//! Unlike the patterns these figures are taken by a real clock and differ from run to run.

use std::hint::black_box;
use std::time::{Duration, Instant};

use fireflyhoist_policy::gate::{Class, Gate, Outcome, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::placement::{CHOICES_LAGGED, Candidate, choose};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use smol_str::format_smolstr;
use tabled::Tabled;

/// Decisions timed for each figure.
const ROUNDS: usize = 20_000;

/// Requests offered to weigh one that is open; large enough that pages and tables round out.
const OPEN: usize = 50_000;

/// Workspaces to weigh one, as many as the size to design for has.
const WORKSPACES: usize = 5_600;

/// Bytes of a page of memory, a constant of the x86-64 and AArch64 Linux ABIs in use.
const PAGE: usize = 4_096;

/// One measured figure.
#[derive(Clone, Debug, Serialize, Tabled)]
pub struct Row {
    /// What was measured.
    pub what: &'static str,
    /// Among how many targets.
    pub targets: usize,
    /// The median.
    #[tabled(format("{:.3}"))]
    pub p50: f64,
    /// The 99th percentile.
    #[tabled(format("{:.3}"))]
    pub p99: f64,
    /// Unit of both.
    pub unit: &'static str,
}

impl Row {
    fn of(what: &'static str, targets: usize, unit: &'static str, mut all: Vec<f64>) -> Self {
        all.sort_by(f64::total_cmp);
        let at = |part: f64| all[((all.len() - 1) as f64 * part) as usize];
        Self { what, targets, p50: at(0.5), p99: at(0.99), unit }
    }
}

/// Measures everything; takes about a second.
pub fn measure() -> Vec<Row> {
    // Memory first: what the other figures free would be taken again and not seen to grow.
    let mut rows = vec![workspace_bytes(), request_bytes()];
    for targets in [12, 810] {
        rows.push(placement(targets));
        rows.push(offer(targets));
    }
    rows
}

/// One placement proper: the choice among candidates.
fn placement(targets: usize) -> Row {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let draw =
        |rng: &mut ChaCha8Rng| Candidate { key: rng.random(), load: rng.random(), weight: 1.0 };
    let candidates: Vec<Candidate> = (0..targets).map(|_| draw(&mut rng)).collect();
    let time = |prefix| {
        let start = Instant::now();
        black_box(choose(&mut rng, prefix, black_box(&candidates), CHOICES_LAGGED));
        micros(start.elapsed())
    };
    Row::of("placement", targets, "us", (1..=ROUNDS as u64).map(time).collect())
}

/// A request from its arrival to the target's name, and its end: all that a gate does for it.
fn offer(targets: usize) -> Row {
    let (mut gate, mut rng) = (gate(targets), ChaCha8Rng::seed_from_u64(1));
    let mut now = Time::ZERO;
    let mut time = |request| {
        now = now + Duration::from_millis(1);
        let ask = ask(now, request, request % 10);
        let start = Instant::now();
        let verdict = black_box(gate.offer(now, &mut rng, ask));
        let spent = micros(start.elapsed());
        assert!(matches!(verdict, Verdict::Send(_)), "an idle gate sends at once");
        gate.finish(now, id::Request::new(request as u128), Outcome::Whole);
        spent
    };
    Row::of("offer to a gate", targets, "us", (0..ROUNDS).map(&mut time).collect())
}

/// Memory of one open request at a gate, the text of its names included.
fn request_bytes() -> Row {
    let (mut gate, mut rng) = (gate(810), ChaCha8Rng::seed_from_u64(1));
    let before = resident();
    let mut open = 0;
    for request in 0..OPEN {
        let verdict = gate.offer(Time::ZERO, &mut rng, ask(Time::ZERO, request, request % 10));
        open += usize::from(!matches!(verdict, Verdict::Refuse(_)));
    }
    let bytes = resident().saturating_sub(before) as f64 / open.max(1) as f64;
    black_box(&gate);
    Row::of("memory of an open request", 810, "bytes", vec![bytes])
}

/// Memory that a gate keeps for a workspace after its requests have ended.
fn workspace_bytes() -> Row {
    let (mut gate, mut rng) = (gate(12), ChaCha8Rng::seed_from_u64(1));
    let before = resident();
    for request in 0..WORKSPACES {
        black_box(gate.offer(Time::ZERO, &mut rng, ask(Time::ZERO, request, request)));
        gate.finish(Time::ZERO, id::Request::new(request as u128), Outcome::Whole);
    }
    let bytes = resident().saturating_sub(before) as f64 / WORKSPACES as f64;
    black_box(&gate);
    Row::of("memory of a workspace", 12, "bytes", vec![bytes])
}

fn gate(targets: usize) -> Gate {
    let mut gate = Gate::open(Settings::default());
    let name = |at: usize| format_smolstr!("e{at:03}").try_into().expect("a valid name");
    let names: Vec<id::Target> = (0..targets).map(name).collect();
    gate.set_targets(Time::ZERO, names.clone());
    let report = Report { capacity: Tokens::new(64_000), ..Report::default() };
    names.iter().for_each(|name| gate.report(Time::ZERO, name, &report, Duration::ZERO));
    gate
}

fn ask(now: Time, request: usize, workspace: usize) -> Request {
    Request {
        id: id::Request::new(request as u128),
        workspace: format_smolstr!("workspace-{workspace:04}").try_into().expect("a valid name"),
        class: Class::Overnight,
        rank: 0,
        prompt: Tokens::new(500),
        limit: Tokens::new(4_096),
        prefix: workspace as u64 + 1,
        objective: now + Duration::from_secs(30),
        deadline: now + Duration::from_secs(30),
        retry: false,
        avoid: None,
    }
}

fn micros(span: Duration) -> f64 {
    span.as_nanos() as f64 / 1e3
}

/// Bytes of this process in memory; zero where the system does not say.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|word| word.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}
