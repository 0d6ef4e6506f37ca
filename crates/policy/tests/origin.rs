//! What began a stream stays known while entries are lost, and only to those who may know.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflyhoist_policy::id::{self, Host};
use fireflyhoist_policy::origin::{
    self, COPIES, Constraint, Key, Ledger, Lookups, MAX_ORIGINS, Origin, Outbox, TTL, Update,
};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::topology::{self, Member};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

/// Failure domains of the fleet.
const DOMAINS: usize = 5;

/// Streams that are open when entries are lost.
const STREAMS: usize = 2_000;

fn origin_of(software: &str) -> Origin {
    let service = "pages".parse().expect("a name");
    Origin { service, software: software.parse().expect("a version") }
}

fn key(nth: usize) -> Key {
    Key::of(None, &format!("r-{nth}"))
}

fn update<const N: usize>(software: &str, keys: [Key; N]) -> Update {
    Update { origin: origin_of(software), keys: keys.to_vec(), corrected: false }
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn member(nth: usize) -> Member {
    Member {
        host: format!("entry-{nth}").parse().expect("a name"),
        domain: format!("d-{}", nth % DOMAINS).parse().expect("a name"),
        power: 0.12 + (nth % 3) as f64 * 0.1,
        peers: "127.0.0.1:1".parse().expect("an address"),
        callers: "127.0.0.1:2".parse().expect("an address"),
    }
}

fn hosts<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<Host> {
    members.into_iter().map(|member| member.host.clone()).collect()
}

/// The actives of a fleet, with what each keeps of streams that began at any of them.
struct Fleet {
    actives: Vec<Member>,
    ledgers: BTreeMap<Host, Ledger>,
    /// Messages sent to tell origins.
    told: usize,
}

impl Fleet {
    fn open(entries: usize, rng: &mut ChaCha8Rng) -> Self {
        let members: Vec<Member> = (0..entries).map(member).collect();
        let actives: Vec<Member> = topology::actives(&members).into_iter().cloned().collect();
        let ledgers = hosts(&actives).into_iter().map(|host| (host, Ledger::default())).collect();
        let mut fleet = Self { actives, ledgers, told: 0 };
        for nth in 0..STREAMS {
            let at = fleet.actives.choose(rng).expect("an active").host.clone();
            let others: Vec<Host> =
                hosts(&fleet.actives).into_iter().filter(|host| *host != at).collect();
            fleet.ledger(&at).begin(Time::ZERO, key(nth), origin_of("v1"));
            for keeper in origin::keepers(key(nth), &others) {
                let update = update("v1", [key(nth)]);
                fleet.ledger(keeper).apply(Time::ZERO, vec![update]);
                fleet.told += 1;
            }
        }
        fleet
    }

    fn ledger(&mut self, host: &Host) -> &mut Ledger {
        self.ledgers.get_mut(host).expect("an active")
    }

    fn knows(&self, host: &Host, nth: usize) -> bool {
        self.ledgers[host].get(Time::ZERO, key(nth)).is_some()
    }

    /// Asks as an entry does that gets a stream to take up: what it knows itself, and those that
    /// should keep it among the entries that are left.
    fn is_found(&self, nth: usize, asker: &Host) -> bool {
        let others: Vec<Host> =
            hosts(&self.actives).into_iter().filter(|host| host != asker).collect();
        let keepers = origin::keepers(key(nth), &others);
        assert!(keepers.len() <= COPIES);
        keepers.into_iter().chain([asker]).any(|host| self.knows(host, nth))
    }

    /// Loses entries and what they keep.
    fn lose(&mut self, lost: &BTreeSet<Host>) {
        self.actives.retain(|member| !lost.contains(&member.host));
        self.ledgers.retain(|host, _| !lost.contains(host));
    }

    /// Returns how many streams a random entry finds. Those that it doesn't are known to none, or only
    /// to the entry that began them, which is found by asking all.
    fn found(&self, rng: &mut ChaCha8Rng) -> usize {
        let is_found = |nth: &usize| {
            let asker = &self.actives.choose(rng).expect("an active is left").host;
            let found = self.is_found(*nth, asker);
            let knowing = self.ledgers.keys().filter(|host| self.knows(host, *nth)).count();
            assert!(found || knowing <= 1, "{knowing} entries know what {asker} doesn't find");
            found
        };
        (0..STREAMS).filter(is_found).count()
    }
}

/// Guards against streams that nobody can take up once the entries of a failure domain are lost, or
/// half of all entries.
#[parameterized(
    two = { 2, false },
    six = { 6, false },
    thirty = { 30, false },
    many = { 195, false },
    thousand = { 1_000, false },
    half_of_six = { 6, true },
    half_of_thirty = { 30, true },
    half_of_thousand = { 1_000, true },
)]
fn origins_outlast_the_loss_of_entries(entries: usize, half: bool) {
    for seed in 0..5 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::open(entries, &mut rng);
        assert!(fleet.told <= COPIES * STREAMS);
        let all = hosts(&fleet.actives);
        let lost: BTreeSet<Host> = match half {
            true => all.choose_multiple(&mut rng, all.len() / 2).cloned().collect(),
            false => {
                let domain = &fleet.actives[0].domain.clone();
                let of = fleet.actives.iter().filter(|member| member.domain == *domain);
                hosts(of).into_iter().take(all.len() - 1).collect()
            }
        };
        fleet.lose(&lost);
        let found = fleet.found(&mut rng);
        assert!(2 * found > STREAMS, "most streams go on: {found} of {STREAMS}");
    }
}

