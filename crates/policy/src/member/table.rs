//! All records of one process, with the hash by which two tables are compared.

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

    /// Whether nobody but this process was heard of yet.
    pub(crate) fn knows_only_self(&self) -> bool {
        self.records().filter(|record| record.incarnation > 0).count() <= 1
    }

    /// A hash of who is live in which incarnation; 0 for a table that nobody is in.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether somebody came to life or died since this was last asked.
    pub(crate) fn take_live_changed(&mut self) -> bool {
        std::mem::take(&mut self.live_changed)
    }

    /// Takes in a record if it is news.
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

    /// Gives every record the addresses that it should have; nothing else of it may differ.
    pub(crate) fn update_addresses(&mut self, with_addresses: impl Fn(&Record) -> Record) {
        self.rows.values_mut().for_each(|row| row.record = with_addresses(&row.record));
    }

    /// Whether what is held about a host holds against `record`.
    pub(crate) fn supersedes(&self, record: &Record) -> bool {
        self.get(&record.host).is_some_and(|held| held.supersedes(record))
    }

    /// Suspects whose time to refute is over.
    pub(crate) fn expired_suspects(&self, now: Time, after: Duration) -> Vec<id::Host> {
        let expired =
            |row: &&Row| row.record.status == Status::Suspect && now.since(row.since) >= after;
        self.rows.values().filter(expired).map(|row| row.record.host.clone()).collect()
    }

    /// Suspicions count from now on only.
    pub(crate) fn restart_timers(&mut self, now: Time) {
        self.rows.values_mut().for_each(|row| row.since = now);
    }

    /// Forgets the dead that nobody lists any more.
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

    /// The records after `host` in the order of hosts, at most `limit`, and whether more follow.
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

/// What a record adds to the hash: nothing for the dead and the unheard, about whom members may
/// differ for long without harm.
fn record_hash(record: &Record) -> u64 {
    if record.incarnation == 0 || record.status == Status::Dead {
        return 0;
    }
    xxh3_64_with_seed(record.host.as_str().as_bytes(), record.incarnation)
}
