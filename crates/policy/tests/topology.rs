//! Selection of actives and links in fleets with many small hosts and a few larger ones.

use fireflyhoist_policy::topology::{
    ACTIVES_PER_LEAF, MIN_ACTIVES_PER_DOMAIN, Member, actives, links,
};

fn member(n: usize, domain: usize, power: f64) -> Member {
    Member {
        host: format!("h-{n}").parse().expect("name"),
        domain: format!("d-{domain}").parse().expect("name"),
        power,
        peers: format!("127.0.0.1:{}", 1_000 + n).parse().expect("address"),
        callers: format!("127.0.0.1:{}", 3_000 + n).parse().expect("address"),
    }
}

/// Returns eighty hosts in three domains; two hosts of each domain are four times as powerful as
/// the rest.
fn fleet() -> Vec<Member> {
    (0..80).map(|n| member(n, n % 3, if n < 6 { 0.5 } else { 0.12 })).collect()
}

fn names(members: &[&Member]) -> Vec<String> {
    let mut names: Vec<String> = members.iter().map(|member| member.host.to_string()).collect();
    names.sort();
    names
}

/// A small fleet has no leaves: every entry serves callers.
#[test]
fn all_members_of_a_small_fleet_are_active() {
    let small: Vec<Member> = (0..8).map(|n| member(n, n % 3, 0.25)).collect();
    assert_eq!(actives(&small).len(), 8);
}

/// Callers choose evenly among the actives, so a weak host among strong ones would answer its share
/// late.
#[test]
fn strong_members_of_each_domain_are_active() {
    assert_eq!(names(&actives(&fleet())), ["h-0", "h-1", "h-2", "h-3", "h-4", "h-5"]);
}

/// When the strong hosts of a domain fail, others of the domain become active, and every entry
/// computes the same ones whatever the order of the members.
#[test]
fn leaves_replace_failed_actives() {
    let alive: Vec<Member> =
        fleet().into_iter().filter(|m| m.power < 0.5 || m.domain.as_str() != "d-1").collect();
    let mut reversed = alive.clone();
    reversed.reverse();
    let (first, second) = (actives(&alive), actives(&reversed));
    assert_eq!(names(&first), names(&second));
    let in_domain = first.iter().filter(|member| member.domain.as_str() == "d-1").count();
    assert_eq!((in_domain, first.len()), (MIN_ACTIVES_PER_DOMAIN, 6));
}

/// Links must not grow with the square of the fleet: a leaf has two, and an active has links to the
/// other actives and to its leaves.
#[test]
fn leaves_link_to_two_actives_of_their_domain() {
    let fleet = fleet();
    let actives = actives(&fleet);
    let mut leaves = [0; 6];
    for leaf in &fleet[6..] {
        let to = links(leaf, &actives);
        assert_eq!(to.len(), ACTIVES_PER_LEAF);
        assert!(to.iter().all(|active| active.domain == leaf.domain));
        leaves[names(&to[..1])[0][2..].parse::<usize>().expect("a number")] += 1;
    }
    assert!(leaves.iter().all(|count| (5..22).contains(count)), "{leaves:?}");
    assert_eq!(links(&fleet[0], &actives).len(), 5);
}

/// The members of a domain whose actives are not known yet link to actives of other domains.
#[test]
fn domain_without_actives_links_to_other_domains() {
    let lone = member(99, 7, 0.1);
    let fleet = fleet();
    assert_eq!(links(&lone, &actives(&fleet)).len(), ACTIVES_PER_LEAF);
}