/// Guards against a share of all streams at one entry that grows with the fleet.
#[parameterized(
    thirty = { 30 },
    thousand = { 1_000 },
)]
fn origins_are_spread_over_the_actives(entries: usize) {
    let fleet = Fleet::open(entries, &mut ChaCha8Rng::seed_from_u64(1));
    let mean = (COPIES + 1) * STREAMS / fleet.actives.len();
    let most = fleet.ledgers.values().map(Ledger::len).max().expect("an active");
    assert!(most < 2 * mean, "{most} at one entry, {mean} in the mean");
}

/// Guards against a second origin of a stream that has begun: only the first may go on with it.
#[test]
fn the_first_origin_of_a_stream_holds() {
    let mut ledger = Ledger::default();
    ledger.begin(at(0), key(1), origin_of("v1"));
    ledger.apply(at(10), vec![update("v2", [key(1), key(2)])]);
    ledger.end(at(20), key(1));
    assert_eq!(ledger.get(at(30), key(1)), Some(origin_of("v1")));
    assert_eq!(ledger.get(at(30), key(2)), Some(origin_of("v2")));
}

/// Guards against origins that are kept for ever, or dropped while their streams are relayed.
#[test]
fn origins_are_kept_as_long_as_callers_come_back() {
    let mut ledger = Ledger::default();
    let ttl = u64::try_from(TTL.as_millis()).expect("a time");
    ledger.begin(at(0), key(1), origin_of("v1"));
    ledger.apply(at(0), vec![update("v1", [key(2)])]);
    assert_eq!(ledger.get(at(ttl), key(2)), None);
    assert_eq!(ledger.get(at(10 * ttl), key(1)), Some(origin_of("v1")), "it is open");
    ledger.end(at(10 * ttl), key(1));
    assert_eq!(ledger.get(at(11 * ttl - 1), key(1)), Some(origin_of("v1")));
    assert_eq!(ledger.get(at(11 * ttl), key(1)), None);
}

/// Guards against memory that grows with the streams that callers begin.
#[test]
fn the_number_of_origins_is_bounded() {
    let mut ledger = Ledger::default();
    for nth in 0..2 * MAX_ORIGINS {
        ledger.begin(at(0), key(nth), origin_of("v1"));
        ledger.end(at(0), key(nth));
    }
    assert!(ledger.len() <= MAX_ORIGINS);
    assert!(ledger.get(at(0), key(2 * MAX_ORIGINS - 1)).is_some());
}

/// Guards against a workspace that learns of the streams of another.
#[test]
fn a_stream_is_known_to_its_workspace_only() {
    let workspace = |name: &str| -> id::Workspace { name.parse().expect("a name") };
    let (own, other) = (workspace("archive"), workspace("members"));
    let key = Key::of(Some(&own), "r-1");
    assert_ne!(key, Key::of(Some(&other), "r-1"));
    assert_ne!(key, Key::of(None, "r-1"));
    assert_eq!(key, Key::of(Some(&own), "r-1"));
}

