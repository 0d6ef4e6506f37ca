//! Links: which to open, which to close, and whom to tell who is alive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::id;
use ntex::time::sleep;

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

/// How long seeds are dialled after the start whoever is linked: the first to answer may know few.
const EARLY: Duration = Duration::from_secs(3);

/// How often one seed is dialled later on, so that parts of a fleet that have lost each other meet.
const REUNION: Duration = Duration::from_secs(3);

/// How long a link that neither end has a use for is kept.
const UNUSED: Duration = Duration::from_secs(3);

impl Fleet {
    /// Opens the links that are missing, closes those of no use, and tells who is alive.
    pub(super) async fn look(self: Arc<Self>) {
        let mut told = Vec::new();
        let mut reunion = self.now();
        loop {
            sleep(LOOK).await;
            self.refresh();
            let linked = self.linked();
            if linked != told {
                told = linked;
                let peers: Vec<id::Host> = self.peers.lock().keys().cloned().collect();
                self.links.send_all(peers.iter(), &Frame::Alive(told.clone()));
            }
            let mut wanted: Vec<SocketAddr> = self.view().links.iter().map(|m| m.peers).collect();
            let now = self.now();
            let alone = self.peers.lock().is_empty();
            if alone || now.since(self.began) < EARLY {
                wanted.extend(self.process.seeds());
            } else if now.since(reunion) >= REUNION {
                reunion = now;
                wanted.extend(self.strange_seed());
            }
            for address in self.missing(wanted) {
                ntex::rt::spawn(Arc::clone(&self.links).dial(address)).detach();
            }
            self.close_unused();
        }
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

    fn missing(&self, wanted: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let now = self.now();
        let mut missing = Vec::new();
        let mut dialled = self.dialled.lock();
        dialled.retain(|address, _| wanted.contains(address));
        for address in wanted {
            if address == self.own.peers {
                continue;
            }
            if self.links.reaches(address) {
                dialled.remove(&address);
                continue;
            }
            let first = !dialled.contains_key(&address);
            let (tried, since) = *dialled.entry(address).or_insert((now, now));
            let turn = self.own.peers < address || now.since(since) >= COURTESY;
            if turn && (first || now.since(tried) >= AGAIN) {
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
