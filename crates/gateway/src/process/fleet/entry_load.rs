//! The load of entries, as they announce it, and the entries that callers are told of.

use fireflyhoist_policy::entry_load::{Announcement, Exclusions};
use fireflyhoist_policy::topology::Member;

use crate::process::fleet::Fleet;

impl Fleet {
    /// Measures what this entry carries. An active also decides which entries its directory leaves
    /// out of answers; a leaf knows the load of few, and uses what its primary active decides.
    pub(super) fn update_entry_load(&self) {
        self.process.sample_entry_load();
        let decides = self.process.scheduling().entry_load && self.is_active();
        let announced = if decides { self.announcements() } else { Vec::new() };
        self.process.update_selection(&announced);
    }

    /// Returns what the ready entries announce of their load, this one included.
    fn announcements(&self) -> Vec<Announcement> {
        let ready = self.ready_members();
        let peers = self.peers.lock();
        let pressure = |member: &Member| match member.host == self.own.host {
            true => self.process.pressure(),
            false => peers.get(&member.host)?.heartbeat.as_ref()?.pressure,
        };
        let announcement = |member: Member| {
            let pressure = pressure(&member)?;
            Some(Announcement { host: member.host, power: member.power, pressure })
        };
        ready.into_iter().filter_map(announcement).collect()
    }

    /// Returns the entries that one caller is told of: the ready ones, without those that this answer
    /// leaves out because of their load.
    pub(crate) fn listed_members(&self) -> Vec<Member> {
        let mut members = self.ready_members();
        self.exclusions().retain(&mut rand::rng(), &mut members, |member| &member.host);
        members
    }

    fn exclusions(&self) -> Exclusions {
        if !self.process.scheduling().entry_load {
            return Exclusions::default();
        }
        if self.is_active() {
            return self.process.exclusions();
        }
        let view = self.view();
        let peers = self.peers.lock();
        let primary = view.links.first().and_then(|member| peers.get(&member.host));
        let heartbeat = primary.and_then(|peer| peer.heartbeat.as_ref());
        heartbeat.map(|heartbeat| heartbeat.left_out.clone()).unwrap_or_default()
    }
}