/// Guards against a caller that names attempts which never existed having the fleet asked for each,
/// or using up what others may ask.
#[test]
fn invented_attempts_cause_bounded_work() {
    let mut lookups = Lookups::default();
    let workspace: id::Workspace = "archive".parse().expect("a name");
    let taken = (0..100_000).filter(|_| lookups.try_take(at(0), Some(&workspace))).count();
    let wide = (0..taken).filter(|_| lookups.try_take_wide(at(0))).count();
    assert!(taken < 1_000 && wide < 100, "{taken} lookups, {wide} of them at all entries");
    assert!(lookups.try_take(at(0), None), "other workspaces are not held up");
    assert!(lookups.try_take(at(1_000), Some(&workspace)));
}

/// Guards against the origins of many streams in many messages.
#[test]
fn origins_for_one_entry_share_a_message() {
    let mut outbox = Outbox::default();
    let host: Host = "entry-1".parse().expect("a name");
    for nth in 0..30 {
        outbox.push(host.clone(), key(nth), origin_of(["v1", "v2"][nth % 2]), false);
    }
    let due = outbox.take();
    assert_eq!((due.len(), due[0].1.len()), (1, 2));
    assert_eq!(due[0].1.iter().map(|update| update.keys.len()).sum::<usize>(), 30);
    assert!(outbox.take().is_empty());
}

/// Guards against a stream that goes on at a target whose version only seems to be the same, or is
/// not known.
#[test]
fn versions_are_equal_only_if_their_texts_are() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let versions = ["v1", "V1", "v1.0", "v1 ", ""];
    let parse = |text: &str| text.parse().expect("a version");
    let constraint = Constraint::to(Some(&parse("v1")));
    let target = |software: Option<&str>| fireflyhoist_policy::lease::Target {
        id: "e-1".parse().expect("a name"),
        instance: "e-1".into(),
        service: "pages".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "d-1".parse().expect("a name"),
        state: fireflyhoist_policy::lease::State::Ready,
        renewal: rng.random(),
        start: None,
        cold_ms: 0,
        slots: 0,
        software: software.map(parse),
    };
    let mut target = target;
    let allowed = versions.map(|version| constraint.allows(&target(Some(version))));
    assert_eq!(allowed, [true, false, false, false, false]);
    assert!(!constraint.allows(&target(None)));
    assert!(!Constraint::to(None).allows(&target(None)));
    assert!(Constraint::Free.allows(&target(None)));
}

/// Guards against keeping the version that an engine was listed with before it started again, whatever
/// the order in which the origin and its correction arrive.
#[parameterized(
    in_order = { [false, true] },
    correction_first = { [true, false] },
    told_again = { [true, true] },
)]
fn a_correction_replaces_what_was_told_first(order: [bool; 2]) {
    let mut ledger = Ledger::default();
    for (nth, corrected) in order.into_iter().enumerate() {
        let software = if corrected { "v2" } else { "v1" };
        let update = Update { corrected, ..update(software, [key(1)]) };
        ledger.apply(at(nth as u64), vec![update]);
    }
    ledger.apply(at(2), vec![update("v1", [key(1), key(2)])]);
    assert_eq!(ledger.get(at(3), key(1)), Some(origin_of("v2")));
    assert_eq!(ledger.get(at(3), key(2)), Some(origin_of("v1")));
}

/// Guards against an entry that tells the first origin of a stream again after it has corrected it.
#[test]
fn a_corrected_origin_is_told_as_corrected() {
    let mut ledger = Ledger::default();
    ledger.begin(at(0), key(1), origin_of("v1"));
    ledger.correct(at(1), key(1), origin_of("v2"));
    ledger.begin(at(2), key(1), origin_of("v1"));
    let open: Vec<_> = ledger.open().collect();
    assert_eq!(open, [(key(1), &origin_of("v2"), true)]);
    let mut outbox = Outbox::default();
    outbox.push("entry-1".parse().expect("a name"), key(1), origin_of("v1"), false);
    outbox.push("entry-1".parse().expect("a name"), key(1), origin_of("v2"), true);
    let told = outbox.take().into_iter().flat_map(|(_, updates)| updates).collect();
    let mut other = Ledger::default();
    other.apply(at(3), told);
    ledger.end(at(4), key(1));
    assert_eq!(other.get(at(5), key(1)), Some(origin_of("v2")));
    assert_eq!(ledger.get(at(5), key(1)), Some(origin_of("v2")));
}
