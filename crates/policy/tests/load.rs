//! Loads that entries announce to each other, and how much one announcement touches.

use fireflyhoist_policy::id;
use fireflyhoist_policy::load::{Load, Peers, sum};
use fireflyhoist_policy::unit::Tokens;

fn target(nth: usize) -> id::Target {
    format!("t-{nth}").parse().expect("a name")
}

fn host(nth: usize) -> id::Host {
    format!("entry-{nth}").parse().expect("a name")
}

fn load(nth: usize, tokens: u64) -> Load {
    Load {
        tokens: Tokens::new(tokens),
        streams: 1,
        unread: Tokens::new(tokens / 2),
        ..Load::none(&target(nth))
    }
}

/// Returns the loads of entry `nth` of `entries`, which are on every `entries`-th target and on one
/// that all use.
fn loads(nth: usize, entries: usize, targets: usize) -> Vec<Load> {
    let own = (nth + 1..targets).step_by(entries).map(|at| load(at, 100 + nth as u64));
    own.chain([load(0, 7)]).collect()
}

fn fleet(entries: usize, targets: usize) -> Peers {
    let mut peers = Peers::default();
    for nth in 0..entries {
        peers.replace(&host(nth), loads(nth, entries, targets));
    }
    peers
}

/// The totals equal the sums over the announcements of all entries, also after some have changed
/// and one is gone.
#[test]
fn totals_equal_the_sums_of_all_announcements() {
    const TARGETS: usize = 90;
    let mut peers = fleet(6, TARGETS);
    peers.replace(&host(2), vec![load(TARGETS, 40), load(0, 9)]);
    peers.replace(&host(3), Vec::new());
    let all: Vec<Load> = peers.loads(|_| true).cloned().collect();
    for expected in sum(all.iter()) {
        assert_eq!(peers.total(&expected.target), expected);
    }
    assert!(!peers.has_load(&host(3)) && peers.has_load(&host(2)));
    let without = peers.loads(|entry| *entry != host(2));
    assert!(without.into_iter().all(|load| load.target != target(TARGETS)));
    for nth in (0..6).filter(|nth| *nth != 3) {
        peers.replace(&host(nth), Vec::new());
    }
    assert!((0..=TARGETS).all(|nth| peers.total(&target(nth)).is_none()));
}

/// Guards against each announcement of one entry touching every target: what it touches depends
/// neither on the number of targets nor on that of entries.
#[test]
fn an_announcement_touches_what_it_changes() {
    for (entries, targets) in [(15, 750), (30, 1_500), (60, 3_000), (120, 6_000)] {
        let mut peers = fleet(entries, targets);
        let mut announced = loads(3, entries, targets);
        assert!(peers.replace(&host(3), announced.clone()).is_empty(), "nothing has changed");
        announced[0].tokens += Tokens::new(1);
        let gone = announced.remove(1).target;
        announced.push(load(2, 8));
        let mut changed = peers.replace(&host(3), announced.clone());
        changed.sort();
        let mut expected = vec![announced[0].target.clone(), gone, target(2)];
        expected.sort();
        assert_eq!(changed, expected, "{entries} entries before {targets} targets");
    }
}
