//! A stream without a length whose replica is killed and started again by its supervisor.

use std::time::{Duration, Instant};

use crate::client;
use crate::edge::Edge;
use crate::host::{self, EVENTS, Host};
use crate::record::Record;
use crate::store::Store;

const HOSTS: usize = 6;
const FRAMED: usize = 19;

fn request(id: &str) -> String {
    format!(
        "POST /g/page HTTP/1.1\r\nHost: a.example\r\nFireflyhoist-Request-Id: {id}\r\n\
         Fireflyhoist-Deadline-Ms: 39000\r\nFireflyhoist-Model: m\r\nFireflyhoist-Tokens: 300,480\r\n\
         Fireflyhoist-Prefix-Hash: aa01:100,{:x}:200\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
        id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)))
    )
}

/// Returns the number of the last event of an answer.
fn last_event(text: &str) -> u64 {
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).max().unwrap_or(0)
}

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let store = Store::open();
    let hosts = (1..=HOSTS).map(|nth| Host::start(&format!("i-{nth}"), true));
    let hosts: Vec<Host> = hosts.collect::<Result<_, _>>()?;
    store.put("op/config", host::config());
    for host in &hosts {
        store.put(&format!("servers/{}", host.name), &host.entry("prepis", 24));
    }
    let edges = [Edge::start("edge-1", store.port, &[])?];
    edges[0].until_ready()?;
    std::thread::sleep(Duration::from_secs(4));
    let front = edges[0].front;
    let mut streams = Vec::new();
    for nth in 0..=FRAMED {
        let kind = if nth == FRAMED { "unframed" } else { "framed" };
        let id = format!("s{nth}-{kind}");
        streams.push(std::thread::spawn(move || {
            let answer = client::exchange(front, request(&id).as_bytes(), Duration::from_secs(12));
            (id, answer)
        }));
        std::thread::sleep(Duration::from_millis(10));
    }
    let unframed = format!("s{FRAMED}-unframed");
    let end = Instant::now() + Duration::from_secs(5);
    let runner = loop {
        let begun = format!("event {unframed} 8");
        if let Some(host) = hosts.iter().find(|host| !host.seen(&begun).is_empty()) {
            break host;
        }
        if Instant::now() > end {
            return Err("the stream does not begin".to_owned());
        }
        std::thread::sleep(Duration::from_millis(2));
    };
    if trouble {
        // Between two events.
        std::thread::sleep(Duration::from_millis(20));
        record.line(&format!("the worker of {} is killed", runner.name));
        runner.kill_worker();
        let end = Instant::now() + Duration::from_secs(5);
        while runner.seen("worker").len() < 2 && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
        store.put(&format!("servers/{}", runner.name), &runner.entry("prepis", 24));
        record.line(&format!("{} has started again", runner.name));
    }
    let mut broken = false;
    for stream in streams {
        let (id, answer) = stream.join().map_err(|_| "a client failed")?;
        let (last, complete) = (last_event(&answer.text()), answer.is_complete());
        let runs: Vec<String> = hosts
            .iter()
            .filter(|h| !h.seen(&format!("begin {id}")).is_empty())
            .map(|h| h.name.clone())
            .collect();
        record.line(&format!(
            "{id}: status {}, last event {last} of {EVENTS}, looks complete: {complete}, connection {}, {} ms, run by {}",
            answer.status(), answer.ended, answer.took.as_millis(), runs.join(" ")
        ));
        broken |= answer.status() == "200" && complete && last < EVENTS;
    }
    for line in edges[0].log(&["asked after the end of a stream", "-unframed"]) {
        record.line(&line);
    }
    Ok(broken)
}
