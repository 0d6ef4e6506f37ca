//! Links: which to open, which to close, and whom to tell who is alive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::{id, rendezvous};
use ntex::time::sleep;
use smol_str::{SmolStr, ToSmolStr};

use crate::connection::frame::Frame;
use crate::process::fleet::Fleet;

/// How often links are looked at.
const LOOK: Duration = Duration::from_millis(200);

/// How long an entry waits for the other end to open their link before it does so itself. Of two
/// the one with the lower address dials; without the order both dial at once and each closes the
/// other's link.
const COURTESY: Duration = Duration::from_millis(1_200);

/// Time between two tries to reach the same address.
const AGAIN: Duration = Duration::from_millis(600);

/// The same, and between two looks, for an entry that has just started and found nobody. Where all lost
/// power together its seeds are not up yet, and what is sent to them is lost; a new try reaches a seed
/// that is up long before the system sends the lost packet again.
const ARRIVAL: Duration = Duration::from_millis(100);

/// How long seeds dial each other after their start whoever is linked.
const EARLY: Duration = Duration::from_secs(3);

/// How often one seed is dialled later on, so that parts of a fleet that have lost each other meet.
const REUNION: Duration = Duration::from_secs(3);

/// How long a link that neither end has a use for is kept.
const UNUSED: Duration = Duration::from_secs(3);

impl Fleet {
    /// Opens the links that are missing, closes those of no use, and tells who is alive.
    pub(super) async fn look(self: Arc<Self>) {
        let mut reunion = self.now();
        loop {
            self.refresh();
            self.share_alive();
            let mut wanted: Vec<SocketAddr> = self.view().links.iter().map(|m| m.peers).collect();
            let now = self.now();
            if now.since(reunion) >= REUNION {
                reunion = now;
                wanted.extend(self.strange_seed());
            }
            wanted.extend(self.first_seeds());
            for address in self.missing(wanted) {
                ntex::rt::spawn(Arc::clone(&self.links).dial(address)).detach();
            }
            self.close_unused();
            sleep(if self.is_arriving() { ARRIVAL } else { LOOK }).await;
        }
    }

    /// Tells all that have a link what changed of who is alive.
    fn share_alive(&self) {
        let Some(update) = self.teller.lock().update(self.linked()) else { return };
        let peers: Vec<id::Host> = self.peers.lock().keys().cloned().collect();
        self.links.send_all(peers.iter(), &Frame::Presence(update));
    }

    /// The seeds to link to while this entry knows too few others.
    ///
    /// Seeds find each other, so that all of the fleet meets there. Any other entry begins with one
    /// of them and goes on to the next while it has no link, or each seed would greet the whole
    /// fleet at its start.
    fn first_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.process.seeds();
        let age = self.now().since(self.began);
        if self.is_seed() {
            return if age < EARLY || self.is_alone() { seeds } else { Vec::new() };
        }
        if !self.is_alone() {
            return Vec::new();
        }
        let named: Vec<(SmolStr, SocketAddr)> =
            seeds.into_iter().map(|seed| (seed.to_smolstr(), seed)).collect();
        let ranked = rendezvous::rank(self.own.host.as_str(), &named, |(name, _)| name.as_str());
        let steps = age.as_millis() / self.again().as_millis();
        let count = 1 + usize::try_from(steps).unwrap_or(usize::MAX);
        ranked.into_iter().take(count).map(|(_, seed)| *seed).collect()
    }

    /// A seed that nobody tells of.
    fn strange_seed(&self) -> Option<SocketAddr> {
        let view = self.view();
        let known = |seed: &SocketAddr| view.alive.iter().any(|p| p.member.peers == *seed);
        let strange: Vec<SocketAddr> =
            self.process.seeds().into_iter().filter(|seed| !known(seed)).collect();
        let draw: usize = rand::random_range(0..strange.len().max(1));
        strange.get(draw).copied()
    }

    /// Whether it has just started and found nobody yet.
    fn is_arriving(&self) -> bool {
        self.is_alone() && self.now().since(self.began) < EARLY
    }

    /// Time between two tries to reach the same address.
    fn again(&self) -> Duration {
        if self.is_arriving() { ARRIVAL } else { AGAIN }
    }

    fn missing(&self, wanted: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let now = self.now();
        let (seeds, again) = (self.process.seeds(), self.again());
        let mut missing = Vec::new();
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
            let (tried, since) = *dialled.entry(address).or_insert((now, now));
            // A seed can't dial an entry of which nobody has told it yet.
            let unknown = !self.is_seed() && seeds.contains(&address);
            let turn = unknown || self.own.peers < address || now.since(since) >= COURTESY;
            if turn && (first || now.since(tried) >= again) {
                dialled.insert(address, (now, since));
                missing.push(address);
            }
        }
        missing
    }

    /// Closes links that neither end has a use for, such as those to seeds after the start.
    fn close_unused(&self) {
        let (view, now) = (self.view(), self.now());
        let active = self.is_active();
        let mut peers = self.peers.lock();
        let mut unused = Vec::new();
        for (host, peer) in peers.iter_mut() {
            let theirs = view.actives.contains(host);
            let leaf = active && !theirs && peer.member.domain == self.own.domain;
            let linked = view.links.iter().any(|member| member.host == *host);
            if linked || leaf || (active && theirs) {
                peer.used = now;
            } else if now.since(peer.used) >= UNUSED {
                unused.push(host.clone());
            }
        }
        drop(peers);
        unused.iter().for_each(|host| self.links.close(host));
    }
}
