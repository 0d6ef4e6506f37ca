//! Entries of a large fleet end, and must not be offered to callers for long.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::presence::{Presence, Publisher, Subscriber};
use fireflyhoist_policy::topology::{self, Member};
use yare::parameterized;

const ENTRIES: usize = 195;
const DOMAINS: usize = 5;

/// The silence after which a link counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// The interval at which an entry checks its links and announces changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The time within which no entry may offer one that has ended.
const MAX_OFFERED: Duration = Duration::from_secs(7);

fn member(n: usize) -> Member {
    Member {
        host: format!("h-{n}").parse().expect("a name"),
        domain: format!("d-{}", n % DOMAINS).parse().expect("a name"),
        power: if n < 15 { 0.5 } else { 0.12 },
        peers: format!("127.0.0.1:{}", 1_000 + n).parse().expect("an address"),
        callers: format!("127.0.0.1:{}", 3_000 + n).parse().expect("an address"),
    }
}

#[derive(Default)]
struct Entry {
    publisher: Publisher,
    /// The entries that it has links to, and what each of them announces.
    links: BTreeMap<usize, Subscriber>,
    offered: BTreeSet<id::Host>,
}

/// A fleet whose entries all check their links in turn.
struct Fleet {
    entries: Vec<Entry>,
    /// The check in which each entry ended.
    ended: BTreeMap<usize, u32>,
    check: u32,
    /// Entries that have a single link.
    single_link: BTreeSet<usize>,
}

impl Fleet {
    fn open(single_link: BTreeSet<usize>) -> Self {
        let entries = (0..ENTRIES).map(|_| Entry::default()).collect();
        let mut fleet = Self { entries, ended: BTreeMap::new(), check: 0, single_link };
        let all: Vec<Member> = (0..ENTRIES).map(member).collect();
        let actives = topology::actives(&all);
        let numbers: BTreeMap<&id::Host, usize> =
            all.iter().enumerate().map(|(n, member)| (&member.host, n)).collect();
        for (n, own) in all.iter().enumerate() {
            let mut links: Vec<usize> =
                topology::links(own, &actives).iter().map(|other| numbers[&other.host]).collect();
            if fleet.single_link.contains(&n) {
                links.truncate(1);
            }
            for other in links {
                fleet.entries[n].links.entry(other).or_default();
                fleet.entries[other].links.entry(n).or_default();
            }
        }
        (0..5).for_each(|_| fleet.step());
        fleet
    }

    /// Returns whether the links to an entry count as lost.
    fn is_lost(&self, other: usize) -> bool {
        let silent = |at: &u32| CHECK_INTERVAL * (self.check - at) >= SILENCE_TIMEOUT;
        self.ended.get(&other).is_some_and(silent)
    }

    fn step(&mut self) {
        self.check += 1;
        for n in (0..ENTRIES).filter(|n| !self.ended.contains_key(n)).collect::<Vec<_>>() {
            let lost: Vec<usize> = self.entries[n]
                .links
                .keys()
                .copied()
                .filter(|other| self.is_lost(*other))
                .collect();
            lost.iter().for_each(|other| _ = self.entries[n].links.remove(other));
            let linked: Vec<Member> =
                self.entries[n].links.keys().copied().chain([n]).map(member).collect();
            let announced = topology::announced(&linked);
            let announced = announced.into_iter().map(|m| Presence {
                member: m.clone(),
                ready: true,
                isolated: false,
            });
            let Some(update) = self.entries[n].publisher.update(announced) else { continue };
            let snapshot = self.entries[n].publisher.snapshot();
            for other in self.entries[n].links.keys().copied().collect::<Vec<_>>() {
                let Some(known) = self.entries[other].links.get_mut(&n) else { continue };
                if known.apply(update.clone()).is_err() {
                    known.apply(snapshot.clone()).expect("a snapshot applies to any state");
                }
            }
        }
        for n in 0..ENTRIES {
            let entry = &self.entries[n];
            let announced =
                entry.links.values().flat_map(Subscriber::alive).map(|one| one.member.clone());
            let linked = entry.links.keys().copied().chain([n]).map(member);
            let mut alive: Vec<Member> = announced.chain(linked).collect();
            alive.sort_by(|a, b| a.host.cmp(&b.host));
            alive.dedup_by(|a, b| a.host == b.host);
            let offered =
                topology::actives(&alive).into_iter().map(|one| one.host.clone()).collect();
            self.entries[n].offered = offered;
        }
    }
}

/// An entry that has ended must not be offered to callers for long, whichever entries end together.
#[parameterized(
    one_active = { &[0] },
    a_third_of_the_actives = { &[0, 1, 2, 3, 4] },
    a_domain = { &[0, 5, 10, 15, 20, 25, 30, 35, 40, 45, 50] },
    leaves = { &[100, 101, 102] },
)]
fn ended_entry_is_not_offered_after_seven_seconds(ended: &[usize]) {
    let mut fleet = Fleet::open(BTreeSet::from([150, 151, 152]));
    let gone: BTreeSet<id::Host> = ended.iter().map(|n| member(*n).host).collect();
    ended.iter().for_each(|n| _ = fleet.ended.insert(*n, fleet.check));
    let started = fleet.check;
    let count_offering = |fleet: &Fleet| {
        let alive = (0..ENTRIES).filter(|n| !fleet.ended.contains_key(n));
        alive.filter(|n| !fleet.entries[*n].offered.is_disjoint(&gone)).count()
    };
    while count_offering(&fleet) > 0 {
        fleet.step();
        assert!(
            CHECK_INTERVAL * (fleet.check - started) < MAX_OFFERED,
            "{} entries still offer them",
            count_offering(&fleet)
        );
    }
    println!("{:?}", CHECK_INTERVAL * (fleet.check - started));
}
