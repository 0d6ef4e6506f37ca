//! Fair shares of workspaces over all entries.

#[path = "support/shares_fleet.rs"]
mod shares_fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflyhoist_policy::fleet_share::{Amount, HEAVIEST, Peers, Shares};
use fireflyhoist_policy::gate::{Class, Gate, Outcome, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shares_fleet::{Demand, Fault, Results, Scenario, Simulation, Way, service, workspace};
use yare::parameterized;

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

/// Returns what happens without and with shares over the fleet.
fn both(actives: usize, demands: &[Demand], fault: Fault) -> [Results; 2] {
    [false, true].map(|shares| {
        let scenario = Scenario { actives, demands: demands.to_vec(), shares, fault, seed: 7 };
        let results = Simulation::run(&scenario);
        let parts = results.parts_of_share(demands);
        let half = demands.len() / 2;
        println!(
            "{actives} entries, shares {shares}: {:.0} tokens/s, first {:.2}, least {:.2}, answered {:.2} {:.2}, {} bytes",
            results.work_per_second(),
            parts[0],
            results.least(demands),
            results.answered(0..half),
            results.answered(half..demands.len()),
            results.max_bytes
        );
        results
    })
}

/// Returns the demands of a workspace that asks for ten times as much as each of 23 others.
fn large_and_even(load: f64, large: Demand) -> Vec<Demand> {
    let large = Demand { part: load * 10.0 / 33.0, ..large };
    let others = (0..23).map(|_| Demand::of(load / 33.0));
    std::iter::once(large).chain(others).collect()
}

/// A workspace asks for ten times as much as each other, and the demand of all is some multiple of
/// what fits. If each entry counts only what it serves itself, a workspace that sends to one entry
/// after another receives several times its share. No work that fits may be lost.
#[parameterized(
    two_entries = { 2, 2.0, Way::All },
    one_entry_of_two = { 2, 2.0, Way::One(1) },
    fleet_of_30_below = { 12, 0.8, Way::All },
    fleet_of_30_even = { 12, 1.0, Way::All },
    fleet_of_30_above = { 12, 1.2, Way::Rotating },
    fleet_of_30 = { 12, 2.0, Way::All },
    fleet_of_30_by_one = { 12, 2.0, Way::One(3) },
    fleet_of_30_rotating = { 12, 2.0, Way::Rotating },
    fleet_of_195 = { 16, 2.0, Way::Rotating },
    fleet_of_1000 = { 30, 2.0, Way::Rotating },
    fleet_of_1000_by_one = { 30, 1.2, Way::One(3) },
)]
fn a_large_workspace_gets_its_share_and_what_others_leave(actives: usize, load: f64, way: Way) {
    let demands = large_and_even(load, Demand { way, ..Demand::of(0.0) });
    let [off, on] = both(actives, &demands, Fault::None);
    assert!(on.work_per_second() > 0.92 * off.work_per_second());
    assert!(on.least(&demands) > 0.75);
    assert!(on.least(&demands) > off.least(&demands) - 0.1);
    assert!(on.parts_of_share(&demands)[0] < 2.0);
}

/// A workspace that asks for ten times as much does so with many short or few long requests. Counted
/// in requests, the long ones would take several shares.
#[parameterized(short = { 600, 20 }, long = { 2_000, 500 }, longest = { 3_000, 900 })]
fn sizes_of_requests_make_no_difference(prompt: u64, tokens: u64) {
    let large = Demand { prompt, tokens, way: Way::Rotating, ..Demand::of(0.0) };
    let demands = large_and_even(2.0, large);
    let [off, on] = both(12, &demands, Fault::None);
    assert!(on.work_per_second() > 0.9 * off.work_per_second());
    assert!(on.least(&demands) > off.least(&demands));
    let large = [&off, &on].map(|results| results.parts_of_share(&demands)[0]);
    assert!((0.4..3.0).contains(&large[1]) && large[1] < large[0].max(1.2), "{large:?}");
}

