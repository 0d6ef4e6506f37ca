//! What the platform's host list says, joined by its sequence.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::member::Record;

/// An entry host of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it serves callers.
    pub http: SocketAddr,
    /// Where it serves other daemons.
    pub peer: SocketAddr,
}

/// A host list as read from the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// Grows with each change of the list.
    pub sequence: u64,
    /// Every host and whether it is leaving.
    pub hosts: Vec<(id::Host, bool)>,
    /// The entry hosts among them.
    pub entries: Vec<Entry>,
}

/// A change of one host in the published list, passed on by whoever read it first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The host.
    pub host: id::Host,
    /// The sequence of the list that says so.
    pub sequence: u64,
    /// Whether it is leaving, or gone from the list.
    pub leaving: bool,
}

/// The newest that is known of each published host.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostStates {
    sequence: u64,
    changes: u64,
    hosts: BTreeMap<id::Host, HostState>,
    addresses: BTreeMap<id::Host, Addresses>,
}

/// Where the list says that others reach a host.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    http: SocketAddr,
    peer: SocketAddr,
}

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

    /// Counts changes in who is leaving.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn is_listed(&self, host: &id::Host) -> bool {
        self.hosts.get(host).is_some_and(|state| state.listed)
    }

    pub(crate) fn is_leaving(&self, host: &id::Host) -> bool {
        self.hosts.get(host).is_some_and(|state| state.leaving)
    }

    /// The record with the addresses that the list names, where it names the host.
    ///
    /// A member that has not read the list yet gives the addresses that it is bound to, which others
    /// may not reach.
    pub(crate) fn with_listed_addresses(&self, record: &Record) -> Record {
        let mut located = record.clone();
        if let Some(addresses) = self.addresses.get(&record.host) {
            (located.http, located.peer) = (addresses.http, addresses.peer);
        }
        located
    }

    /// Puts a list in place and returns what it changes.
    ///
    /// The failure: a platform that serves stale content names a host as live that has been leaving
    /// for long. A list with a lower sequence than one seen is ignored, and so is each host of it
    /// about which a later notice came.
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
        // What is no longer listed has been told; only what later notices say is kept.
        self.hosts.retain(|_, state| state.listed || state.leaving);
        changed
    }

    /// Takes in a notice from a peer; whether it says something new.
    pub(crate) fn apply_notice(&mut self, notice: &Notice) -> bool {
        let listed = self.is_listed(&notice.host);
        self.update(notice, listed)
    }

    /// Whether what is known changed.
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
