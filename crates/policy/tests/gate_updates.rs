//! Targets that are added to a gate and removed from it one by one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{
    Class, Gate, Listing, Outcome, Reason, Request, Settings, TargetUpdate, Verdict,
};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, RngCore, SeedableRng};
use yare::parameterized;

const TARGETS: usize = 12;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn target(n: usize) -> id::Target {
    format!("t-{n}").parse().expect("a name")
}

fn lookup(number: u128, now: Time) -> Request {
    Request {
        id: id::Request::new(number),
        workspace: "archive".parse().expect("a name"),
        class: Class::Lookup,
        rank: 0,
        prompt: Tokens::default(),
        limit: Tokens::default(),
        prefix: 0,
        objective: now + Duration::from_secs(1),
        deadline: now + Duration::from_secs(5),
        avoid: None,
        retry: false,
    }
}

fn update(n: usize, listed: Option<bool>) -> TargetUpdate {
    let listed = listed.map(|cordoned| Listing { cordoned, domain: None });
    TargetUpdate { target: target(n), listed }
}

/// Guards against requests that are sent to, or counted at, another target than the one that was
/// chosen, after targets were removed while requests were running.
#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
    fourth = { 4 },
)]
fn requests_stay_with_their_targets(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut gate = Gate::open(Settings { share: false, ..Settings::default() });
    // The listed targets, and whether each is cordoned.
    let mut listed: BTreeMap<id::Target, bool> = BTreeMap::new();
    let mut running: BTreeMap<u128, id::Target> = BTreeMap::new();
    let mut sent = 0;
    for step in 0..4_000 {
        let now = at(step * 20);
        match rng.random_range(0..10) {
            0..2 => {
                let n = rng.random_range(0..TARGETS);
                let cordoned = [None, Some(false), Some(false), Some(true)];
                let cordoned = cordoned.into_iter().choose(&mut rng).flatten();
                gate.update_targets(now, &[update(n, cordoned)]);
                match cordoned {
                    Some(cordoned) => listed.insert(target(n), cordoned),
                    None => listed.remove(&target(n)),
                };
            }
            2..6 => {
                let number = u128::from(step);
                let usable: BTreeSet<&id::Target> =
                    listed.iter().filter(|(_, cordoned)| !**cordoned).map(|(t, _)| t).collect();
                match gate.offer(now, &mut rng, lookup(number, now)) {
                    Verdict::Send(target) => {
                        assert!(usable.contains(&target), "{target} is not usable");
                        running.insert(number, target);
                        sent += 1;
                    }
                    Verdict::Refuse(refusal) => {
                        assert!(usable.is_empty(), "refused with {usable:?}");
                        let cordoned = refusal.reason == Reason::Cordoned;
                        assert_eq!(cordoned, !listed.is_empty(), "{refusal:?}");
                    }
                    Verdict::Wait => panic!("a lookup never waits"),
                }
            }
            _ => {
                if let Some(number) = running.keys().copied().choose(&mut rng) {
                    running.remove(&number);
                    gate.finish(now, id::Request::new(number), Outcome::Whole);
                }
            }
        }
        let mut expected: BTreeMap<id::Target, u32> = BTreeMap::new();
        running.values().for_each(|target| *expected.entry(target.clone()).or_default() += 1);
        let held: BTreeMap<id::Target, u32> =
            gate.holdings().map(|holding| (holding.target, holding.streams)).collect();
        assert_eq!(held, expected);
        // A removed target stays known for as long as requests run there, and no longer.
        let removed = expected.keys().filter(|target| !listed.contains_key(*target)).count();
        let drains = gate.exclusions(now).get(&Exclusion::Drains).copied().unwrap_or_default();
        assert_eq!(drains, removed);
    }
    assert!(sent > 1_000, "{sent} sent");
}

/// A random source that counts how often it is asked.
struct Counting {
    source: SmallRng,
    count: usize,
}

impl RngCore for Counting {
    fn next_u32(&mut self) -> u32 {
        self.count += 1;
        self.source.next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        self.count += 1;
        self.source.next_u64()
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        self.count += 1;
        self.source.fill_bytes(bytes);
    }
}

/// Guards against a placement that looks at every target, of which a fleet has thousands: each
/// target that is looked at takes one random draw.
#[test]
fn placement_looks_at_a_bounded_number_of_targets() {
    const CHOICES: usize = 6;
    const REQUESTS: usize = 200;
    for targets in [750, 1_500, 3_000, 6_000] {
        let settings = Settings { share: false, choices: CHOICES, ..Settings::default() };
        let mut gate = Gate::open(settings);
        let all: Vec<TargetUpdate> = (0..targets).map(|n| update(n, Some(false))).collect();
        gate.update_targets(Time::ZERO, &all);
        let mut rng = Counting { source: SmallRng::seed_from_u64(1), count: 0 };
        for nth in 0..REQUESTS {
            let now = at(2_000 + nth as u64);
            let page = Request {
                class: Class::Live,
                prompt: Tokens::new(3_000),
                limit: Tokens::new(1_000),
                ..lookup(nth as u128, now)
            };
            assert!(matches!(gate.offer(now, &mut rng, page), Verdict::Send(_)));
        }
        // A draw from a range takes a second number now and then.
        assert!(rng.count <= REQUESTS * (CHOICES + 2), "{} before {targets}", rng.count);
    }
}