/// The sizes of 24 workspaces are 1 / n. Those that ask for less than their share must get all of
/// it, whichever entries the large ones use.
#[parameterized(even = { 1.0 }, above = { 1.2 }, twice = { 2.0 })]
fn uneven_workspaces_get_their_shares(load: f64) {
    let all: f64 = (1..=24).map(|n| 1.0 / f64::from(n)).sum();
    let part = |n: i32| load / f64::from(n) / all;
    let ways = [Way::Rotating, Way::One(2), Way::All];
    let demand = |n: i32| Demand { way: ways[n as usize % 3], ..Demand::of(part(n)) };
    let demands: Vec<Demand> = (1..=24).map(demand).collect();
    let [off, on] = both(12, &demands, Fault::None);
    assert!(on.work_per_second() > 0.92 * off.work_per_second());
    assert!(on.answered(12..24) > off.answered(12..24) - 0.02);
    assert!(on.answered(12..24) > 0.85);
}

/// Ten of 5,600 workspaces ask for nine tenths of twice what fits. The many small ones must be served,
/// and what is announced and kept must not grow with them.
#[test]
fn few_large_workspaces_leave_room_for_thousands() {
    let large = (0..10).map(|_| Demand { way: Way::Rotating, ..Demand::of(0.18) });
    let small = (10..5_600).map(|_| Demand::of(0.2 / 5_590.0));
    let demands: Vec<Demand> = large.chain(small).collect();
    let [off, on] = both(12, &demands, Fault::None);
    println!("answered {:.2} {:.2}", off.answered(10..5_600), on.answered(10..5_600));
    assert!(on.answered(10..5_600) > 0.9);
    assert!(on.answered(10..5_600) > off.answered(10..5_600) - 0.02);
    assert!(on.max_bytes < 800, "{}", on.max_bytes);
}

/// A workspace sends one request in ten seconds while the others ask for twice what fits. It must
/// not wait behind them.
#[test]
fn a_rare_request_is_served() {
    let mut demands = large_and_even(2.0, Demand { way: Way::Rotating, ..Demand::of(0.0) });
    demands.push(Demand::of(0.1 * 250.0 / shares_fleet::CAPACITY));
    let [_, on] = both(12, &demands, Fault::None);
    let rare = &on.workspaces[24];
    assert_eq!(rare.offered, rare.answered + usize::from(rare.offered > rare.answered));
    assert!(rare.offered > 0 && rare.max_wait < seconds(3), "{rare:?}");
}

/// A workspace that was silent for half a minute asks for twice what fits. Credit for the silence
/// would let it take everything for as long.
#[test]
fn silence_earns_bounded_credit() {
    let mut demands = large_and_even(1.2, Demand::of(0.0));
    demands.push(Demand { from: seconds(30), ..Demand::of(2.0) });
    let [_, on] = both(12, &demands, Fault::None);
    let work = |from: usize, to: usize| -> f64 {
        on.by_second[from..to].iter().filter_map(|by| by.get(&24)).sum::<f64>()
    };
    let part =
        |from: usize, to: usize| work(from, to) / (to - from) as f64 / shares_fleet::CAPACITY;
    println!("{:.2} {:.2} {:.2}", part(30, 35), part(35, 40), part(40, 59));
    assert!(part(30, 40) < 0.5);
    assert!(part(40, 59) < 0.25);
}

/// Half of the links are lost, an entry ends or has just started, or one is of the previous release.
/// The others must go on with what they know.
#[parameterized(
    links = { Fault::LostLinks(seconds(25)) },
    killed = { Fault::Killed(seconds(30)) },
    started = { Fault::Started(seconds(30)) },
    previous_release = { Fault::Silent },
)]
fn shares_hold_when_figures_are_missing(fault: Fault) {
    let demands = large_and_even(1.2, Demand { way: Way::Rotating, ..Demand::of(0.0) });
    let [off, on] = both(12, &demands, fault);
    assert!(on.work_per_second() > 0.92 * off.work_per_second());
    assert!(on.least(&demands) > off.least(&demands) - 0.1);
}

fn amount(held: u64) -> Amount {
    Amount { held, received: held, waiting: 0 }
}

