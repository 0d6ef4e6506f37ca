//! The two users' texts are clean and have the sizes of their brief.

use fireflyhoist_policy::gate::Class;
use fireflyhoist_text::{Delivery, Text};

fn example(name: &str) -> Text {
    let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let source = std::fs::read(path).expect("the example is there");
    Text::parse_bytes(&source).unwrap_or_else(|faults| panic!("{faults}"))
}

fn replicas(text: &Text, service: &str) -> usize {
    text.service(&service.parse().expect("a name")).expect("declared").targets.len()
}

fn domains(text: &Text, prefix: &str) -> usize {
    let hosts = text.services.iter().flat_map(|s| &s.targets).map(|t| t.host.as_str());
    let mut domains: Vec<&str> =
        hosts.filter_map(|host| host.strip_prefix(prefix)?.split('-').next()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.len()
}

#[test]
fn brno_is_clean_and_of_its_size() {
    let text = example("brno");
    assert_eq!((replicas(&text, "transcribe"), replicas(&text, "search")), (15, 3));
    assert_eq!((text.workspaces.len(), domains(&text, "hala-")), (10, 3));
    let transcribe = &text.services[0];
    assert_eq!((transcribe.delivery, transcribe.class), (Delivery::Whole, Class::Overnight));
    let search = &text.services[1];
    assert!(search.idempotent && search.class == Class::Lookup);
    assert!(search.depends_on.contains(&transcribe.name));
}

#[test]
fn oslo_is_clean_and_of_its_size() {
    let text = example("oslo");
    assert_eq!(replicas(&text, "roster") + replicas(&text, "complaint"), 10);
    assert_eq!((replicas(&text, "booking"), text.workspaces.len()), (3, 10));
    assert_eq!(domains(&text, "sal-"), 3);
    assert!(text.services[..2].iter().all(|s| s.delivery == Delivery::Live));
    let dispatch = text.service(&"dispatch".parse().expect("a name")).expect("declared");
    assert!(!dispatch.idempotent, "a dispatch runs at most once");
}
