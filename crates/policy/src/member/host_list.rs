//! The platform's host list, merged by its sequence number.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::member::Record;

/// A host of the list that runs an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The name of the host.
    pub host: id::Host,
    /// The failure domain of the host.
    pub domain: id::Domain,
    /// The address on which it serves callers.
    pub http: SocketAddr,
    /// The address on which it serves other daemons.
    pub peer: SocketAddr,
}

/// A host list as read from the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// The sequence number, which grows with each change of the list.
    pub sequence: u64,
    /// The host.
    pub hosts: Vec<(id::Host, bool)>,
    /// The hosts among them that run an entry.
    pub entries: Vec<Entry>,
}

/// A change of one host in the published list, forwarded by the member that read the list first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The host.
    pub host: id::Host,
    /// The sequence number of the list that contains the change.
    pub sequence: u64,
    /// Whether the host is leaving, or no longer listed.
    pub leaving: bool,
}

/// The newest known state of each published host.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostStates {
    sequence: u64,
    changes: u64,
    hosts: BTreeMap<id::Host, HostState>,
    addresses: BTreeMap<id::Host, Addresses>,
}

/// The addresses that the list gives for a host.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    http: SocketAddr,
    peer: SocketAddr,
}

/// The state of one host, and the sequence number of the list that it comes from.
#[derive(Clone, Copy, Debug)]
struct HostState {
    sequence: u64,
    leaving: bool,
    listed: bool,
}

impl HostStates {
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns a counter that changes when a host starts or stops leaving.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn is_listed(&self, host: &id::Host) -> bool {
        self.hosts.get(host).is_some_and(|state| state.listed)
    }

    pub(crate) fn is_leaving(&self, host: &id::Host) -> bool {
        self.hosts.get(host).is_some_and(|state| state.leaving)
    }

    /// Returns the record with the listed addresses, if the list contains the host.
    ///
    /// A member that has not read the list yet announces the addresses that it is bound to, which
    /// other hosts may not be able to reach.
    pub(crate) fn with_listed_addresses(&self, record: &Record) -> Record {
        let mut located = record.clone();
        if let Some(addresses) = self.addresses.get(&record.host) {
            (located.http, located.peer) = (addresses.http, addresses.peer);
        }
        located
    }

    /// Applies a list and returns the changes that it makes.
    ///
    /// A platform that serves stale content may report a host as live that has been leaving for
    /// long. A list with a lower sequence number than the newest one is therefore ignored, and so
    /// is each host of a list for which a later notice has arrived.
    pub(crate) fn apply_list(&mut self, published: &HostList) -> Vec<Notice> {
        if published.sequence < self.sequence {
            return Vec::new();
        }
        self.sequence = published.sequence;
        let addresses = |entry: &Entry| Addresses { http: entry.http, peer: entry.peer };
        self.addresses = published.entries.iter().map(|e| (e.host.clone(), addresses(e))).collect();
        let sequence = published.sequence;
        let mut changed = Vec::new();
        let listed: BTreeMap<&id::Host, bool> =
            published.hosts.iter().map(|(host, leaving)| (host, *leaving)).collect();
        let gone: Vec<id::Host> =
            self.hosts.keys().filter(|host| !listed.contains_key(host)).cloned().collect();
        for host in gone {
            let notice = Notice { host, sequence, leaving: true };
            if self.update(&notice, false) {
                changed.push(notice);
            }
        }
        for (host, leaving) in listed {
            let notice = Notice { host: host.clone(), sequence, leaving };
            if self.update(&notice, true) {
                changed.push(notice);
            }
        }
        // Hosts that are no longer listed stay known as leaving. Hosts that are neither listed nor
        // leaving are dropped.
        self.hosts.retain(|_, state| state.listed || state.leaving);
        changed
    }

    /// Applies a notice from a peer and returns whether it changed anything.
    pub(crate) fn apply_notice(&mut self, notice: &Notice) -> bool {
        let listed = self.is_listed(&notice.host);
        self.update(notice, listed)
    }

    /// Sets the state of a host unless a newer one is known; returns whether the host started or
    /// stopped leaving.
    fn update(&mut self, notice: &Notice, listed: bool) -> bool {
        let before = self.hosts.get(&notice.host).copied();
        if before.is_some_and(|state| state.sequence > notice.sequence) {
            return false;
        }
        let state = HostState { sequence: notice.sequence, leaving: notice.leaving, listed };
        self.hosts.insert(notice.host.clone(), state);
        let changed = before.is_some_and(|state| state.leaving) != notice.leaving;
        self.changes += u64::from(changed);
        changed
    }
}
