//! Pattern `named-after-its-end`: entries of a large fleet end, and none may be named to callers for long.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::presence::{Presence, Publisher, Subscriber};
use fireflyhoist_policy::topology::{self, Member};
use yare::parameterized;

const ENTRIES: usize = 195;
const DOMAINS: usize = 5;

/// A link that carries nothing for so long is taken for lost.
const SILENT: Duration = Duration::from_millis(900);

/// How often an entry looks at its links and tells what changed.
const LOOK: Duration = Duration::from_millis(200);

/// Within which nobody may name an entry that has ended.
const BOUND: Duration = Duration::from_secs(7);

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
    /// Whom it has links to, and what each tells it.
    links: BTreeMap<usize, Subscriber>,
    named: BTreeSet<id::Host>,
}

/// A fleet whose entries look at their links all in turn.
struct World {
    entries: Vec<Entry>,
    /// When each ended, in looks.
    ended: BTreeMap<usize, u32>,
    look: u32,
    /// Entries that have one link only.
    lonely: BTreeSet<usize>,
}

impl World {
    fn open(lonely: BTreeSet<usize>) -> Self {
        let entries = (0..ENTRIES).map(|_| Entry::default()).collect();
        let mut world = Self { entries, ended: BTreeMap::new(), look: 0, lonely };
        let all: Vec<Member> = (0..ENTRIES).map(member).collect();
        let actives = topology::actives(&all);
        let numbers: BTreeMap<&id::Host, usize> =
            all.iter().enumerate().map(|(n, member)| (&member.host, n)).collect();
        for (n, own) in all.iter().enumerate() {
            let mut links: Vec<usize> =
                topology::links(own, &actives).iter().map(|other| numbers[&other.host]).collect();
            if world.lonely.contains(&n) {
                links.truncate(1);
            }
            for other in links {
                world.entries[n].links.entry(other).or_default();
                world.entries[other].links.entry(n).or_default();
            }
        }
        (0..5).for_each(|_| world.step());
        world
    }

    /// Whether an entry takes another for gone.
    fn is_lost(&self, other: usize) -> bool {
        let silent = |at: &u32| LOOK * (self.look - at) >= SILENT;
        self.ended.get(&other).is_some_and(silent)
    }

    fn step(&mut self) {
        self.look += 1;
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
            let told = topology::announced(&linked);
            let told = told.into_iter().map(|m| Presence { member: m.clone(), ready: true });
            let Some(update) = self.entries[n].publisher.update(told) else { continue };
            let snapshot = self.entries[n].publisher.snapshot();
            for other in self.entries[n].links.keys().copied().collect::<Vec<_>>() {
                let Some(known) = self.entries[other].links.get_mut(&n) else { continue };
                if known.apply(update.clone()).is_err() {
                    known.apply(snapshot.clone()).expect("a snapshot list follows nothing");
                }
            }
        }
        for n in 0..ENTRIES {
            let entry = &self.entries[n];
            let told =
                entry.links.values().flat_map(Subscriber::alive).map(|one| one.member.clone());
            let linked = entry.links.keys().copied().chain([n]).map(member);
            let mut alive: Vec<Member> = told.chain(linked).collect();
            alive.sort_by(|a, b| a.host.cmp(&b.host));
            alive.dedup_by(|a, b| a.host == b.host);
            let named = topology::actives(&alive).into_iter().map(|one| one.host.clone()).collect();
            self.entries[n].named = named;
        }
    }
}

/// Guards against entries that are named to callers long after they have ended.
#[parameterized(
    one_active = { &[0] },
    a_third_of_the_actives = { &[0, 1, 2, 3, 4] },
    a_domain = { &[0, 5, 10, 15, 20, 25, 30, 35, 40, 45, 50] },
    leaves = { &[100, 101, 102] },
)]
fn an_entry_that_ended_is_soon_named_by_nobody(ended: &[usize]) {
    let mut world = World::open(BTreeSet::from([150, 151, 152]));
    let gone: BTreeSet<id::Host> = ended.iter().map(|n| member(*n).host).collect();
    ended.iter().for_each(|n| _ = world.ended.insert(*n, world.look));
    let began = world.look;
    let names = |world: &World| {
        let alive = (0..ENTRIES).filter(|n| !world.ended.contains_key(n));
        alive.filter(|n| !world.entries[*n].named.is_disjoint(&gone)).count()
    };
    while names(&world) > 0 {
        world.step();
        assert!(LOOK * (world.look - began) < BOUND, "{} still name them", names(&world));
    }
    println!("{:?}", LOOK * (world.look - began));
}