fn shares(amounts: impl IntoIterator<Item = (usize, u64)>) -> Shares {
    let amounts: BTreeMap<id::Workspace, Amount> =
        amounts.into_iter().map(|(nth, held)| (workspace(nth), amount(held))).collect();
    Shares::of(amounts)
}

fn host(name: &str) -> id::Host {
    name.parse().expect("a name")
}

/// Returns what a workspace holds according to a sum.
fn held(sum: &Shares, nth: usize) -> Option<u64> {
    let share = sum.heaviest().iter().find(|share| share.workspace == workspace(nth));
    share.map(|share| share.amount.held)
}

/// What an entry announces must stay small, and its total must not be lost with the lightest
/// workspaces.
#[test]
fn an_announcement_lists_the_heaviest_and_sums_the_rest() {
    let many = shares((0..5_600).map(|nth| (nth, 100 + nth as u64)));
    assert_eq!(many.heaviest().len(), HEAVIEST);
    assert!(many.heaviest().iter().all(|share| share.amount.held >= 100 + 5_600 - 16));
    assert_eq!(many.count(), 5_600);
    assert_eq!(many.total().held, (0..5_600u64).map(|nth| 100 + nth).sum::<u64>());
    let twice = Shares::sum([&many, &many]);
    assert_eq!((twice.heaviest().len(), twice.count()), (HEAVIEST, 5_600));
    assert_eq!(twice.total().held, 2 * many.total().held);
}

/// The figures of an entry whose link is lost are still right for some seconds. If they were dropped
/// at once, its workspaces would look light; if they were kept, a killed entry would count forever.
#[test]
fn figures_of_a_silent_entry_fade() {
    let mut peers = Peers::default();
    let at = |s: u64| Time::ZERO + seconds(s);
    peers.replace(at(0), &host("a"), [(service(), shares([(1, 1_000)]))]);
    let sum = |now| Shares::long_sum(&peers.shares(now, &service(), |_| true));
    assert_eq!(held(&sum(at(2)), 1), Some(1_000));
    assert_eq!(held(&sum(at(4)), 1), Some(800));
    assert_eq!(held(&sum(at(7)), 1), Some(200));
    assert!(sum(at(8)).is_empty());
    assert!(sum(at(2)).total().received < 800);
}

