//! Key-value store, independent of I/O and the clock.

use std::collections::VecDeque;

use base::Millis;
use bytes::Bytes;
use indexmap::IndexMap;

use super::Record;
use super::lease::Lease;
use super::page::{Item, Page};

/// Precondition of a write on the current record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No condition.
    Any,
    /// `If-None-Match: *`: the key must not exist.
    Absent,
    /// `If-Match: "revision"`: the current revision must match.
    Revision(u64),
}

/// Reason why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The condition does not hold; contains the current revision if the key exists.
    Mismatch(Option<u64>),
    /// The lease is unknown or has expired.
    LeaseExpired,
    /// The key does not exist.
    Missing,
}

/// Value to write.
#[derive(Clone, Debug)]
pub struct Write {
    /// New value.
    pub value: Bytes,
    /// Id of the lease to bind the key to.
    pub lease: Option<String>,
    /// Id of the write.
    pub write_id: Option<String>,
}

/// Records, leases and the history of writes.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    records: IndexMap<String, Record>,
    leases: IndexMap<String, Lease>,
    leases_granted: u64,
    history: VecDeque<Change>,
    history_limit: usize,
    /// Revision up to which the history was compacted.
    compacted_revision: u64,
}

#[derive(Debug)]
struct Change {
    item: Item,
    value: Bytes,
}

impl Store {
    /// Creates an empty store that keeps `history_limit` past writes.
    pub fn new(history_limit: usize) -> Self {
        Self {
            revision: 0,
            records: IndexMap::new(),
            leases: IndexMap::new(),
            leases_granted: 0,
            history: VecDeque::new(),
            history_limit,
            compacted_revision: 0,
        }
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Writes a value and returns the new revision.
    pub fn put(&mut self, key: &str, condition: Condition, write: Write) -> Result<u64, Refusal> {
        self.check_condition(key, condition)?;
        if write
            .lease
            .as_ref()
            .is_some_and(|lease| !self.leases.contains_key(lease))
        {
            return Err(Refusal::LeaseExpired);
        }
        self.revision += 1;
        let record = Record {
            revision: self.revision,
            value: write.value,
            lease: write.lease,
            write_id: write.write_id,
        };
        self.record_change(key, &record, false);
        self.records.insert_sorted(key.to_owned(), record);
        Ok(self.revision)
    }

    /// Deletes a key and returns the revision of the deletion.
    pub fn delete(&mut self, key: &str, condition: Condition) -> Result<u64, Refusal> {
        self.check_condition(key, condition)?;
        let Some(record) = self.records.shift_remove(key) else {
            return Err(Refusal::Missing);
        };
        self.revision += 1;
        let record = Record {
            revision: self.revision,
            value: Bytes::new(),
            ..record
        };
        self.record_change(key, &record, true);
        Ok(self.revision)
    }

    /// Returns at most `limit` records whose keys start with `prefix` and are greater than `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Page {
        let mut page = Page::new(self.revision);
        let start = self
            .records
            .partition_point(|key, _| key.as_str() < prefix || key.as_str() <= after);
        for (key, record) in self.records.iter().skip(start) {
            if !key.starts_with(prefix) {
                break;
            }
            if page.values.len() == limit {
                page.header.more = true;
                break;
            }
            page.push(item(key, record, false), record.value.clone());
        }
        page
    }

    /// Returns the writes under `prefix` after the revision `after`, or `None` if that history is not available.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Page> {
        if after < self.compacted_revision || after > self.revision {
            return None;
        }
        let mut page = Page::new(self.revision);
        let start = self
            .history
            .partition_point(|change| change.item.revision <= after);
        for change in self.history.iter().skip(start) {
            if change.item.key.starts_with(prefix) {
                page.push(change.item.clone(), change.value.clone());
            }
        }
        Some(page)
    }

    /// Compacts the entire history, so that watches from an earlier revision receive 410.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, now: Millis, ttl: Millis) -> String {
        self.leases_granted += 1;
        let id = format!("lease-{}", self.leases_granted);
        let deadline = now + ttl;
        self.leases.insert(id.clone(), Lease { ttl, deadline });
        id
    }

    /// Renews a lease. Returns false if it is unknown, for example because it has expired.
    pub fn renew_lease(&mut self, now: Millis, id: &str) -> bool {
        let Some(lease) = self.leases.get_mut(id) else {
            return false;
        };
        lease.deadline = now + lease.ttl;
        true
    }

    /// Revokes a lease and deletes its keys. Returns false if the lease is unknown, for example because it has expired.
    pub fn revoke_lease(&mut self, id: &str) -> bool {
        if self.leases.shift_remove(id).is_none() {
            return false;
        }
        let is_bound = |record: &Record| record.lease.as_deref() == Some(id);
        let keys = self.records.iter().filter(|(_, record)| is_bound(record));
        let keys = keys.map(|(key, _)| key.clone()).collect::<Vec<_>>();
        for key in keys {
            // The key exists: it was found above.
            let _result = self.delete(&key, Condition::Any);
        }
        true
    }

    /// Removes the leases whose deadline has passed. Returns whether there were any.
    pub fn expire_leases(&mut self, now: Millis) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| lease.deadline <= now);
        let expired = expired.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for id in &expired {
            self.revoke_lease(id);
        }
        !expired.is_empty()
    }

    fn check_condition(&self, key: &str, condition: Condition) -> Result<(), Refusal> {
        let current = self.records.get(key).map(|record| record.revision);
        let holds = match condition {
            Condition::Any => true,
            Condition::Absent => current.is_none(),
            Condition::Revision(revision) => current == Some(revision),
        };
        if holds {
            Ok(())
        } else {
            Err(Refusal::Mismatch(current))
        }
    }

    fn record_change(&mut self, key: &str, record: &Record, deleted: bool) {
        self.history.push_back(Change {
            item: item(key, record, deleted),
            value: record.value.clone(),
        });
        while self.history.len() > self.history_limit {
            if let Some(change) = self.history.pop_front() {
                self.compacted_revision = change.item.revision;
            }
        }
    }
}

fn item(key: &str, record: &Record, deleted: bool) -> Item {
    Item {
        key: key.to_owned(),
        revision: record.revision,
        length: record.value.len(),
        deleted,
        lease: record.lease.clone(),
        write_id: record.write_id.clone(),
    }
}
