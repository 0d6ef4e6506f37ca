//! The operators' command for cordons, against a registry.

use std::collections::BTreeSet;

use fireflyhoist_policy::id;
use fireflyhoist_standin::registry::{Mood, Registry};
use fireflyhoist_tool::flags::Command;
use fireflyhoist_tool::{Outcome, run};

fn command(registry: &Registry, lift: bool, domain: Option<&str>) -> Command {
    let domain = domain.map(|name| name.parse().expect("a name"));
    Command::Cordon { registry: registry.address(), lift, domain }
}

fn set(names: &[&str]) -> BTreeSet<id::Domain> {
    names.iter().map(|name| name.parse().expect("a name")).collect()
}

/// Guards against a command that says it is done where the registry holds something else.
#[ntex::test]
async fn a_cordon_is_set_listed_and_lifted() {
    let registry = Registry::open().await;
    for domain in ["hala-a", "hala-b", "hala-a"] {
        let done = run(command(&registry, false, Some(domain))).await.expect("it is set");
        assert_eq!(done, Outcome::Clean);
    }
    assert_eq!(registry.cordoned(), set(&["hala-a", "hala-b"]));
    run(command(&registry, false, None)).await.expect("they are listed");
    run(command(&registry, true, Some("hala-a"))).await.expect("it is lifted");
    run(command(&registry, true, Some("hala-c"))).await.expect("one that is not there is no fault");
    assert_eq!(registry.cordoned(), set(&["hala-b"]));
}

/// Guards against a registry that refuses, or that is not there, being taken for one that did it.
#[ntex::test]
async fn a_registry_that_refuses_is_told() {
    let registry = Registry::open().await;
    registry.set_mood(Mood::Busy);
    let refused = run(command(&registry, false, Some("hala-a"))).await.expect_err("it refuses");
    assert!(refused.to_string().contains("503"), "{refused}");
    assert!(registry.cordoned().is_empty());
}
