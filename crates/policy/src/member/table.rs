//! The records that one process holds, with a hash by which two tables are compared.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;
use crate::member::{Record, Status};
use crate::time::Time;

/// Records by host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<id::Host, Row>,
    hash: u64,
    live_changed: bool,
}

#[derive(Clone, Debug)]
struct Row {
    record: Record,
    since: Time,
}

impl Table {
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn get(&self, host: &id::Host) -> Option<&Record> {
        self.rows.get(host).map(|row| &row.record)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.rows.values().map(|row| &row.record)
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.status != Status::Dead)
    }

    pub(crate) fn dead(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.status == Status::Dead)
    }

    /// Returns whether no record of another member has arrived yet; unseen published hosts do not
    /// count.
    pub(crate) fn knows_only_self(&self) -> bool {
        self.records().filter(|record| record.incarnation > 0).count() <= 1
    }

    /// Returns a hash over the hosts and incarnations that are not dead; 0 for an empty table.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns whether the set of live members has changed since the last call.
    pub(crate) fn take_live_changed(&mut self) -> bool {
        std::mem::take(&mut self.live_changed)
    }

    /// Stores a record unless the known one supersedes or equals it; returns whether it was stored.
    pub(crate) fn merge(&mut self, now: Time, record: &Record) -> bool {
        let before = self.get(&record.host);
        if before.is_some_and(|before| !record.supersedes(before)) {
            return false;
        }
        let dead = |record: &Record| record.status == Status::Dead;
        let live_changed = before.is_none_or(|before| dead(before) != dead(record));
        let change = before.map_or(0, record_hash) ^ record_hash(record);
        self.live_changed |= live_changed;
        self.hash ^= change;
        self.rows.insert(record.host.clone(), Row { record: record.clone(), since: now });
        true
    }

    /// Replaces every record by the result of `with_addresses`, which may change nothing but the
    /// addresses.
    pub(crate) fn update_addresses(&mut self, with_addresses: impl Fn(&Record) -> Record) {
        self.rows.values_mut().for_each(|row| row.record = with_addresses(&row.record));
    }

    /// Returns whether the stored record of the host supersedes `record`.
    pub(crate) fn supersedes(&self, record: &Record) -> bool {
        self.get(&record.host).is_some_and(|held| held.supersedes(record))
    }

    /// Returns the suspects that have not refuted the suspicion within `after`.
    pub(crate) fn expired_suspects(&self, now: Time, after: Duration) -> Vec<id::Host> {
        let expired =
            |row: &&Row| row.record.status == Status::Suspect && now.since(row.since) >= after;
        self.rows.values().filter(expired).map(|row| row.record.host.clone()).collect()
    }

    /// Restarts the timeout of every suspicion.
    pub(crate) fn restart_timers(&mut self, now: Time) {
        self.rows.values_mut().for_each(|row| row.since = now);
    }

    /// Evicts members that have been dead for `after` and are not listed.
    pub(crate) fn evict_dead(
        &mut self,
        now: Time,
        after: Duration,
        listed: impl Fn(&id::Host) -> bool,
    ) {
        self.rows.retain(|host, row| {
            row.record.status != Status::Dead || now.since(row.since) < after || listed(host)
        });
    }

    /// Returns at most `limit` records after `after`, ordered by host, and whether more follow.
    ///
    /// Unseen and dead members are left out.
    pub(crate) fn page(&self, after: Option<&id::Host>, limit: usize) -> (Vec<Record>, bool) {
        let known = |record: &&Record| record.incarnation > 0 && record.status != Status::Dead;
        let rest = |record: &&Record| after.is_none_or(|after| record.host > *after);
        let mut records: Vec<Record> =
            self.records().filter(known).filter(rest).take(limit + 1).cloned().collect();
        let more = records.len() > limit;
        records.truncate(limit);
        (records, more)
    }
}

/// Returns the contribution of a record to the hash of the table: 0 for dead and for unseen
/// members, about which two members may disagree for long without harm.
fn record_hash(record: &Record) -> u64 {
    if record.incarnation == 0 || record.status == Status::Dead {
        return 0;
    }
    xxh3_64_with_seed(record.host.as_str().as_bytes(), record.incarnation)
}
