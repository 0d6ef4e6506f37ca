//! A plain answer without a length whose replica is killed before the end of the body.

use std::time::{Duration, Instant};

use crate::client;
use crate::edge::Edge;
use crate::host::{self, HALF_BYTES, Host};
use crate::record::Record;
use crate::store::Store;

const HOSTS: usize = 6;
const FRAMED: usize = 19;

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let store = Store::open();
    let hosts = (1..=HOSTS).map(|nth| Host::start(&format!("i-{nth}"), false));
    let hosts: Vec<Host> = hosts.collect::<Result<_, _>>()?;
    store.put("op/config", host::config());
    for host in &hosts {
        store.put(&format!("servers/{}", host.name), &host.entry("katalog", 6));
    }
    let edge = Edge::start("edge-1", store.port, &[])?;
    edge.until_ready()?;
    std::thread::sleep(Duration::from_secs(4));
    let front = edge.front;
    let mut calls = Vec::new();
    for nth in 0..=FRAMED {
        let kind = if nth == FRAMED { "unframed" } else { "framed" };
        let id = format!("k{nth}-{kind}");
        calls.push(std::thread::spawn(move || {
            let request = format!(
                "GET /k/ship HTTP/1.1\r\nHost: a.example\r\nFireflyhoist-Request-Id: {id}\r\n\
                 Fireflyhoist-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
            );
            let answer = client::exchange(front, request.as_bytes(), Duration::from_secs(2));
            (id, answer)
        }));
        if nth < FRAMED {
            std::thread::sleep(Duration::from_millis(150));
        }
    }
    let half = format!("half k{FRAMED}-unframed");
    let end = Instant::now() + Duration::from_secs(3);
    while trouble {
        if let Some(host) = hosts.iter().find(|host| !host.seen(&half).is_empty()) {
            record.line(&format!("the process of {} is killed", host.name));
            host.kill_worker();
            break;
        }
        if Instant::now() > end {
            return Err("the answer does not begin".to_owned());
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut broken = false;
    for call in calls {
        let (id, answer) = call.join().map_err(|_| "a client failed")?;
        let (bytes, complete) = (answer.body().len(), answer.is_complete());
        let runs: Vec<String> = hosts
            .iter()
            .filter(|h| !h.seen(&format!("begin {id}")).is_empty())
            .map(|h| h.name.clone())
            .collect();
        record.line(&format!(
            "{id}: status {}, {bytes} of {} bytes, looks complete: {complete}, connection {}, {} ms, run by {}",
            answer.status(), 2 * HALF_BYTES, answer.ended, answer.took.as_millis(), runs.join(" ")
        ));
        broken |= answer.status() == "200" && complete && bytes < 2 * HALF_BYTES;
    }
    for line in edge.log(&["-unframed"]) {
        record.line(&line);
    }
    Ok(broken)
}
