//! Engines join while all others are full, and every entry has queued requests.

use std::time::Duration;

use fireflyhoist_policy::gate::{Class, Gate, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::placement::CHOICES_FRESH;
use fireflyhoist_policy::stagger::Order;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Entries that carry the traffic of a large fleet.
const ENTRIES: usize = 6;

/// Engines that join at the same time there.
const ENGINES: usize = 10;

/// Requests queued at each entry: half a second of its share of the traffic.
const QUEUED: u128 = 8;

/// Tokens of an engine's memory there, and of a prompt.
const MEMORY: u64 = 21_874;
const PROMPT: u64 = 3_000;

/// Interval at which an entry polls its queue, and age of its view of what the others have sent.
const POLL: Duration = Duration::from_millis(20);

/// How long the entries send before the prompts at each engine are counted; none has been computed
/// by then.
const SENDING_TIME: Duration = Duration::from_millis(200);

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}-{n}")).collect()
}

fn ask(request: u128) -> Request {
    Request {
        id: id::Request::new(request),
        workspace: "w".parse().expect("a name"),
        class: Class::Overnight,
        rank: 0,
        prompt: Tokens::new(PROMPT),
        limit: Tokens::new(1_756),
        prefix: 0,
        objective: Time::ZERO + Duration::from_secs(40),
        deadline: Time::ZERO + Duration::from_secs(40),
        retry: false,
        avoid: None,
    }
}

/// Returns the most prompts that wait at one of the engines 0.2 s after all have joined.
fn most_unread(stagger: bool, prefill_bound: bool) -> usize {
    let mut rng = SmallRng::seed_from_u64(7);
    let hosts: Vec<id::Host> =
        names("entry", ENTRIES).iter().map(|n| n.parse().expect("a name")).collect();
    let engines: Vec<id::Target> =
        names("e", ENGINES).iter().map(|n| n.parse().expect("a name")).collect();
    let settings = || Settings {
        share: false,
        choices: CHOICES_FRESH,
        stagger,
        prefill_bound,
        ..Settings::default()
    };
    let mut gates: Vec<Gate> = hosts
        .iter()
        .map(|host| {
            let mut gate = Gate::open(settings());
            gate.set_order(Order::of(host.clone(), hosts.clone()));
            gate
        })
        .collect();
    for (entry, gate) in gates.iter_mut().enumerate() {
        for request in 0..QUEUED {
            // The only engine is full, so the requests are queued.
            gate.set_targets(Time::ZERO, vec!["full".parse().expect("a name")]);
            let full = Report {
                capacity: Tokens::new(MEMORY),
                used: Tokens::new(MEMORY),
                running: 6,
                ..Report::default()
            };
            gate.report(Time::ZERO, &"full".parse().expect("a name"), &full, Duration::ZERO);
            let verdict = gate.offer(Time::ZERO, &mut rng, ask(entry as u128 * 1_000 + request));
            assert_eq!(verdict, Verdict::Wait);
        }
    }
    let joined = Time::ZERO + Duration::from_secs(1);
    let mut held = vec![vec![0_u64; ENGINES]; ENTRIES];
    let mut now = joined;
    gates.iter_mut().for_each(|gate| gate.set_targets(now, engines.clone()));
    while now < joined + SENDING_TIME {
        let known = held.clone();
        for (entry, gate) in gates.iter_mut().enumerate() {
            for (at, engine) in engines.iter().enumerate() {
                let others: u64 = (0..ENTRIES).filter(|e| *e != entry).map(|e| known[e][at]).sum();
                let all = others + known[entry][at];
                let report = Report {
                    capacity: Tokens::new(MEMORY),
                    used: Tokens::new(all),
                    running: u32::try_from(all / PROMPT).expect("a few"),
                    ..Report::default()
                };
                gate.report(now, engine, &report, Duration::ZERO);
                gate.set_unread(engine, Tokens::new(others));
            }
            for (_, verdict) in gate.poll(now, &mut rng) {
                let Verdict::Send(engine) = verdict else { continue };
                let at = engines.iter().position(|e| *e == engine).expect("one of them");
                held[entry][at] += PROMPT;
            }
        }
        now = now + POLL;
    }
    let waiting = |at: usize| held.iter().map(|held| held[at]).sum::<u64>() / PROMPT;
    (0..ENGINES).map(|at| waiting(at) as usize).max().unwrap_or_default()
}

/// Guards against every entry sending all that it has queued to an empty engine in the same moment.
/// The engine computes one prompt after the other, so the last answer begins four seconds late.
/// With staggered starts and a bound on the prompts that wait there, requests that cannot begin
/// soon stay queued at the entry, which may send them to another engine.
#[test]
fn a_new_engine_is_not_flooded() {
    let flooded = most_unread(false, false);
    assert!(flooded >= 5, "{flooded}");
    let bounded = most_unread(true, true);
    assert!(bounded <= 2, "{bounded} of {flooded}");
}

/// The bound alone does not hold back entries that have not yet learned what the others sent.
#[test]
fn the_prefill_bound_alone_does_not_prevent_flooding() {
    let alone = most_unread(false, true);
    assert!(alone > 2, "{alone}");
}

/// Guards against starvation of the last entry in the order: it may send within a second, however
/// many entries there are.
#[test]
fn every_entry_may_send_within_a_second() {
    let hosts: Vec<id::Host> =
        names("entry", 330).iter().map(|n| n.parse().expect("a name")).collect();
    let engine: id::Target = "e-1".parse().expect("a name");
    for own in &hosts {
        let mut gate = Gate::open(Settings { share: false, ..Settings::default() });
        gate.set_order(Order::of(own.clone(), hosts.clone()));
        gate.set_targets(Time::ZERO, vec![engine.clone()]);
        let report = Report { capacity: Tokens::new(MEMORY), ..Report::default() };
        gate.report(Time::ZERO, &engine, &report, Duration::ZERO);
        let now = Time::ZERO + Duration::from_secs(1);
        let verdict = gate.offer(now, &mut SmallRng::seed_from_u64(1), ask(1));
        assert_eq!(verdict, Verdict::Send(engine.clone()));
    }
}
