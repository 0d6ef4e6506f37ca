//! Carries out what membership and versions decide: links, texts, and what requests may rely on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::connection::peer::{Event, Links};
use crate::process::Process;
use crate::process::member::Step;

/// How often decisions are polled; a tenth of a heartbeat.
const POLL: Duration = Duration::from_millis(100);

/// How often the addresses of the settings are tried while nobody was heard.
const SEEK: Duration = Duration::from_secs(1);

/// Events that wait for the process; links hold back what they read beyond that.
pub(crate) const BACKLOG: usize = 1_024;

/// Runs this process's part in the fleet until it stops.
pub(crate) async fn run(
    process: Arc<Process>,
    links: Arc<Links>,
    mut events: mpsc::Receiver<Event>,
) {
    let mut due = tokio::time::interval(POLL);
    due.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !process.is_stopped() {
        let steps = tokio::select! {
            // The poll goes first: after a pause it must disown what the links had buffered.
            biased;
            _ = due.tick() => process.control.poll(process.clock.now()),
            Some(event) = events.recv() => taken(&process, &links, event),
        };
        for step in steps {
            carry_out(&process, &links, step);
        }
        process.refresh();
    }
    links.reset();
}

fn taken(process: &Process, links: &Links, event: Event) -> Vec<Step> {
    let now = process.clock.now();
    match event {
        Event::Frame { era, from, frame } if era == links.era() => {
            process.control.receive(now, &from, frame)
        }
        Event::Frame { .. } => Vec::new(),
        Event::Found(host, address) => vec![process.control.greet(host, address)],
        Event::Unreachable(host) => {
            process.control.unreachable(now, &host);
            Vec::new()
        }
    }
}

fn carry_out(process: &Process, links: &Arc<Links>, step: Step) {
    match step {
        Step::Send { to, address, frame } => links.send(&to, address, &frame),
        Step::Replace(host) => links.replace(&host),
        Step::Reset => {
            log::warn!("this process slept; it asks its peers before it is ready again");
            links.reset();
        }
        Step::Text { version, source } => {
            log::debug!(version:% = version; "text arrived from a peer");
            process.take_fetched(version, &source);
        }
    }
}

/// Asks at the addresses of the settings until some member was heard.
pub(crate) async fn seek(process: Arc<Process>, links: Arc<Links>, own: SocketAddr) {
    while !process.is_stopped() {
        if process.control.is_alone() {
            for address in process.settings.peers.iter().filter(|address| **address != own) {
                links.find(*address).await;
            }
        }
        ntex::time::sleep(SEEK).await;
    }
}
