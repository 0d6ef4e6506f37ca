//! Many entries use a target that accepts connections and fails the requests.

use std::time::Duration;

use fireflyhoist_policy::id::Target;
use fireflyhoist_policy::observation::{CONFIRMATION_DELAY, Observer, Outcome, WINDOW};
use fireflyhoist_policy::outlier::{Detector, Sample};
use fireflyhoist_policy::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ENTRIES: usize = 30;

/// The number of engines; the whole fleet sends each of them about one request a second.
const ENGINES: usize = 59;

/// The number of lookup targets; the whole fleet sends each of them eleven requests a second.
const LOOKUPS: usize = 5;

/// The time between two requests of the whole fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(18);

/// The time between two heartbeats, which carry the outcomes to other entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

const ANSWERED: Sample = Sample::Latency(Duration::from_millis(20));

fn target(n: usize) -> Target {
    format!("t{n}").parse().expect("a name")
}

fn observer(n: usize) -> Observer {
    Observer {
        host: format!("h-{n}").parse().expect("a name"),
        domain: format!("d-{}", n % 5).parse().expect("a name"),
    }
}

fn at(span: Duration) -> Time {
    Time::ZERO + span
}

struct Fleet {
    targets: usize,
    detectors: Vec<Detector>,
    now: Duration,
    next_heartbeat: Duration,
    random: StdRng,
}

impl Fleet {
    fn open(targets: usize) -> Self {
        let names: Vec<Target> = (0..targets).map(target).collect();
        let open = |_| {
            let mut detector = Detector::new();
            detector.set_targets(&names);
            detector
        };
        Self {
            targets,
            detectors: (0..ENTRIES).map(open).collect(),
            now: Duration::from_secs(1),
            next_heartbeat: Duration::ZERO,
            random: StdRng::seed_from_u64(7),
        }
    }

    fn share_outcomes(&mut self) {
        self.detectors.iter_mut().for_each(|detector| detector.poll(at(self.now)));
        for sender in 0..ENTRIES {
            for (target, outcome) in self.detectors[sender].take_updates() {
                for (nth, detector) in self.detectors.iter_mut().enumerate() {
                    if nth != sender {
                        detector.apply(at(self.now), &target, observer(sender), outcome);
                    }
                }
            }
        }
    }

    /// Sends requests for `span` and returns how many failed; `fails` decides for an entry and a
    /// target.
    fn run(&mut self, span: Duration, fails: impl Fn(&mut StdRng, usize, usize) -> bool) -> usize {
        let end = self.now + span;
        let mut failed = 0;
        while self.now < end {
            self.now += REQUEST_INTERVAL;
            if self.now >= self.next_heartbeat {
                self.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
                self.share_outcomes();
            }
            let entry = self.random.random_range(0..ENTRIES);
            let now = at(self.now);
            let usable: Vec<usize> = (0..self.targets)
                .filter(|n| self.detectors[entry].weight(now, &target(*n)) > 0.0)
                .collect();
            let chosen = usable[self.random.random_range(0..usable.len())];
            let fails = fails(&mut self.random, entry, chosen);
            failed += usize::from(fails);
            let sample = if fails { Sample::Failed } else { ANSWERED };
            self.detectors[entry].record(now, &target(chosen), sample);
            if !fails {
                self.detectors[entry].record_answer(now, &target(chosen));
            }
            // Requests in flight at the target complete, whatever becomes of new ones.
            self.detectors[entry].record(now, &target(chosen), ANSWERED);
        }
        failed
    }

    /// Returns how many entries have ejected a target.
    fn ejected(&self, n: usize) -> usize {
        let is_out = |detector: &&Detector| detector.weight(at(self.now), &target(n)) == 0.0;
        self.detectors.iter().filter(is_out).count()
    }
}

