//! What the fleet would do, as operators read it.

use fireflyhoist_text::{Text, diff};

const OLD: &str = r#"
revision = 4
weight_store = { gib_per_second = 2.0 }
[[workspace]]
name = "archive"
weight = 2
[[workspace]]
name = "guests"
[[model]]
name = "manifest"
version = "1"
weights_gib = 10
[[service]]
name = "scan"
model = "manifest"
target = [
    { name = "a", host = "h1", address = "10.0.0.1:80" },
    { name = "b", host = "h2", address = "10.0.0.2:80" },
]
[[service]]
name = "mail"
kind = "plain"
targets_from = "hosts"
"#;

fn lines(old: &str, new: &str) -> Vec<String> {
    let parse = |text: &str| Text::parse(text).unwrap_or_else(|faults| panic!("{faults}"));
    diff::changes(&parse(old), &parse(new)).iter().map(ToString::to_string).collect()
}

#[test]
fn the_same_text_changes_nothing() {
    assert!(lines(OLD, OLD).is_empty());
}

#[test]
fn a_revision_forgotten_is_said_first() {
    let new = OLD.replace("weight = 2", "weight = 3");
    let lines = lines(OLD, &new);
    assert_eq!(
        lines[0],
        "revision 4 is not above 4: no host would take this text; set revision = 5"
    );
    assert_eq!(lines[1], "~ workspace archive: weight 2 -> 3");
}

#[test]
fn each_kind_of_change_says_what_the_fleet_does() {
    let new = OLD
        .replace("revision = 4", "revision = 5")
        .replace("name = \"guests\"", "name = \"members\"\nmax_streams = 4")
        .replace("version = \"1\"", "version = \"2\"\nadapters = [\"kurrent\"]")
        .replace("name = \"b\", host = \"h2\"", "name = \"c\", host = \"h2\"")
        .replace("address = \"10.0.0.1:80\"", "address = \"10.0.0.9:80\"")
        .replace("name = \"mail\"", "name = \"post\"");
    assert_eq!(
        lines(OLD, &new),
        [
            "- workspace guests: its key is refused",
            "+ workspace members: is served",
            "~ model manifest: adapters [] -> [\"kurrent\"]",
            "~ model manifest: version 1 -> 2",
            "- service mail: new calls get 404, calls in progress finish",
            "+ service post: calls are taken on the targets of the platform's hosts",
            "~ target a: address 10.0.0.1:80 -> 10.0.0.9:80",
            "- target b of scan: gets no new work, work in progress finishes",
            "+ target c at 10.0.0.2:80: takes work of scan, slowly at first",
            "> load manifest 2 with kurrent on 2 targets, 10 s at the weight store's rate",
        ]
    );
}

#[test]
fn fields_of_text_and_service_are_compared_whatever_they_are() {
    let new = OLD
        .replace("revision = 4", "revision = 5")
        .replace("gib_per_second = 2.0", "gib_per_second = 3.0")
        .replace("name = \"scan\"", "name = \"scan\"\nobjective = { share = 0.9 }");
    let lines = lines(OLD, &new);
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].starts_with("~ text: weight_store"), "{lines:?}");
    assert!(lines[1].starts_with("~ service scan: objective"), "{lines:?}");
}
