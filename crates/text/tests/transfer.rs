//! Texts on their way from peer to peer.

use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::version::{Stamp, Version};
use fireflyhoist_text::transfer::{MAX_BATCH, Message, Next, Transfer};

fn host(name: &str) -> id::Host {
    name.parse().expect("a name")
}

/// A text of so many lines, some fifty bytes each.
fn source(revision: u64, lines: usize) -> (Version, String) {
    let lines = (0..lines).map(|nth| format!("route {nth:05} to service {:032x}\n", nth * 7919));
    let source: String = std::iter::once(format!("revision {revision}\n")).chain(lines).collect();
    (Version::of(revision, &source), source)
}

fn holding((version, source): &(Version, String)) -> Transfer {
    let mut transfer = Transfer::default();
    transfer.hold(*version, source);
    transfer
}

/// What one end asked for and got.
#[derive(Debug, Default)]
struct Sent {
    rounds: usize,
    bytes: usize,
    most: usize,
}

/// Answers what `to` asks `from` for, for at most so many rounds.
fn carry(to: &mut Transfer, from: &mut Transfer, mut next: Next, rounds: usize) -> (Next, Sent) {
    let mut sent = Sent::default();
    while let Next::Say(asked @ Message::WantSections(_)) = &next {
        if sent.rounds == rounds {
            break;
        }
        let Next::Say(answer) = from.take(Time::ZERO, &host("to"), asked.clone()) else {
            panic!("it answers");
        };
        let Message::Sections(sections) = &answer else { panic!("with sections") };
        let bytes = sections.iter().map(String::len).sum();
        sent =
            Sent { rounds: sent.rounds + 1, bytes: sent.bytes + bytes, most: sent.most.max(bytes) };
        next = to.take(Time::ZERO, &host("peer"), answer);
    }
    (next, sent)
}

/// Begins to fetch what `from` holds.
fn begin(to: &mut Transfer, from: &mut Transfer) -> Next {
    let revision = from.version().expect("it holds a text").revision();
    let ask = to.announced(Time::ZERO, &host("peer"), Stamp::least(revision));
    let Next::Say(answer) = from.take(Time::ZERO, &host("to"), ask.expect("it asks")) else {
        panic!("it answers");
    };
    to.take(Time::ZERO, &host("peer"), answer)
}

/// A change of one route moves the whole text of a megabyte to each of hundreds of hosts, and their
/// links carry nothing else meanwhile. Only the sections around the change move.
#[test]
fn a_change_of_one_line_moves_a_few_sections() {
    let old = source(1, 4_000);
    let mut to = holding(&old);
    let new = source(2, 4_001);
    let mut from = holding(&new);
    let next = begin(&mut to, &mut from);
    let (next, sent) = carry(&mut to, &mut from, next, usize::MAX);
    assert!(matches!(next, Next::Whole(version, whole) if version == new.0 && whole == new.1));
    assert!(sent.bytes < 40 << 10, "{} of {} bytes", sent.bytes, new.1.len());
}

/// A heartbeat waits behind a text and its link counts as silent. No part is larger than a batch,
/// and the next is asked for when one has come.
#[test]
fn a_text_comes_in_parts() {
    let new = source(2, 8_000);
    let mut from = holding(&new);
    let mut to = Transfer::default();
    let next = begin(&mut to, &mut from);
    let (next, sent) = carry(&mut to, &mut from, next, usize::MAX);
    assert!(matches!(next, Next::Whole(_, whole) if whole == new.1));
    assert!(sent.most <= MAX_BATCH, "{}", sent.most);
    assert!(sent.bytes < new.1.len() * 11 / 10, "{} of {}", sent.bytes, new.1.len());
}

/// The link to a peer is lost in the middle of a text, and the text begins anew at the next peer,
/// again and again. What had come is kept, and another peer is asked at once.
#[test]
fn what_had_come_is_kept_when_its_peer_is_lost() {
    let new = source(2, 8_000);
    let mut from = holding(&new);
    let mut to = Transfer::default();
    let next = begin(&mut to, &mut from);
    let (next, first) = carry(&mut to, &mut from, next, 4);
    assert!(matches!(next, Next::Say(_)), "it is not whole yet");
    to.lost(&host("another"));
    let announced = Stamp::least(2);
    assert_eq!(to.announced(Time::ZERO, &host("other"), announced), None, "one at a time");
    to.lost(&host("peer"));
    let next = begin(&mut to, &mut from);
    let (next, second) = carry(&mut to, &mut from, next, usize::MAX);
    assert!(matches!(next, Next::Whole(_, whole) if whole == new.1));
    assert!(first.bytes + second.bytes < new.1.len() * 11 / 10);
}

/// A text that comes from the registry while a newer one is on its way from a peer throws away what
/// had come of the newer one. It ends a fetch of a version that is no newer, and no other.
#[test]
fn a_text_from_elsewhere_ends_only_what_it_replaces() {
    let newest = source(3, 8_000);
    let mut from = holding(&newest);
    let mut to = Transfer::default();
    let next = begin(&mut to, &mut from);
    let (next, _) = carry(&mut to, &mut from, next, 4);
    let (version, older) = source(2, 8_000);
    to.hold(version, &older);
    let (next, _) = carry(&mut to, &mut from, next, usize::MAX);
    assert!(matches!(next, Next::Whole(version, _) if version == newest.0));
    let mut to = Transfer::default();
    let next = begin(&mut to, &mut from);
    to.hold(newest.0, &newest.1);
    let Next::Nothing = carry(&mut to, &mut from, next, usize::MAX).0 else {
        panic!("what is held is not fetched");
    };
}

/// A peer stops in the middle of a text without closing its link, and the text never comes. After
/// its patience any other is asked.
#[test]
fn a_peer_that_stops_is_replaced() {
    let mut from = holding(&source(2, 8_000));
    let mut to = Transfer::default();
    let Next::Say(_) = begin(&mut to, &mut from) else { panic!("it asks") };
    let late = Time::ZERO + Duration::from_secs(2);
    assert_eq!(to.announced(late, &host("other"), Stamp::least(2)), Some(Message::WantManifest));
}

/// A faulty peer says one version and hands on another text; nobody could tell why the version never
/// came into force. The receiver says so, takes nothing, and may ask another at once.
#[test]
fn sections_of_another_text_are_no_text_of_their_version() {
    let (said, _) = source(2, 800);
    let (_, other) = source(1, 800);
    let mut from = holding(&(said, other));
    let mut to = Transfer::default();
    let next = begin(&mut to, &mut from);
    let (next, _) = carry(&mut to, &mut from, next, usize::MAX);
    assert!(matches!(next, Next::Unlike(version) if version == said));
    assert!(to.version().is_none());
    let ask = to.announced(Time::ZERO, &host("other"), Stamp::least(2));
    assert_eq!(ask, Some(Message::WantManifest));
}