/// A failing target must not cost every entry some requests of its own.
#[test]
fn failing_targets_cost_a_few_requests_each() {
    let mut fleet = Fleet::open(ENGINES);
    fleet.run(Duration::from_secs(5), |_, _, _| false);
    let failed = fleet.run(Duration::from_secs(8), |_, _, target| target < 4);
    assert!(failed <= 4 * 4, "{failed} requests failed");
    assert!((0..4).all(|n| fleet.ejected(n) == ENTRIES));
    assert_eq!((4..ENGINES).map(|n| fleet.ejected(n)).sum::<usize>(), 0);
}

/// An entry with a bad link must not eject healthy targets for all others.
#[test]
fn one_entry_alone_ejects_nothing_elsewhere() {
    let mut fleet = Fleet::open(ENGINES);
    fleet.run(Duration::from_secs(20), |_, entry, _| entry == 3);
    let by_others = |n| {
        (0..ENTRIES)
            .filter(|e| *e != 3)
            .any(|e| fleet.detectors[e].weight(at(fleet.now), &target(n)) < 1.0)
    };
    assert!(!(0..ENGINES).any(by_others));
}

/// A failure domain with a bad link must not eject healthy targets for the other domains.
#[test]
fn target_unreachable_from_one_domain_stays_in_use_elsewhere() {
    let mut fleet = Fleet::open(ENGINES);
    fleet.run(Duration::from_secs(20), |_, entry, target| entry % 5 == 2 && target < 10);
    let elsewhere = |n| {
        (0..ENTRIES)
            .filter(|e| e % 5 != 2)
            .any(|e| fleet.detectors[e].weight(at(fleet.now), &target(n)) < 1.0)
    };
    assert!(!(0..10).any(elsewhere));
}

/// A busy target that answers most requests must not be ejected.
#[test]
fn partly_failing_busy_target_stays_in_use() {
    let mut fleet = Fleet::open(LOOKUPS);
    fleet.run(Duration::from_secs(20), |random, _, _| random.random_bool(0.14));
    assert_eq!((0..LOOKUPS).map(|n| fleet.ejected(n)).sum::<usize>(), 0);
}

/// Two failures at the same moment must not eject a target before other entries could share that it
/// answers them.
#[test]
fn ejection_waits_for_answers_of_other_entries() {
    let mut detector = Detector::new();
    detector.set_targets(&[target(0), target(1), target(2), target(3)]);
    let now = at(WINDOW);
    detector.apply(now, &target(0), observer(1), Outcome::Failed);
    detector.apply(now + CONFIRMATION_DELAY / 2, &target(0), observer(2), Outcome::Failed);
    assert_eq!(detector.weight(now + CONFIRMATION_DELAY / 2, &target(0)), 1.0);
    detector.apply(now + CONFIRMATION_DELAY, &target(0), observer(4), Outcome::Answered);
    detector.apply(now + CONFIRMATION_DELAY * 2, &target(0), observer(3), Outcome::Failed);
    assert_eq!(detector.weight(now + CONFIRMATION_DELAY * 2, &target(0)), 1.0);
    detector.apply(now + CONFIRMATION_DELAY * 4, &target(0), observer(1), Outcome::Failed);
    assert_eq!(detector.weight(now + CONFIRMATION_DELAY * 4, &target(0)), 0.0);
}

/// An old failure must not count together with a new one.
#[test]
fn outcomes_expire() {
    let mut detector = Detector::new();
    detector.set_targets(&[target(0), target(1), target(2), target(3)]);
    detector.apply(at(WINDOW), &target(0), observer(1), Outcome::Failed);
    detector.apply(at(WINDOW * 3), &target(0), observer(2), Outcome::Failed);
    assert_eq!(detector.weight(at(WINDOW * 3), &target(0)), 1.0);
    detector.apply(
        at(WINDOW * 3) + CONFIRMATION_DELAY / 2,
        &target(0),
        observer(3),
        Outcome::Failed,
    );
    detector.poll(at(WINDOW * 5));
    assert_eq!(detector.weight(at(WINDOW * 5), &target(0)), 1.0);
}