/// A peer that announces more than it may must not make this entry keep it.
#[test]
fn a_list_that_is_too_long_is_cut() {
    let entries: Vec<String> = (0..500).map(|n| format!(r#"["w-{n}",{n},0,0]"#)).collect();
    let rest = r#"{"held":0,"received":0,"waiting":0}"#;
    let text = format!(r#"{{"top":[{}],"rest":{rest},"n":0}}"#, entries.join(","));
    let long: Shares = serde_json::from_str(&text).expect("shares");
    assert_eq!(long.heaviest().len(), 500);
    let mut peers = Peers::default();
    peers.replace(Time::ZERO, &host("a"), [(service(), long)]);
    let kept = peers.shares(Time::ZERO, &service(), |_| true);
    assert_eq!(kept[0].heaviest().len(), HEAVIEST);
}

fn request(number: u128, workspace: id::Workspace, now: Time) -> Request {
    Request {
        id: id::Request::new(number),
        workspace,
        class: Class::Live,
        rank: 0,
        prompt: Tokens::new(800),
        limit: Tokens::new(400),
        prefix: 0,
        objective: now + seconds(4),
        deadline: now + seconds(10),
        avoid: None,
        retry: false,
    }
}

/// Drives a gate through seeded requests, reports and ends, and returns its decisions.
fn decisions(gate: &mut Gate, seed: u64, mut step: impl FnMut(&mut Gate, Time)) -> Vec<Verdict> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let targets: Vec<id::Target> = (0..4).map(|n| format!("t{n}").parse().expect("name")).collect();
    gate.set_targets(Time::ZERO, targets.clone());
    let (mut verdicts, mut running): (Vec<Verdict>, Vec<u128>) = (Vec::new(), Vec::new());
    for number in 0..1_500u128 {
        let now = Time::ZERO + Duration::from_millis(20) * u32::try_from(number).unwrap_or(0);
        step(gate, now);
        let used = Tokens::new(rng.random_range(8_000..10_000));
        let report = Report { capacity: Tokens::new(10_000), used, ..Report::default() };
        let target = &targets[rng.random_range(0..4)];
        gate.report(now, target, &report, Duration::ZERO);
        let of = workspace(rng.random_range(0..6usize).pow(2) / 5);
        let verdict = gate.offer(now, &mut rng, request(number, of, now));
        if matches!(verdict, Verdict::Send(_)) {
            running.push(number);
        }
        verdicts.push(verdict);
        running.iter().for_each(|id| gate.progress(now, id::Request::new(*id), Tokens::new(1)));
        if running.len() > 16 {
            let ended = id::Request::new(running.remove(rng.random_range(0..8)));
            gate.progress(now, ended, Tokens::new(rng.random_range(2..300)));
            gate.finish(now, ended, Outcome::Whole);
        }
        for (id, verdict) in gate.poll(now, &mut rng) {
            if matches!(verdict, Verdict::Send(_)) {
                running.push(id.get());
            }
            verdicts.push(verdict);
        }
    }
    verdicts
}

/// With the switch off, nothing that other entries announce may change a decision, and an entry that
/// turned it on and off again decides as before.
#[test]
fn decisions_are_the_same_while_the_switch_is_off() {
    let settings = Settings { shed_late: true, share: false, ..Settings::default() };
    let announced = shares([(0, 90_000), (1, 5_000), (2, 1)]);
    let mut changed = 0;
    for seed in 0..8 {
        let before = decisions(&mut Gate::open(settings.clone()), seed, |_, _| {});
        let kinds: BTreeSet<_> =
            before.iter().map(std::mem::discriminant).map(|d| format!("{d:?}")).collect();
        assert_eq!(kinds.len(), 3, "requests are sent, queued and refused");
        let others = |gate: &mut Gate, now| gate.set_others(now, announced.clone());
        assert_eq!(decisions(&mut Gate::open(settings.clone()), seed, others), before);
        let mut switched = Gate::open(settings.clone());
        switched.set_scheduling(|settings| settings.fleet_shares = true);
        switched.set_others(Time::ZERO, announced.clone());
        switched.set_scheduling(|settings| settings.fleet_shares = false);
        assert_eq!(decisions(&mut switched, seed, |_, _| {}), before);
        let mut on = Gate::open(Settings { fleet_shares: true, ..settings.clone() });
        changed += usize::from(decisions(&mut on, seed, others) != before);
    }
    assert!(changed > 0, "the figures change decisions where the switch is on");
}

/// Two actives and a leaf of the first exchange what they know along their links, as entries do. An
/// entry that counts the leaf or itself again with each exchange would see ever more.
#[test]
fn each_entry_counts_once_along_the_links() {
    let (first, second, leaf) = (host("first"), host("second"), host("leaf"));
    let own = |held: u64| shares([(1, held)]);
    let mut peers = [Peers::default(), Peers::default(), Peers::default()];
    let sum = |peers: &Peers, own: &Shares, is_included: &dyn Fn(&id::Host) -> bool| {
        let others = peers.shares(Time::ZERO, &service(), is_included);
        Shares::sum(others.iter().chain([own]))
    };
    for _ in 0..5 {
        // The leaf tells its primary, an active the other one with its leaves, and the first its leaf.
        peers[0].replace(Time::ZERO, &leaf, [(service(), own(1))]);
        let with_leaf = sum(&peers[0], &own(10), &|host| *host == leaf);
        peers[1].replace(Time::ZERO, &first, [(service(), with_leaf)]);
        let alone = sum(&peers[1], &own(100), &|_| false);
        peers[0].replace(Time::ZERO, &second, [(service(), alone)]);
        let for_leaf = sum(&peers[0], &own(10), &|host| *host != leaf);
        peers[2].replace(Time::ZERO, &first, [(service(), for_leaf)]);
    }
    for (peers, held_here) in peers.iter().zip([10, 100, 1]) {
        assert_eq!(held(&sum(peers, &own(held_here), &|_| true), 1), Some(111));
    }
}
