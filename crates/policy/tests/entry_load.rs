//! Leaving entries out of the directory that carry more than they can.

use std::collections::BTreeMap;
use std::time::Duration;

use fireflyhoist_policy::entry_load::{
    Announcement, Exclusions, HIGH, LOW, MAX_ANNOUNCED, Meter, Pressure, Sample, Selection,
};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

/// Time between two announcements.
const STEP_MS: u64 = 150;

/// Directories that callers ask, each of an entry of its own.
const DIRECTORIES: usize = 4;

/// Callers for each entry.
const CALLERS: usize = 30;

/// Callers where there are few entries, so that chance does not hide what the directory does.
const MIN_CALLERS: usize = 1_000;

/// Entries that one caller is told of.
const LISTED: usize = 60;

/// Time until an answer of the open requests of a caller ends, on average.
const OPEN_S: f64 = 5.0;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
struct Plan {
    entries: usize,
    /// Part of the power of all entries that callers need together.
    used: f64,
    balanced: bool,
    /// Whether long answers make the load, so that it follows the callers by seconds.
    long: bool,
    seconds: u64,
}

#[derive(Debug, Default)]
#[allow(dead_code)]
struct Measured {
    /// Highest pressure of an entry in the second half, in the mean over time.
    busiest: f64,
    /// Mean over entries and time of the pressure in the second half.
    mean: f64,
    /// How often an entry began to be left out, for each entry.
    changes: f64,
    /// The largest change of one entry's callers within two seconds in the second half, as a part of
    /// its mean.
    swing: f64,
    /// Fewest entries in one answer, as a part of those that it could have had.
    fewest: f64,
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn host(nth: usize) -> id::Host {
    format!("entry-{nth:04}").parse().expect("a name")
}

/// Entries of 0.09 and of 0.5 core alternate.
fn power(nth: usize) -> f64 {
    [0.09, 0.5][nth % 2]
}

struct Caller {
    group: usize,
    entry: usize,
    until: u64,
}

fn run(plan: Plan) -> Measured {
    let mut rng = SmallRng::seed_from_u64(plan.entries as u64);
    let all: Vec<(usize, id::Host)> = (0..plan.entries).map(|nth| (nth, host(nth))).collect();
    let groups = plan.entries.div_ceil(LISTED);
    let group_of = |nth: usize| nth / 2 % groups;
    let members: Vec<Vec<&(usize, id::Host)>> = (0..groups)
        .map(|group| all.iter().filter(|(nth, _)| group_of(*nth) == group).collect())
        .collect();
    let count = (plan.entries * CALLERS).max(MIN_CALLERS);
    let mut callers: Vec<Caller> =
        (0..count).map(|nth| Caller { group: nth % groups, entry: 0, until: 0 }).collect();
    let total: f64 = (0..plan.entries).map(power).sum();
    let cores = plan.used * total / callers.len() as f64;
    let mut directories = vec![Selection::default(); DIRECTORIES];
    let mut exclusions = vec![Exclusions::default(); DIRECTORIES];
    let mut meters = vec![Meter::default(); plan.entries];
    let (mut processor, mut open) = (vec![0.0; plan.entries], vec![0.0; plan.entries]);
    let mut pressures: Vec<Vec<f64>> = Vec::new();
    let mut attached: Vec<Vec<f64>> = Vec::new();
    let (mut begun, mut fewest) = (0, 1.0_f64);
    for now in (0..plan.seconds * 1_000).step_by(STEP_MS as usize) {
        for caller in callers.iter_mut().filter(|caller| caller.until <= now) {
            let mut listed = members[caller.group].clone();
            let ready = listed.len();
            let nth = rng.random_range(0..DIRECTORIES);
            exclusions[nth].retain(&mut rng, &mut listed, |one| &one.1);
            fewest = fewest.min(listed.len() as f64 / ready as f64);
            caller.entry = listed[rng.random_range(0..listed.len())].0;
            caller.until = now + rng.random_range(1_000..3_000);
        }
        let mut counts = vec![0.0; plan.entries];
        callers.iter().for_each(|caller| counts[caller.entry] += 1.0);
        let span = STEP_MS as f64 / 1e3;
        let mut announced = Vec::new();
        for nth in 0..plan.entries {
            let need = counts[nth] * cores;
            let used = if plan.long { 0.0 } else { need.min(power(nth)) };
            processor[nth] += used * span;
            open[nth] += (need * 600.0 - open[nth]) * (span / OPEN_S).min(1.0);
            let sample = Sample {
                open: if plan.long { open[nth] as usize } else { 0 },
                processor: Some(Duration::from_secs_f64(processor[nth])),
                power: power(nth),
            };
            meters[nth].record(at(now), sample);
            let pressure = meters[nth].pressure();
            announced.push(Announcement { host: host(nth), power: power(nth), pressure });
        }
        for (nth, directory) in directories.iter_mut().enumerate().filter(|_| plan.balanced) {
            let changes = directory.update(at(now), &announced);
            if nth == 0 {
                begun += changes.iter().filter(|change| change.left_out).count();
            }
            exclusions[nth] = directory.exclusions().clone();
        }
        if now >= plan.seconds * 500 {
            let need = |nth: usize| counts[nth] * cores / power(nth);
            pressures.push((0..plan.entries).map(need).collect());
            attached.push(counts);
        }
    }
    let steps = pressures.len() as f64;
    let mean_of =
        |values: &[Vec<f64>], nth: usize| values.iter().map(|step| step[nth]).sum::<f64>() / steps;
    let by_entry: Vec<f64> = (0..plan.entries).map(|nth| mean_of(&pressures, nth)).collect();
    let ahead = (2_000 / STEP_MS) as usize;
    // Over all entries of one kind, since single entries have few callers.
    let weak: Vec<f64> = attached.iter().map(|step| step.iter().step_by(2).sum::<f64>()).collect();
    let weak_mean = weak.iter().sum::<f64>() / steps;
    let swings = weak.iter().zip(&weak[ahead..]).map(|(a, b)| (a - b).abs() / weak_mean);
    Measured {
        busiest: by_entry.iter().copied().fold(0.0, f64::max),
        mean: by_entry.iter().sum::<f64>() / plan.entries as f64,
        changes: begun as f64 / plan.entries as f64,
        swing: swings.fold(0.0, f64::max),
        fewest,
    }
}

#[test]
fn print_all() {
    for used in [0.45, 0.9] {
        for entries in [2, 30, 195, 1_000] {
            for long in [false, true] {
                for balanced in [false, true] {
                    let plan = Plan { entries, used, balanced, long, seconds: 90 };
                    println!("{plan:?} {:.2?}", run(plan));
                }
            }
        }
    }
}
const _: (Pressure, Pressure, usize) = (HIGH, LOW, MAX_ANNOUNCED);
type _X = BTreeMap<u8, u8>;
#[parameterized(a = {1})]
fn b(_a: u8) {}
