//! Executes what membership and versions decide: sends frames, closes links and applies texts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::connection::peer::{Event, Links};
use crate::process::Process;
use crate::process::member::Effect;

/// How often membership is polled; a tenth of the heartbeat interval.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often the configured peer addresses are dialed until some member sent a message.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(1);

/// The capacity of the event queue; when it is full, links stop reading.
pub(crate) const MAX_PENDING_EVENTS: usize = 1_024;

/// Handles link events and polls membership until the process stops.
pub(crate) async fn run(
    process: Arc<Process>,
    links: Arc<Links>,
    mut events: mpsc::Receiver<Event>,
) {
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    poll.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !process.is_stopped() {
        let effects = tokio::select! {
            // The poll goes first: after a pause of the process it must reset the links, which
            // discards the frames that they had buffered.
            biased;
            _ = poll.tick() => process.control.poll(process.clock.now()),
            Some(event) = events.recv() => handle_event(&process, &links, event),
        };
        for effect in effects {
            execute(&process, &links, effect);
        }
        process.refresh();
    }
    links.reset();
}

fn handle_event(process: &Process, links: &Links, event: Event) -> Vec<Effect> {
    let now = process.clock.now();
    match event {
        Event::Frame { era, from, frame } if era == links.era() => {
            process.control.receive(now, &from, frame)
        }
        Event::Frame { .. } => Vec::new(),
        Event::Discovered(host, address) => vec![process.control.greet(host, address)],
        Event::Unreachable(host) => {
            process.control.unreachable(now, &host);
            Vec::new()
        }
    }
}

fn execute(process: &Process, links: &Arc<Links>, effect: Effect) {
    match effect {
        Effect::Send { to, address, frame } => links.send(&to, address, &frame),
        Effect::CloseLink(host) => links.close(&host),
        Effect::CloseAllLinks => {
            log::warn!("this process slept; it asks its peers before it is ready again");
            links.reset();
        }
        Effect::TextReceived { version, source } => {
            log::debug!(version:% = version; "text arrived from a peer");
            process.apply_peer_text(version, &source);
        }
    }
}

/// Dials the configured peer addresses while no member has sent a message yet.
pub(crate) async fn discover(process: Arc<Process>, links: Arc<Links>, own: SocketAddr) {
    while !process.is_stopped() {
        if process.control.needs_discovery() {
            for address in process.settings.peers.iter().filter(|address| **address != own) {
                links.discover(*address).await;
            }
        }
        ntex::time::sleep(DISCOVERY_INTERVAL).await;
    }
}
