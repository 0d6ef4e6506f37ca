//! Tells other entries which version of software began each stream, and asks them for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::origin::{self, Key, Origin, Outbox};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use crate::connection::frame::{Frame, Permit};
use crate::process::fleet::Fleet;

/// How long the entries that are asked for an origin may take: about twenty round trips.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(100);

/// How often the origins of open streams are sent to entries that have taken the place of others.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// What is still to be told.
#[derive(Debug, Default)]
pub(super) struct Origins {
    outbox: Mutex<Outbox>,
    /// Whether the entries that keep origins may have changed.
    keepers_changed: AtomicBool,
}

impl Origins {
    pub(super) fn keepers_changed(&self) {
        self.keepers_changed.store(true, Ordering::Release);
    }
}

impl Fleet {
    /// Records that the first event of a stream was delivered, and tells the entries that keep its
    /// origin with the next heartbeat.
    pub(crate) fn begin_stream(&self, key: Key, origin: Origin) {
        self.publish_origin(key, &origin, false);
        self.process.begin_stream(key, origin);
    }

    /// Replaces the origin of a stream that is relayed here, also at the entries that keep it.
    pub(crate) fn correct_stream(&self, key: Key, origin: Origin) {
        self.publish_origin(key, &origin, true);
        self.process.correct_stream(key, origin);
    }

    /// Returns which service and version began a stream of a workspace, if any entry knows.
    ///
    /// The entries that should keep it are asked first. Entries that differ on who is alive may have
    /// chosen others, so the rest is asked if none of them knows.
    pub(crate) async fn find_origin(
        &self,
        key: Key,
        workspace: Option<&id::Workspace>,
    ) -> Option<Origin> {
        if let Some(origin) = self.process.origin(key) {
            return Some(origin);
        }
        if !self.process.try_look_up(workspace) {
            return None;
        }
        let entries = self.current_actives();
        let keepers: Vec<id::Host> = origin::keepers(key, &entries).into_iter().cloned().collect();
        if let Some(origin) = self.ask_for_origin(key, &keepers).await {
            return Some(origin);
        }
        if !self.process.try_look_up_widely() {
            return None;
        }
        let others: Vec<id::Host> =
            entries.into_iter().filter(|entry| !keepers.contains(entry)).collect();
        self.ask_for_origin(key, &others).await
    }

    /// Asks several entries at once, and returns the first origin that one of them knows.
    async fn ask_for_origin(&self, key: Key, entries: &[id::Host]) -> Option<Origin> {
        let permit = Permit::Resumption(key);
        let ask = |entry| self.ask(entry, permit.clone(), LOOKUP_TIMEOUT);
        let mut asked: FuturesUnordered<_> = entries.iter().map(ask).collect();
        while let Some(reply) = asked.next().await {
            if let Some(origin) = reply.and_then(|reply| reply.origin) {
                return Some(origin);
            }
        }
        None
    }

    /// Sends the origins that are due.
    pub(super) fn send_origins(&self) {
        for (entry, updates) in self.origins.outbox.lock().take() {
            self.links.send(&entry, &Frame::Origins(updates));
        }
    }

    /// Tells the origins of open streams again, for as long as the process runs.
    pub(super) async fn republish_origins(self: Arc<Self>) {
        let mut refreshed_at = Instant::now();
        loop {
            sleep(REPUBLISH_INTERVAL).await;
            let due = refreshed_at.elapsed() >= origin::REFRESH;
            if self.origins.keepers_changed.swap(false, Ordering::AcqRel) || due {
                refreshed_at = Instant::now();
                for (key, origin, corrected) in self.process.open_streams() {
                    self.publish_origin(key, &origin, corrected);
                }
            }
        }
    }

    fn publish_origin(&self, key: Key, origin: &Origin, corrected: bool) {
        let entries = self.current_actives();
        let mut outbox = self.origins.outbox.lock();
        for entry in origin::keepers(key, &entries) {
            outbox.push(entry.clone(), key, origin.clone(), corrected);
        }
    }
}
