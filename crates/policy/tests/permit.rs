//! Permits of a key are granted by one entry, whichever links are missing.

use std::collections::BTreeSet;

use fireflyhoist_policy::id::Host;
use fireflyhoist_policy::permit::{Route, View};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Entries, what each knows to be active, and the links between them.
struct Fleet {
    hosts: Vec<Host>,
    actives: Vec<BTreeSet<Host>>,
    links: Vec<BTreeSet<Host>>,
}

impl Fleet {
    /// Creates entries that know each other, and links where `is_linked` holds of their numbers.
    fn open(count: usize, mut is_linked: impl FnMut(usize, usize) -> bool) -> Self {
        let hosts: Vec<Host> =
            (0..count).map(|n| format!("entry-{n}").parse().expect("a name")).collect();
        let actives = vec![hosts.iter().cloned().collect(); count];
        let mut links = vec![BTreeSet::new(); count];
        for one in 0..count {
            for other in 0..one {
                if is_linked(one, other) {
                    links[one].insert(hosts[other].clone());
                    links[other].insert(hosts[one].clone());
                }
            }
        }
        Self { hosts, actives, links }
    }

    /// Returns the entry that decides on a request of `from`, if any does.
    fn decider(&self, key: &str, from: usize) -> Option<usize> {
        let mut at = from;
        for hop in 0..=self.hosts.len() {
            let (own, actives, linked) = (&self.hosts[at], &self.actives[at], &self.links[at]);
            let view = View { own, actives, linked };
            match if hop == 0 { view.route(key) } else { view.relay(key) } {
                Route::Own => return Some(at),
                Route::Unreachable => return None,
                Route::Send(to) => {
                    assert!(linked.contains(&to), "{to} has no link to {own}");
                    at = self.hosts.iter().position(|host| *host == to).expect("an entry");
                }
            }
        }
        panic!("the request of {from} goes round");
    }

    fn deciders(&self, key: &str) -> Vec<Option<usize>> {
        (0..self.hosts.len()).map(|from| self.decider(key, from)).collect()
    }
}

fn keys() -> impl Iterator<Item = String> {
    (0..50).map(|n| format!("t-{n}"))
}

/// Guards against several entries granting the whole limit of a target while some links are missing.
#[test]
fn one_entry_decides_whichever_links_are_missing() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..200 {
        let share = rng.random_range(0.0..1.0);
        let fleet = Fleet::open(rng.random_range(2..9), |_, _| rng.random_bool(share));
        for key in keys() {
            let deciders: BTreeSet<usize> = fleet.deciders(&key).into_iter().flatten().collect();
            assert!(deciders.len() <= 1, "{key}: {deciders:?}");
        }
    }
}

/// Guards against permits being refused at entries that reach the owner through another one.
#[test]
fn every_entry_reaches_the_owner_through_another() {
    let star = Fleet::open(5, |one, other| one == 0 || other == 0);
    let missing = Fleet::open(5, |one, other| (one, other) != (3, 2));
    for key in keys() {
        for fleet in [&star, &missing] {
            assert!(fleet.deciders(&key).iter().all(Option::is_some), "{key}");
        }
    }
}

/// Guards against requests that are relayed for ever because entries disagree on who is alive.
#[test]
fn requests_end_while_views_differ() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    for _ in 0..200 {
        let mut fleet = Fleet::open(6, |_, _| rng.random_bool(0.8));
        for known in &mut fleet.actives {
            known.retain(|_| rng.random_bool(0.7));
        }
        keys().for_each(|key| _ = fleet.deciders(&key));
    }
}
