//! Isolated entries in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::isolation::{self, Detector, MAX_RELAYS};
use fireflyhoist_policy::presence::Presence;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::topology::Member;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const USUAL: Duration = Duration::from_millis(400);

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn member(nth: usize) -> Member {
    let address: SocketAddr =
        format!("10.0.{}.{}:7000", nth / 200, 1 + nth % 200).parse().expect("");
    Member {
        host: format!("entry-{nth}").parse().expect("a name"),
        domain: format!("d-{}", nth % 5).parse().expect("a name"),
        power: 0.12,
        peers: address,
        callers: address,
    }
}

fn presence(nth: usize, isolated: bool) -> Presence {
    Presence { member: member(nth), ready: true, isolated }
}

/// One target that stands still or has crashed does not isolate an entry that reaches others.
#[test]
fn a_failed_target_is_no_isolation() {
    let mut detector = Detector::default();
    detector.record_connected(at(1_000));
    assert!(!detector.must_check(at(990)), "a connection was opened since");
    assert!(detector.must_check(at(1_001)), "the path may have been lost just then");
    detector.record_connected(at(1_610));
    assert!(!detector.record_failed_check(at(1_700), at(1_600), 9), "one of those tried answers");
    assert!(!detector.is_isolated());
}

/// An entry without a path does not notice, or one is isolated because its only target has crashed.
#[parameterized(
    many = { 9, true },
    two = { 2, true },
    one = { 1, false },
)]
fn an_entry_without_a_path_is_isolated(failed: usize, expected: bool) {
    let mut detector = Detector::default();
    detector.record_connected(at(1_000));
    assert_eq!(detector.record_failed_check(at(1_800), at(1_600), failed), expected);
    assert_eq!(detector.is_isolated(), expected);
}

/// Connections are direct again with the first that is opened, and a path that is lost again soon
/// holds requests up for less time.
#[test]
fn isolation_ends_with_a_connection_and_may_return() {
    let mut detector = Detector::default();
    assert!(detector.record_failed_check(at(1_800), at(1_600), 3));
    assert!(detector.record_failed_check(at(2_000), at(1_800), 3), "still isolated");
    assert_eq!(detector.record_connected(at(2_800)), Some(Duration::from_secs(1)));
    assert!(!detector.is_isolated());
    assert!(detector.connect_timeout(at(3_000), USUAL) < USUAL / 2);
    assert!(detector.is_suspect(at(3_000)), "answers may still be lost with the path");
    assert_eq!(detector.connect_timeout(at(9_000), USUAL), USUAL);
    assert!(!detector.is_suspect(at(9_000)));
    assert_eq!(detector.record_connected(at(9_100)), None);
}

/// Callers are not sent to isolated entries, unless the others would have to serve more than twice
/// their part.
#[parameterized(
    none = { 6, 0, 6 },
    one = { 6, 1, 5 },
    half = { 6, 3, 3 },
    all_but_one = { 6, 5, 6 },
    all = { 6, 6, 6 },
    a_domain_of_many = { 300, 60, 240 },
)]
fn callers_are_sent_to_entries_with_a_path(count: usize, isolated: usize, listed: usize) {
    let mut ready: Vec<Presence> = (0..count).map(|nth| presence(nth, nth < isolated)).collect();
    isolation::retain_for_callers(&mut ready);
    assert_eq!(ready.len(), listed);
}

/// The connections of isolated entries spread over all others, so that none carries much more than
/// its part.
#[test]
fn connections_of_isolated_entries_spread_over_the_others() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let others: Vec<Presence> = (150..300).map(|nth| presence(nth, false)).collect();
    let mut opened = vec![0_u32; 300];
    for _ in 0..150 * 100 {
        let relays = isolation::relays(&others, &mut rng);
        assert_eq!(relays.len(), MAX_RELAYS);
        let first =
            others.iter().position(|other| other.member.host == relays[0].host).expect("known");
        opened[150 + first] += 1;
    }
    let most = opened.iter().max().expect("entries");
    assert!(*most < 200, "one entry opens {most} connections where 100 are its part");
    assert!(isolation::relays(&[], &mut rng).is_empty());
    let leaving = Presence { ready: false, ..presence(0, false) };
    let two = [leaving.clone(), presence(1, false)];
    let asked = isolation::relays(&two, &mut rng);
    assert_eq!(asked, [&two[1].member, &two[0].member], "one that is leaving comes last");
}
