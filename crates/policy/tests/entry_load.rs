//! Leaving entries out of the directory that carry more than they can.

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
const CALLERS: usize = 12;

/// Callers where there are few entries, so that chance does not hide what the directory does.
const MIN_CALLERS: usize = 4_000;

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
struct Measured {
    /// Highest pressure of an entry in the second half, in the mean over time.
    busiest: f64,
    /// Mean over entries and time of the pressure in the second half, which counts weak ones as much as
    /// strong ones.
    mean: f64,
    /// How often an entry began to be left out, for each entry.
    begun: f64,
    /// The largest change of the callers of all weak entries within two seconds in the second half, as
    /// a part of their mean. Single entries have few callers.
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
    let weak: Vec<f64> = attached.iter().map(|step| step.iter().step_by(2).sum::<f64>()).collect();
    let weak_mean = weak.iter().sum::<f64>() / steps;
    let swings = weak.iter().zip(&weak[ahead..]).map(|(a, b)| (a - b).abs() / weak_mean);
    Measured {
        busiest: by_entry.iter().copied().fold(0.0, f64::max),
        mean: by_entry.iter().sum::<f64>() / plan.entries as f64,
        begun: begun as f64 / plan.entries as f64,
        swing: swings.fold(0.0, f64::max),
        fewest,
    }
}

/// Guards against weak entries that carry several times what they can while strong ones are idle, and
/// against callers that go back and forth as all directories learn of a load at once: an entry begins
/// to be left out once, not again and again, and the callers of all weak entries change little.
#[parameterized(
    two = { 2, 0.45, false },
    two_with_long_answers = { 2, 0.45, true },
    thirty = { 30, 0.45, false },
    thirty_with_long_answers = { 30, 0.45, true },
    nearly_all_power_used = { 30, 0.9, false },
    nearly_all_power_used_by_long_answers = { 30, 0.9, true },
    more = { 195, 0.45, false },
    more_with_long_answers = { 195, 0.45, true },
    many = { 1_000, 0.45, false },
    many_with_long_answers = { 1_000, 0.45, true },
)]
fn weak_entries_are_relieved_without_swings(entries: usize, used: f64, long: bool) {
    let plan = Plan { entries, used, balanced: false, long, seconds: 50 };
    let without = run(plan);
    let with = run(Plan { balanced: true, ..plan });
    println!("without {without:.2?}, with {with:.2?}");
    assert!(without.busiest > 1.3, "{without:?}");
    assert!(with.busiest < 1.1, "{with:?}");
    let excess = |one: &Measured| one.busiest - one.mean;
    assert!(excess(&with) < 0.5 * excess(&without), "{with:?}");
    assert!(with.begun <= 1.0, "{with:?}");
    assert!(with.swing < without.swing + 0.15, "{with:?}");
    assert!(with.fewest >= 0.5, "{with:?}");
}

/// Guards against entries that are left out although the load is even and all have room, or although
/// none has.
#[parameterized(
    idle = { 0.1 },
    busy = { 0.8 },
    overloaded = { 1.5 },
)]
fn even_entries_are_all_listed(pressure: f64) {
    let mut selection = Selection::default();
    for step in 0..400 {
        let changes = selection.update(at(step * STEP_MS), &announced(&[pressure; 12]));
        assert_eq!(changes, []);
    }
    assert!(selection.exclusions().is_empty());
}

fn announced(parts: &[f64]) -> Vec<Announcement> {
    let one = |(nth, part): (usize, &f64)| Announcement {
        host: host(nth),
        power: 0.3,
        pressure: Pressure::from_part(*part),
    };
    parts.iter().enumerate().map(one).collect()
}

/// Guards against answers without entries, or with too few, whatever entries announce.
#[test]
fn at_most_half_of_the_entries_are_left_out() {
    let mut rng = SmallRng::seed_from_u64(3);
    for count in 1..20 {
        let mut selection = Selection::default();
        for step in 0..400 {
            let parts: Vec<f64> = (0..count).map(|_| rng.random_range(0.0..3.0)).collect();
            selection.update(at(step * STEP_MS), &announced(&parts));
            let mut listed: Vec<id::Host> = (0..count).map(host).collect();
            selection.exclusions().retain(&mut rng, &mut listed, |host| host);
            assert!(listed.len() >= count.div_ceil(2), "{} of {count}", listed.len());
        }
    }
}

