//! Updates queued for each neighbour; each update crosses each link once.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::member::Notice;
use crate::member::neighbour::Neighbour;

/// The updates queued for one neighbour.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pending {
    /// Hosts whose records changed.
    pub(crate) records: BTreeSet<id::Host>,
    /// Changes of the published host list.
    pub(crate) notices: Vec<Notice>,
}

/// Queued updates by neighbour. Bounded by the number of known hosts: one record and one notice for
/// each.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    by_host: BTreeMap<id::Host, Pending>,
}

impl Outbox {
    /// Returns whether any update is queued for a neighbour.
    pub(crate) fn has_pending(&self, to: &id::Host) -> bool {
        self.by_host.get(to).is_some_and(|n| !n.records.is_empty() || !n.notices.is_empty())
    }

    /// Queues the record of `about` for the hosts of `to` other than `from`, which sent it.
    pub(crate) fn queue_record<'a>(
        &mut self,
        about: &id::Host,
        from: Option<&id::Host>,
        to: impl Iterator<Item = &'a id::Host>,
    ) {
        for host in to.filter(|host| Some(*host) != from) {
            self.by_host.entry(host.clone()).or_default().records.insert(about.clone());
        }
    }

    /// Queues a notice for the hosts of `to` other than `from`, which sent it. It replaces a queued
    /// notice about the same host.
    pub(crate) fn queue_notice<'a>(
        &mut self,
        notice: Notice,
        from: Option<&id::Host>,
        to: impl Iterator<Item = &'a id::Host>,
    ) {
        for host in to.filter(|host| Some(*host) != from) {
            let notices = &mut self.by_host.entry(host.clone()).or_default().notices;
            notices.retain(|queued| queued.host != notice.host);
            notices.push(notice.clone());
        }
    }

    /// Removes and returns at most `limit` records and at most `limit` notices for one neighbour.
    pub(crate) fn take(&mut self, to: &id::Host, limit: usize) -> Pending {
        let Some(pending) = self.by_host.get_mut(to) else { return Pending::default() };
        let rest = pending.notices.split_off(pending.notices.len().min(limit));
        let notices = std::mem::replace(&mut pending.notices, rest);
        let mut records = BTreeSet::new();
        while let Some(host) = pending.records.pop_first() {
            records.insert(host);
            if records.len() == limit {
                break;
            }
        }
        Pending { records, notices }
    }

    /// Drops the updates for hosts that are no longer neighbours.
    pub(crate) fn retain(&mut self, neighbours: &BTreeMap<id::Host, Neighbour>) {
        self.by_host.retain(|host, _| neighbours.contains_key(host));
    }
}
