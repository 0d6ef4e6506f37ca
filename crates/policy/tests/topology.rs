//! Pattern: many small hosts beside a few larger ones; see `policy::topology`.

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

/// Eighty hosts in three domains, two of each domain four times as strong as the rest.
fn fleet() -> Vec<Member> {
    (0..80).map(|n| member(n, n % 3, if n < 6 { 0.5 } else { 0.12 })).collect()
}

fn names(members: &[&Member]) -> Vec<String> {
    let mut names: Vec<String> = members.iter().map(|member| member.host.to_string()).collect();
    names.sort();
    names
}

/// Small fleets have no leaves: each entry takes callers.
#[test]
fn all_of_a_few_are_active() {
    let few: Vec<Member> = (0..8).map(|n| member(n, n % 3, 0.25)).collect();
    assert_eq!(actives(&few).len(), 8);
}

/// Callers choose evenly among the addresses that they are given; a weak host among strong ones
/// makes its share of the answers late.
#[test]
fn the_strong_of_each_domain_are_active() {
    assert_eq!(names(&actives(&fleet())), ["h-0", "h-1", "h-2", "h-3", "h-4", "h-5"]);
}

/// The strong hosts of a domain lose power: others of the domain take their place, the same ones
/// for whoever looks.
#[test]
fn leaves_take_the_place_of_actives_that_are_gone() {
    let alive: Vec<Member> =
        fleet().into_iter().filter(|m| m.power < 0.5 || m.domain.as_str() != "d-1").collect();
    let mut turned = alive.clone();
    turned.reverse();
    let (now, then) = (actives(&alive), actives(&turned));
    assert_eq!(names(&now), names(&then));
    let near = now.iter().filter(|member| member.domain.as_str() == "d-1").count();
    assert_eq!((near, now.len()), (MIN_ACTIVES_PER_DOMAIN, 6));
}

/// Links must not grow with the square of the fleet: a leaf has two, an active those to actives and
/// its leaves.
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

/// A domain whose actives are unknown yet: its members link to those of others.
#[test]
fn a_domain_without_actives_links_elsewhere() {
    let lone = member(99, 7, 0.1);
    let fleet = fleet();
    assert_eq!(links(&lone, &actives(&fleet)).len(), ACTIVES_PER_LEAF);
}
