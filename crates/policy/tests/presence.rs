//! Pattern: all entries of a large fleet start together and tell each other who is alive; see
//! `policy::presence` and `policy::topology`.

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
    Presence { member: member(n), ready: true }
}

/// What a seed tells, of those that it has links to.
fn leading(linked: &[usize]) -> Vec<Presence> {
    let members: Vec<Member> = linked.iter().map(|n| member(*n)).collect();
    announced(&members).into_iter().map(|m| Presence { member: m.clone(), ready: true }).collect()
}

/// Guards against lists that grow with the square of the fleet while all of it starts.
#[test]
fn what_a_seed_tells_one_link_does_not_grow_with_the_square_of_the_fleet() {
    let size = 300;
    let (mut publisher, mut records) = (Publisher::default(), 0);
    // Those that are to be active come last, which is the worst order.
    for joined in 1..=size {
        let linked: Vec<usize> = (size - joined..size).collect();
        records += publisher.update(leading(&linked)).map_or(0, |update| update.count());
    }
    // Each that joins is named once when it comes and once when better ones take its place.
    assert!(records <= 2 * size, "{records} records");
    assert!(publisher.snapshot().count() <= DOMAINS * ANNOUNCED_PER_DOMAIN);
}

/// Guards against an entry that takes another's part in the fleet for its own, since it knows only
/// the leading members.
#[test]
fn leading_members_are_enough_to_know_the_actives() {
    let all: Vec<Member> = (0..300).map(member).collect();
    let leading: Vec<Member> = announced(&all).into_iter().cloned().collect();
    let names = |members: &[Member]| -> Vec<String> {
        actives(members).iter().map(|member| member.host.to_string()).collect()
    };
    assert!(leading.len() < all.len());
    assert_eq!(names(&all), names(&leading));
}

/// Guards against a member that stays known for good because the word of its end was lost.
#[test]
fn a_missed_update_is_seen_and_mended_by_the_list() {
    let (mut publisher, mut subscriber) = (Publisher::default(), Subscriber::default());
    subscriber.apply(publisher.update([present(1), present(2)]).expect("news")).expect("the first");
    publisher.update([present(1)]).expect("a loss that is not delivered");
    let next = publisher.update([present(1), present(3)]).expect("news");
    assert_eq!(subscriber.apply(next), Err(GapError { since: 2, known: 1 }));
    subscriber.apply(publisher.snapshot()).expect("a whole list");
    let known: Vec<String> = subscriber.alive().map(|one| one.member.host.to_string()).collect();
    assert_eq!(known, ["h-1", "h-3"]);
}

/// Guards against frames that say nothing, five times a second to each link.
#[test]
fn nothing_is_told_while_nothing_changes() {
    let mut publisher = Publisher::default();
    assert!(publisher.update([present(1)]).is_some());
    assert!(publisher.update([present(1)]).is_none());
    assert!(publisher.update([Presence { ready: false, ..present(1) }]).is_some());
}
