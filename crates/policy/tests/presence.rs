//! All entries of a large fleet start together and announce to each other which entries are alive.

use fireflyhoist_policy::presence::{GapError, Presence, Publisher, Subscriber};
use fireflyhoist_policy::topology::{ANNOUNCED_PER_DOMAIN, Member, actives, announced};

const DOMAINS: usize = 5;

fn member(n: usize) -> Member {
    Member {
        host: format!("h-{n}").parse().expect("name"),
        domain: format!("d-{}", n % DOMAINS).parse().expect("name"),
        power: if n < 15 { 0.5 } else { 0.12 },
        peers: format!("127.0.0.1:{}", 1_000 + n).parse().expect("address"),
        callers: format!("127.0.0.1:{}", 3_000 + n).parse().expect("address"),
    }
}

fn present(n: usize) -> Presence {
    Presence { member: member(n), ready: true, isolated: false }
}

/// Returns what a seed announces when it has links to these members.
fn announcement(linked: &[usize]) -> Vec<Presence> {
    let members: Vec<Member> = linked.iter().map(|n| member(*n)).collect();
    announced(&members)
        .into_iter()
        .map(|m| Presence { member: m.clone(), ready: true, isolated: false })
        .collect()
}

/// Lists that grow with the square of the fleet while all of it starts would overload the links of
/// a seed.
#[test]
fn records_per_link_grow_linearly_while_the_fleet_starts() {
    let size = 300;
    let (mut publisher, mut records) = (Publisher::default(), 0);
    // The members that become active come last, which is the worst order.
    for joined in 1..=size {
        let linked: Vec<usize> = (size - joined..size).collect();
        records += publisher.update(announcement(&linked)).map_or(0, |update| update.count());
    }
    // Each member is counted once when it joins and once when stronger ones replace it.
    assert!(records <= 2 * size, "{records} records");
    assert!(publisher.snapshot().count() <= DOMAINS * ANNOUNCED_PER_DOMAIN);
}

/// An entry knows only the announced members. It must compute the same actives from them as from
/// the whole fleet, or it mistakes its role.
#[test]
fn announced_members_determine_the_actives() {
    let all: Vec<Member> = (0..300).map(member).collect();
    let announced_members: Vec<Member> = announced(&all).into_iter().cloned().collect();
    let names = |members: &[Member]| -> Vec<String> {
        actives(members).iter().map(|member| member.host.to_string()).collect()
    };
    assert!(announced_members.len() < all.len());
    assert_eq!(names(&all), names(&announced_members));
}

/// A lost update must be detected, or a member that has ended stays known for good.
#[test]
fn missed_update_is_detected_and_repaired_by_a_snapshot() {
    let (mut publisher, mut subscriber) = (Publisher::default(), Subscriber::default());
    subscriber
        .apply(publisher.update([present(1), present(2)]).expect("an update"))
        .expect("the first update");
    publisher.update([present(1)]).expect("an update that is lost");
    let next = publisher.update([present(1), present(3)]).expect("an update");
    assert_eq!(subscriber.apply(next), Err(GapError { since: 2, known: 1 }));
    subscriber.apply(publisher.snapshot()).expect("a snapshot");
    let known: Vec<String> = subscriber.alive().map(|one| one.member.host.to_string()).collect();
    assert_eq!(known, ["h-1", "h-3"]);
}

/// An unchanged list must produce no update, or every link carries empty frames five times a
/// second.
#[test]
fn no_update_without_a_change() {
    let mut publisher = Publisher::default();
    assert!(publisher.update([present(1)]).is_some());
    assert!(publisher.update([present(1)]).is_none());
    assert!(publisher.update([Presence { ready: false, ..present(1) }]).is_some());
}
