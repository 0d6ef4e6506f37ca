//! Host lists with one host that another program wrote.

use fireflyhoist_wire::platform::Hosts;
use yare::parameterized;

fn host(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","domain":"hala-a","serves":[
        {{"service":"web","target":"t-{name}","address":"10.0.0.9:80"}}]}}"#
    )
}

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

/// Guards against one odd host that hides all others, so that a daemon follows the list no more.
#[parameterized(
    null = { "null" },
    number = { "1e400" },
    lone_list = { "[]" },
    very_deep = { &nested(1_000_000) },
    very_deep_name = { &format!(r#"{{"name":{},"domain":"hala-a"}}"#, nested(1_000_000)) },
    half_a_surrogate = { r#"{"name":"\ud800","domain":"hala-a"}"# },
    unknown_state = { r#"{"name":"h-2","domain":"hala-a","state":"new"}"# },
    name_twice = { r#"{"name":"h-2","name":"h-2","domain":"hala-a"}"# },
    port = { &host("h-2").replace(":80", ":65536") },
    address = { &host("h-2").replace("10.0.0.9:80", "web:80") },
)]
fn an_odd_host_hides_no_other(odd: &str) {
    let body = format!(r#"{{"sequence":3,"hosts":[{},{odd},{}]}}"#, host("h-1"), host("h-3"));
    let (hosts, errors) = Hosts::decode(body.as_bytes()).expect("a list");
    let names: Vec<_> = hosts.hosts.iter().map(|host| host.name.as_str()).collect();
    assert_eq!((hosts.sequence, names, errors.len()), (3, vec!["h-1", "h-3"], 1));
    let whole = serde_json::from_str::<Hosts>(&body);
    assert!(whole.is_err(), "what made the daemon refuse the list");
}
