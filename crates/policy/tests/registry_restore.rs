//! A registry is restored from an older copy while hundreds of entries hold its previous list.

use std::collections::BTreeMap;
use std::time::Duration;

use fireflyhoist_policy::lease::{Change, Leases, State, Target};
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::time::Time;
use yare::parameterized;

const ENTRIES: usize = 300;

/// The time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// How many entries read the registry for all.
const READERS: usize = 2;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn target(name: &str, port: u16) -> Target {
    Target {
        id: name.parse().expect("a name"),
        instance: name.into(),
        service: "web".parse().expect("a name"),
        address: ([127, 0, 0, 1], port).into(),
        domain: "a".parse().expect("a name"),
        state: State::Ready,
        renewal: 1,
        cold_ms: 0,
        slots: 0,
        software: None,
        start: None,
    }
}

/// A fleet that holds a list of the previous era, and the registry as restored.
struct Fleet {
    entries: Vec<Leases>,
    registry: (Position, BTreeMap<String, Target>),
    reads: usize,
}

impl Fleet {
    fn open(known: &[Target], listed: &[Target]) -> Self {
        let mut entries: Vec<Leases> = (0..ENTRIES).map(|_| Leases::default()).collect();
        for leases in &mut entries {
            leases.apply_list(at(0), Position::new(0, 900), known.to_vec());
        }
        let listed = listed.iter().map(|one| (one.id.to_string(), one.clone())).collect();
        Self { entries, registry: (Position::new(1, 40), listed), reads: 0 }
    }

    fn write(&mut self, target: Target) {
        self.registry.0 = Position::new(1, self.registry.0.revision() + 1);
        self.registry.1.insert(target.id.to_string(), target);
    }

    /// Simulates one heartbeat: the readers read the registry, and every other entry takes the list
    /// of a reader if it is newer. The second half of the entries receives nothing before `late`.
    fn heartbeat(&mut self, now: Time, late: Time) {
        let list: Vec<Target> = self.registry.1.values().cloned().collect();
        for nth in 0..READERS {
            if self.entries[nth].position() < self.registry.0 {
                self.reads += 1;
                self.entries[nth].apply_list(now, self.registry.0, list.clone());
            }
        }
        let announced: Vec<(Position, Vec<Target>)> = self.entries[..READERS]
            .iter()
            .map(|one| (one.position(), one.all().cloned().collect()))
            .collect();
        for nth in READERS..ENTRIES {
            let (position, targets) = &announced[nth % READERS];
            let receives = nth < ENTRIES / 2 || now >= late;
            if receives && *position > self.entries[nth].position() {
                self.entries[nth].apply_list(now, *position, targets.clone());
            }
            self.entries[nth].expire(now);
        }
        (0..READERS).for_each(|nth| _ = self.entries[nth].expire(now));
    }

    fn run(&mut self, from: u64, to: u64, late: Time) {
        let interval_ms = u64::try_from(HEARTBEAT_INTERVAL.as_millis()).expect("a short time");
        (from..to).step_by(usize::try_from(interval_ms).expect("a small number")).for_each(|ms| {
            self.heartbeat(at(ms), late);
        });
    }

    fn ready_count(&self, name: &str) -> usize {
        let id = name.parse().expect("a name");
        self.entries.iter().filter(|one| one.is_ready(&id)).count()
    }
}

/// Guards against higher revisions of the previous era taking precedence over the list of the new
/// one.
#[parameterized(together = { 0 }, half_three_seconds_later = { 3_000 })]
fn entries_adopt_the_list_of_the_new_era(late: u64) {
    let mut fleet = Fleet::open(&[target("old", 1)], &[target("old", 1), target("new", 2)]);
    fleet.run(1_000, 1_300, at(1_000 + late));
    let half = if late == 0 { ENTRIES } else { ENTRIES / 2 };
    assert_eq!(fleet.ready_count("new"), half);
    fleet.run(1_300, 1_600 + late, at(1_000 + late));
    assert_eq!(fleet.ready_count("new"), ENTRIES);
    assert_eq!(fleet.reads, READERS);
}

/// Guards against a restored registry reviving a target whose address was since reassigned to
/// another.
#[test]
fn reassigned_address_stays_with_its_new_target() {
    let (gone, successor) = (target("gone", 7), target("successor", 7));
    let mut fleet = Fleet::open(&[gone.clone(), target("kept", 2)], std::slice::from_ref(&gone));
    for leases in &mut fleet.entries {
        let draining = Target { state: State::Draining, ..gone.clone() };
        leases.apply_change(at(10), Position::new(0, 901), Change::Put(draining));
        leases.apply_change(at(20), Position::new(0, 902), Change::Gone(gone.id.clone()));
        leases.apply_change(at(30), Position::new(0, 903), Change::Put(successor.clone()));
    }
    fleet.run(1_000, 1_600, at(0));
    assert_eq!((fleet.ready_count("gone"), fleet.ready_count("successor")), (0, ENTRIES));
    fleet.write(successor);
    fleet.run(1_600, 6_000, at(0));
    assert_eq!((fleet.ready_count("gone"), fleet.ready_count("successor")), (0, ENTRIES));
    // Targets that were not written again have been removed by now.
    assert_eq!(fleet.ready_count("kept"), 0);
}

/// Guards against an entry that has just started adopting the previous list from an entry that is
/// behind.
#[test]
fn entry_that_starts_between_eras_ends_on_the_new_one() {
    let (old, new) = (target("old", 1), target("new", 2));
    let mut joined = Leases::default();
    joined.apply_list(at(0), Position::new(0, 900), vec![old.clone()]);
    joined.apply_list(at(100), Position::new(1, 41), vec![old.clone(), new.clone()]);
    assert!(!joined.apply_list(at(200), Position::new(0, 950), vec![old]));
    assert!(joined.is_ready(&new.id));
}
