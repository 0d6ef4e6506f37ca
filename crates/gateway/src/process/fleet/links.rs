//! Opens links that are needed, closes unused ones, and announces who is alive.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::{id, rendezvous};
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::{sleep, timeout};

use crate::connection::frame::Frame;
use crate::process::fleet::Fleet;

/// The interval at which links are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How much longer a leaf with all its links waits unless it learns of a change.
const LINKED_INTERVAL: Duration = Duration::from_millis(800);

/// How long an entry waits for the other end to dial before it dials itself. Of two entries the one
/// with the lower address dials; without this rule both would dial at once and each would close the
/// link of the other.
const DIAL_GRACE: Duration = Duration::from_millis(1_200);

/// The time between two attempts to dial the same address.
const REDIAL_INTERVAL: Duration = Duration::from_millis(600);

/// The interval of checks and of attempts to dial the same address for an entry that has just
/// started and has no link yet. When all entries lost power together, its seeds are not up yet and
/// packets to them are lost. A new attempt reaches a seed that has come up long before the system
/// retransmits the lost packet.
const STARTUP_INTERVAL: Duration = Duration::from_millis(100);

/// How long after its start an entry counts as starting. Seeds dial each other during this time even
/// if they have links.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// The interval at which an entry dials one seed that it does not know to be alive, so that parts
/// of a fleet that were partitioned find each other again.
const SEED_DIAL_INTERVAL: Duration = Duration::from_secs(3);

/// How long a link is kept that neither end needs.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(3);

impl Fleet {
    /// Maintains the links and announces who is alive, for as long as the process runs.
    pub(super) async fn maintain_links(self: Arc<Self>) {
        let mut seed_dialled_at = self.now();
        loop {
            self.refresh();
            self.announce_alive();
            let mut wanted: Vec<SocketAddr> = self.view().links.iter().map(|m| m.peers).collect();
            let now = self.now();
            if now.since(seed_dialled_at) >= SEED_DIAL_INTERVAL {
                seed_dialled_at = now;
                wanted.extend(self.random_unknown_seed());
            }
            wanted.extend(self.startup_seeds());
            for address in self.take_due_dials(wanted) {
                ntex::rt::spawn(Arc::clone(&self.links).dial(address)).detach();
            }
            self.close_unused();
            sleep(if self.is_starting() { STARTUP_INTERVAL } else { CHECK_INTERVAL }).await;
            if self.is_linked_leaf() {
                // It has nothing to do until it loses a link or other entries become active.
                let _ = timeout(LINKED_INTERVAL, self.changed()).await;
            }
        }
    }

    /// Returns whether this entry is a leaf that has links to its actives and to no other entry, to
    /// which it would announce who is alive.
    fn is_linked_leaf(&self) -> bool {
        let view = self.view();
        let wanted: BTreeSet<&id::Host> = view.links.iter().map(|member| &member.host).collect();
        let peers = self.peers.lock();
        !view.actives.contains(&self.own.host)
            && !wanted.is_empty()
            && wanted.iter().copied().eq(peers.keys().collect::<BTreeSet<_>>())
    }

    /// Sends all linked entries the changes of the list of live entries.
    fn announce_alive(&self) {
        let Some(update) = self.publisher.lock().update(self.announced()) else { return };
        let peers: Vec<id::Host> = self.peers.lock().keys().cloned().collect();
        self.links.send_all(peers.iter(), &Frame::Presence(update));
    }

    /// Returns the seeds to dial after the start, and later while this entry has no link.
    ///
    /// Seeds link to each other, so that the whole fleet is connected through them. Any other entry
    /// begins with one seed and adds another one every [`redial_interval`](Self::redial_interval)
    /// until it has a link; otherwise every seed would have to accept links from the whole fleet
    /// when it starts.
    fn startup_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.process.seeds();
        let age = self.now().since(self.started_at);
        if self.is_seed() {
            return if age < STARTUP_PERIOD || self.is_alone() { seeds } else { Vec::new() };
        }
        if !self.is_alone() {
            return Vec::new();
        }
        let named: Vec<(SmolStr, SocketAddr)> =
            seeds.into_iter().map(|seed| (seed.to_smolstr(), seed)).collect();
        let ranked = rendezvous::rank(self.own.host.as_str(), &named, |(name, _)| name.as_str());
        let attempts = age.as_millis() / self.redial_interval().as_millis();
        let count = 1 + usize::try_from(attempts).unwrap_or(usize::MAX);
        ranked.into_iter().take(count).map(|(_, seed)| *seed).collect()
    }

    /// Returns a random seed among those that are not known to be alive.
    fn random_unknown_seed(&self) -> Option<SocketAddr> {
        let view = self.view();
        let known = |seed: &SocketAddr| view.alive.iter().any(|p| p.member.peers == *seed);
        let unknown: Vec<SocketAddr> =
            self.process.seeds().into_iter().filter(|seed| !known(seed)).collect();
        let draw: usize = rand::random_range(0..unknown.len().max(1));
        unknown.get(draw).copied()
    }

    /// Returns whether this entry has just started and has no link yet.
    fn is_starting(&self) -> bool {
        self.is_alone() && self.now().since(self.started_at) < STARTUP_PERIOD
    }

    /// Returns the time between two attempts to dial the same address.
    fn redial_interval(&self) -> Duration {
        if self.is_starting() { STARTUP_INTERVAL } else { REDIAL_INTERVAL }
    }

    /// Returns the wanted addresses that have no link and are due to be dialled, and records the
    /// attempts.
    fn take_due_dials(&self, wanted: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let now = self.now();
        let (seeds, interval) = (self.process.seeds(), self.redial_interval());
        let mut due = Vec::new();
        let mut dialled = self.dialled.lock();
        dialled.retain(|address, _| wanted.contains(address));
        for address in wanted {
            if address == self.own.peers {
                continue;
            }
            if self.links.has_link_to(address) {
                dialled.remove(&address);
                continue;
            }
            let first = !dialled.contains_key(&address);
            let (tried_at, since) = *dialled.entry(address).or_insert((now, now));
            // A seed can't dial an entry that no other entry has announced to it yet.
            let seed = !self.is_seed() && seeds.contains(&address);
            let dials = seed || self.own.peers < address || now.since(since) >= DIAL_GRACE;
            if dials && (first || now.since(tried_at) >= interval) {
                dialled.insert(address, (now, since));
                due.push(address);
            }
        }
        due
    }

    /// Closes links that neither end has needed for [`UNUSED_TIMEOUT`], such as those to seeds
    /// after the start.
    fn close_unused(&self) {
        let (view, now) = (self.view(), self.now());
        let active = self.is_active();
        let mut peers = self.peers.lock();
        let mut unused = Vec::new();
        for (host, peer) in peers.iter_mut() {
            let active_peer = view.actives.contains(host);
            let leaf = active && !active_peer && peer.member.domain == self.own.domain;
            let linked = view.links.iter().any(|member| member.host == *host);
            if linked || leaf || (active && active_peer) {
                peer.last_used = now;
            } else if now.since(peer.last_used) >= UNUSED_TIMEOUT {
                unused.push(host.clone());
            }
        }
        drop(peers);
        unused.iter().for_each(|host| self.links.close(host));
    }
}
