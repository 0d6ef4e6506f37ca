//! A replica whose entry is removed right after the watches of the store were cut.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::client;
use crate::edge::Edge;
use crate::host::{self, Host};
use crate::record::Record;
use crate::store::Store;

const HOSTS: usize = 7;
const CLIENTS: usize = 8;

/// `drainMs` of small deployments.
const DRAIN: Duration = Duration::from_millis(2_000);

/// What a request may take on its way on a busy machine.
const SLACK: Duration = Duration::from_millis(100);

/// How long the replica serves after its entry was removed: `drainMs` and a little longer.
const SERVES: Duration = Duration::from_millis(2_300);

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let store = Store::open();
    let hosts = (1..=HOSTS).map(|nth| Host::start(&format!("i-{nth}"), false));
    let hosts: Vec<Host> = hosts.collect::<Result<_, _>>()?;
    store.put("op/config", host::config());
    for host in &hosts {
        store.put(&format!("servers/{}", host.name), &host.entry("katalog", 6));
    }
    let first = Edge::start("edge-1", store.port, &[])?;
    let second = Edge::start("edge-2", store.port, &[first.control])?;
    first.until_ready()?;
    second.until_ready()?;
    // All have been in touch for longer than stableWindowMs.
    std::thread::sleep(Duration::from_secs(5));
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (ended, record) = (Arc::clone(&ended), record.clone());
        let front = if client % 2 == 0 { first.front } else { second.front };
        clients.push(std::thread::spawn(move || {
            let mut sent = Vec::new();
            for nth in 0.. {
                if ended.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("u{client}-{nth}");
                let request = format!(
                    "POST /u/name HTTP/1.1\r\nHost: a.example\r\nFireflyhoist-Request-Id: {id}\r\n\
                     Fireflyhoist-Deadline-Ms: 1000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
                );
                let at = Instant::now();
                let answer = client::exchange(front, request.as_bytes(), Duration::from_secs(2));
                if answer.status() != "200" {
                    record.line(&format!("{id}: status {}, connection {}", answer.status(), answer.ended));
                }
                sent.push((id, at, answer.status()));
                std::thread::sleep(Duration::from_millis(5));
            }
            sent
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        record.line("the watches that wait are cut, once");
        store.cut();
        std::thread::sleep(Duration::from_millis(20));
    }
    let leaving = &hosts[0];
    store.remove(&format!("servers/{}", leaving.name));
    let removed_at = Instant::now();
    record.line(&format!("the entry of {} is removed", leaving.name));
    std::thread::sleep(SERVES.saturating_sub(removed_at.elapsed()));
    leaving.kill_worker();
    record.line(&format!("{} has ended", leaving.name));
    std::thread::sleep(Duration::from_secs(1));
    ended.store(true, Ordering::Relaxed);
    let mut all = Vec::new();
    for client in clients {
        all.extend(client.join().map_err(|_| "a client failed")?);
    }
    let reached = leaving.seen("begin ");
    let (mut late, mut lost) = (0, 0);
    for (at, line) in &reached {
        let after = at.saturating_duration_since(removed_at);
        if after <= DRAIN + SLACK {
            continue;
        }
        late += 1;
        let id = line.strip_prefix("begin ").unwrap_or("");
        let sent = all.iter().find(|(known, ..)| known == id);
        let status = sent.map_or("unknown", |(.., status)| status);
        lost += usize::from(status != "200");
        record.line(&format!(
            "{id} reached {} {} ms after the removal; its client got {status}",
            leaving.name,
            after.as_millis()
        ));
    }
    let served = all.iter().filter(|(.., status)| status == "200").count();
    record.line(&format!(
        "{} requests, {served} served; {late} reached the removed replica later than drainMs, {lost} of them lost",
        all.len()
    ));
    for edge in [&first, &second] {
        for line in edge.log(&["registry call failed", "target changed", "missing after"]) {
            record.line(&line);
        }
    }
    Ok(late > 0)
}
