//! Requests that offer another protocol, as some HTTP clients do by themselves.

use std::time::Duration;

use crate::client;
use crate::edge::Edge;
use crate::host::{self, Host};
use crate::record::Record;
use crate::store::Store;

const HOSTS: usize = 3;
const REQUESTS: usize = 12;

/// `timeoutMs` of the route and the half second of the rule.
const BOUND: Duration = Duration::from_millis(1_500);

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
    let offer = match trouble {
        true => {
            "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"
        }
        false => "Connection: close\r\n",
    };
    let calls: Vec<_> = (0..REQUESTS)
        .map(|nth| {
            let id = format!("h{nth}");
            let request = format!(
                "GET /u/name HTTP/1.1\r\nHost: a.example\r\nFireflyhoist-Request-Id: {id}\r\n\
                 Fireflyhoist-Deadline-Ms: 1000\r\n{offer}\r\n"
            );
            std::thread::spawn(move || {
                // Longer than any bound, so that the record shows when an answer comes.
                (id, client::exchange(front, request.as_bytes(), Duration::from_secs(20)))
            })
        })
        .collect();
    let mut unanswered = 0;
    for call in calls {
        let (id, answer) = call.join().map_err(|_| "a client failed")?;
        let ran = hosts.iter().any(|host| !host.seen(&format!("begin {id}")).is_empty());
        record.line(&format!(
            "{id}: status {} after {} ms, connection {}, run: {ran}",
            answer.status(),
            answer.took.as_millis(),
            answer.ended
        ));
        unanswered += usize::from(answer.status() == "none" || answer.took > BOUND);
    }
    record.line(&format!("{unanswered} of {REQUESTS} had no final answer 0.5 s after timeoutMs"));
    Ok(unanswered >= 8 && unanswered * 4 > REQUESTS)
}
