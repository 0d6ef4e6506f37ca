//! Replicas that leave after outages of the store in which the leases of all replicas ran out.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::client;
use crate::edge::Edge;
use crate::host::{self, Host};
use crate::record::Record;
use crate::store::Store;

const EDGES: usize = 6;
const HOSTS: usize = 12;
const ROUNDS: usize = 9;

/// How many leave after each outage: a quarter.
const LEAVE: usize = 3;

/// `drainMs` of small deployments.
const DRAIN: Duration = Duration::from_millis(2_000);

/// What a request may take on its way on a busy machine.
const SLACK: Duration = Duration::from_millis(100);

const OUTAGE: Duration = Duration::from_millis(3_000);

/// From the end of an outage until replicas leave: `stableWindowMs` and half a second more.
const CALM: Duration = Duration::from_millis(3_500);

/// How long a replica serves after its entry was removed: `drainMs` and a little longer.
const SERVES: Duration = Duration::from_millis(2_800);

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let store = Store::open();
    let key = |host: &Host| format!("servers/{}", host.name);
    store.put("op/config", host::config());
    let mut hosts: Vec<Host> = Vec::new();
    for nth in 1..=HOSTS {
        let host = Host::start(&format!("i-{nth}"), false)?;
        store.put(&key(&host), &host.entry("katalog", 6));
        hosts.push(host);
    }
    let mut edges: Vec<Edge> = Vec::new();
    for nth in 1..=EDGES {
        let seeds: Vec<u16> = edges.iter().take(2).map(|edge| edge.control).collect();
        edges.push(Edge::start(&format!("edge-{nth}"), store.port, &seeds)?);
    }
    edges.iter().try_for_each(Edge::until_ready)?;
    std::thread::sleep(Duration::from_secs(5));
    let ended = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let clients: Vec<_> = (0..2 * EDGES)
        .map(|client| {
            let (ended, answers) = (Arc::clone(&ended), Arc::clone(&answers));
            let front = edges[client % EDGES].front;
            std::thread::spawn(move || {
                for nth in 0.. {
                    if ended.load(Ordering::Relaxed) {
                        break;
                    }
                    let request = format!(
                        "POST /u/name HTTP/1.1\r\nHost: a.example\r\nFireflyhoist-Request-Id: u{client}-{nth}\r\n\
                         Fireflyhoist-Deadline-Ms: 1000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
                    );
                    let answer = client::exchange(front, request.as_bytes(), Duration::from_secs(2));
                    *answers.lock().expect("no panic").entry(answer.status()).or_default() += 1;
                    std::thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    let (mut late, mut next) = (0, HOSTS + 1);
    for round in 1..=ROUNDS {
        std::thread::sleep(Duration::from_millis(300));
        if trouble {
            record.line(&format!("round {round}: the store is silent, and leases run out"));
            store.set_silent(true);
            std::thread::sleep(OUTAGE / 2);
            hosts.iter().for_each(|host| store.remove(&key(host)));
            std::thread::sleep(OUTAGE / 2);
            store.set_silent(false);
            record.line("the store answers again");
        }
        let calm_at = Instant::now() + CALM;
        if trouble {
            // All are back within 1.8 s, those that leave next last.
            for host in hosts.iter().rev() {
                std::thread::sleep(Duration::from_millis(150));
                store.put(&key(host), &host.renewed_entry("katalog", 6, 10 * round as u32));
            }
        }
        std::thread::sleep(calm_at.saturating_duration_since(Instant::now()));
        let leaving: Vec<Host> = hosts.drain(..LEAVE).collect();
        leaving.iter().for_each(|host| store.remove(&key(host)));
        let removed_at = Instant::now();
        for _ in 0..LEAVE {
            let host = Host::start(&format!("i-{next}"), false)?;
            next += 1;
            store.put(&key(&host), &host.entry("katalog", 6));
            hosts.push(host);
        }
        std::thread::sleep(SERVES.saturating_sub(removed_at.elapsed()));
        for host in &leaving {
            host.kill_worker();
            let after = |at: Instant| at.saturating_duration_since(removed_at);
            let reached: Vec<Duration> =
                host.seen("begin ").iter().map(|(at, _)| after(*at)).collect();
            let of_host = reached.iter().filter(|after| **after > DRAIN + SLACK).count();
            let last = reached.iter().max().copied().unwrap_or_default();
            record.line(&format!(
                "{} was removed; {of_host} requests reached it later than drainMs, the last after {} ms",
                host.name,
                last.as_millis()
            ));
            late += of_host;
        }
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    record.line(&format!("answers by status: {:?}", answers.lock().expect("no panic")));
    record.line(&format!("{late} requests reached a removed replica later than drainMs"));
    for (nth, edge) in edges.iter().enumerate() {
        for line in edge.log(&["still missing", "targets listed"]) {
            record.line(&format!("edge-{}: {line}", nth + 1));
        }
    }
    Ok(late > 0)
}
