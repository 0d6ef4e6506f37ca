//! What still has to be told to which neighbour: each piece of news crosses each link once.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::member::Notice;
use crate::member::neighbour::Neighbour;

/// News for one neighbour.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pending {
    /// Hosts whose records changed.
    pub(crate) records: BTreeSet<id::Host>,
    /// Changes of the published list.
    pub(crate) notices: Vec<Notice>,
}

/// News by neighbour. Bounded: by the hosts known for records, and one notice a host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    by_host: BTreeMap<id::Host, Pending>,
}

impl Outbox {
    /// Whether a neighbour has news to come.
    pub(crate) fn has_pending(&self, to: &id::Host) -> bool {
        self.by_host.get(to).is_some_and(|n| !n.records.is_empty() || !n.notices.is_empty())
    }

    /// Queues the record of `about` for all but whoever told it.
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

    /// Queues a notice for all but whoever told it.
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

    /// Takes at most `limit` records and as many notices for one neighbour.
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

    /// Forgets news for those who are neighbours no more.
    pub(crate) fn retain(&mut self, neighbours: &BTreeMap<id::Host, Neighbour>) {
        self.by_host.retain(|host, _| neighbours.contains_key(host));
    }
}