/// Guards against an entry that begins to be left out below the high watermark or returns above the
/// low one, and against one that is left out for good.
#[test]
fn an_entry_is_left_out_above_the_high_watermark_and_returns_below_the_low_one() {
    let mut selection = Selection::default();
    let mut now = 0;
    let mut hold = |selection: &mut Selection, part: f64, seconds: u64| {
        let mut changes = Vec::new();
        for _ in 0..seconds * 1_000 / STEP_MS {
            now += STEP_MS;
            let parts = [part, 0.1, 0.1, 0.1];
            changes.extend(selection.update(at(now), &announced(&parts)));
        }
        changes.into_iter().map(|change| (change.host, change.left_out)).collect::<Vec<_>>()
    };
    assert_eq!(hold(&mut selection, HIGH.part(), 20), []);
    assert_eq!(hold(&mut selection, HIGH.part() + 0.1, 20), [(host(0), true)]);
    assert_eq!(hold(&mut selection, LOW.part(), 60), []);
    assert_eq!(hold(&mut selection, LOW.part() - 0.2, 80), [(host(0), false)]);
}

/// Guards against an entry that stays left out after it was cut off, paused or replaced by an earlier
/// release, none of which announces a load.
#[test]
fn an_entry_that_announces_nothing_is_listed() {
    let mut selection = Selection::default();
    for step in 0..100 {
        selection.update(at(step * STEP_MS), &announced(&[3.0, 0.1, 0.1]));
    }
    assert_eq!(selection.exclusions().len(), 1);
    let others = announced(&[3.0, 0.1, 0.1]).split_off(1);
    let changes = selection.update(at(100 * STEP_MS), &others);
    assert_eq!(changes.len(), 1);
    assert!(!changes[0].left_out && changes[0].pressure.is_none(), "{changes:?}");
    assert!(selection.exclusions().is_empty());
}

/// Guards against a pause of an entry's process after which it leaves out another one at once, by an
/// announcement from before the pause.
#[test]
fn a_pause_does_not_count_as_time_of_overload() {
    let mut selection = Selection::default();
    selection.update(at(0), &announced(&[1.0, 0.1, 0.1]));
    selection.update(at(60_000), &announced(&[1.0, 0.1, 0.1]));
    let mut rng = SmallRng::seed_from_u64(3);
    let mut left_out = 0;
    for _ in 0..1_000 {
        let mut listed: Vec<id::Host> = (0..3).map(host).collect();
        selection.exclusions().retain(&mut rng, &mut listed, |host| host);
        left_out += 3 - listed.len();
    }
    assert!(left_out < 100, "{left_out} of 1,000 answers");
}

/// Guards against heartbeats that grow with the number of entries.
#[test]
fn leaves_are_told_of_a_bounded_number_of_entries() {
    let mut selection = Selection::default();
    let parts: Vec<f64> = (0..200).map(|nth| if nth % 4 == 0 { 2.0 } else { 0.1 }).collect();
    for step in 0..100 {
        selection.update(at(step * STEP_MS), &announced(&parts));
    }
    assert_eq!(selection.exclusions().len(), 50);
    assert_eq!(selection.exclusions().announced().len(), MAX_ANNOUNCED);
}

/// Guards against a measure that ignores the power of a host, or one of the two kinds of load.
#[parameterized(
    idle = { 0, 0.0, 0.0 },
    processor = { 0, 0.09, 0.9 },
    open_requests = { 60, 0.0, 1.0 },
    both = { 60, 0.09, 1.0 },
)]
fn a_pressure_is_the_larger_of_both_loads(open: usize, cores: f64, expected: f64) {
    let mut meter = Meter::default();
    for step in 0..100 {
        let processor = Some(Duration::from_secs_f64(cores * step as f64 * 0.15));
        meter.record(at(step * STEP_MS), Sample { open, processor, power: 0.1 });
    }
    assert!((meter.pressure().part() - expected).abs() < 0.01, "{}", meter.pressure());
}

/// Guards against pressures that are written and read differently.
#[test]
fn a_pressure_is_read_as_it_is_written() {
    for part in [0.0, 0.85, 1.0, 12.345] {
        let pressure = Pressure::from_part(part);
        assert_eq!(pressure.to_string().parse(), Ok(pressure));
    }
    for text in ["", "-1", "70", "NaN", "x"] {
        assert!(text.parse::<Pressure>().is_err(), "{text}");
    }
}
