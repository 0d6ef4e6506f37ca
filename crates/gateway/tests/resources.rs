//! What the settings say of a host's memory and descriptors.

use fireflyhoist_gateway::Settings;
use yare::parameterized;

const SETTINGS: &str = r#"
    host = "h"
    domain = "z"
    callers = "127.0.0.1:0"
    readiness = "127.0.0.1:0"
    directory = "127.0.0.1:0"
    peers = "127.0.0.1:0"
    metrics = "127.0.0.1:0"
    power = 1
    seeds = []
    registry = "127.0.0.1:1"
    [bounds]
    grace_s = 5
    retry_ratio = 0.2
    retry_burst = 50
    entries_ttl_s = 5
    [resources]
"#;

/// Guards against a template that leaves a value empty and stops the process.
#[parameterized(
    absent = { "", 110, 4_096 },
    empty = { "memory_mb = \"\"\ndescriptors = \"\"", 110, 4_096 },
    numbers = { "memory_mb = 260\ndescriptors = 1000", 260, 1_000 },
    text = { "memory_mb = \"260\"\ndescriptors = \"1000\"", 260, 1_000 },
)]
fn resources_have_defaults(resources: &str, memory_mb: u32, descriptors: u32) {
    let settings = Settings::parse(&format!("{SETTINGS}{resources}")).expect("valid");
    assert_eq!(settings.resources.memory_mb, memory_mb);
    assert_eq!(settings.resources.descriptors, descriptors);
}

/// Guards against a value with which the process would refuse all callers.
#[parameterized(
    little_memory = { "memory_mb = 63" },
    few_descriptors = { "descriptors = 255" },
    short_heads = { "head_kb = 15" },
    negative = { "memory_mb = -1" },
    not_a_number = { "memory_mb = \"much\"" },
    too_much = { "descriptors = 4294967296" },
    unknown = { "memory = 110" },
)]
fn invalid_resources_are_refused(resources: &str) {
    assert!(Settings::parse(&format!("{SETTINGS}{resources}")).is_err());
}
