//! The key-value store of the simulated platform.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use hs_control::port::{PortError, StoreChanges, StoreItem, StorePage, StoreTxn, TxnReply};

use crate::world::{Reply, World};

/// Time that the store takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(3);

/// Maximum number of items in a page.
const PAGE_ITEMS: usize = 500;

/// Maximum number of conditions, writes and deletions of a transaction.
const MAX_TXN_ENTRIES: usize = 32;

/// What happens to the calls of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// They are answered.
    #[default]
    None,
    /// They do not reach the store, and are not answered.
    Silent,
    /// The store refuses them.
    Refusing,
    /// They take effect, and are not answered.
    ReplyLost,
    /// They reach the store after this time.
    Late(Duration),
}

/// Content of the store, and its faults.
#[derive(Debug, Default)]
pub struct SimStore {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
    history: Vec<StoreItem>,
    /// Revision up to which the history was dropped.
    dropped_revision: u64,
    /// Number of the next pages that are cut off before their first item.
    pub cut_pages: u32,
    /// Whether watches show no changes.
    pub is_deaf: bool,
    /// Faults of the processes that have any.
    faults: BTreeMap<usize, StoreFault>,
}

impl SimStore {
    /// Sets what happens to the calls of a process.
    pub fn set_fault(&mut self, process: usize, fault: StoreFault) {
        self.faults.insert(process, fault);
    }

    fn fault(&self, process: usize) -> StoreFault {
        self.faults.get(&process).copied().unwrap_or_default()
    }

    /// Writes an item without a condition.
    pub fn put(&mut self, key: String, value: Vec<u8>) {
        self.revision += 1;
        self.write(key, Some(value));
    }

    fn write(&mut self, key: String, value: Option<Vec<u8>>) {
        let revision = self.revision;
        self.history.push(StoreItem {
            key: key.clone(),
            value: value.clone(),
            revision,
        });
        match value {
            Some(value) => self.items.insert(key, (value, revision)),
            None => self.items.remove(&key),
        };
    }

    /// Reads an item.
    pub fn get(&self, key: &str) -> Option<StoreItem> {
        let (value, revision) = self.items.get(key)?;
        Some(StoreItem {
            key: key.to_owned(),
            value: Some(value.clone()),
            revision: *revision,
        })
    }

    /// Reads a page of the items with a prefix.
    pub fn range(&mut self, prefix: &str, after: &str) -> StorePage {
        if self.cut_pages > 0 {
            self.cut_pages -= 1;
            return StorePage {
                items: Vec::new(),
                has_more: true,
                revision: self.revision,
            };
        }
        let start = match after {
            "" => Bound::Included(prefix.to_owned()),
            after => Bound::Excluded(after.to_owned()),
        };
        let mut keys = self
            .items
            .range((start, Bound::Unbounded))
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(prefix));
        let page: Vec<&String> = keys.by_ref().take(PAGE_ITEMS).collect();
        StorePage {
            items: page.iter().filter_map(|key| self.get(key)).collect(),
            has_more: keys.next().is_some(),
            revision: self.revision,
        }
    }

    /// Returns the changes of items with a prefix after a revision.
    pub fn changes(&self, prefix: &str, after: u64) -> StoreChanges {
        if self.is_deaf {
            return StoreChanges::Events(Vec::new(), after);
        }
        if after < self.dropped_revision {
            return StoreChanges::Compacted;
        }
        let first = self.history.partition_point(|item| item.revision <= after);
        let later = self.history[first..].iter();
        let events = later.filter(|item| item.key.starts_with(prefix)).cloned();
        StoreChanges::Events(events.collect(), self.revision)
    }

    /// Drops the history, so that watches have to start over.
    pub fn drop_history(&mut self) {
        self.history.clear();
        self.dropped_revision = self.revision;
    }

    /// Executes a transaction.
    pub fn transact(&mut self, txn: &StoreTxn) -> TxnReply {
        let entries = txn.expect.len() + txn.writes.len() + txn.deletes.len();
        assert!(entries <= MAX_TXN_ENTRIES, "{entries} entries: {txn:?}");
        let written = txn.writes.iter().map(|(key, _)| key);
        let keys: BTreeSet<&String> = written.chain(&txn.deletes).collect();
        assert_eq!(keys.len(), txn.writes.len() + txn.deletes.len());
        let revision_of = |key: &str| self.items.get(key).map_or(0, |(_, revision)| *revision);
        if txn
            .expect
            .iter()
            .any(|(key, revision)| revision_of(key) != *revision)
        {
            let items = txn.expect.iter().filter_map(|(key, _)| self.get(key));
            return TxnReply::Conflict(items.collect());
        }
        self.revision += 1;
        for (key, value) in &txn.writes {
            self.write(key.clone(), Some(value.clone()));
        }
        for key in &txn.deletes {
            self.write(key.clone(), None);
        }
        TxnReply::Committed(self.revision)
    }
}

impl World {
    /// Processes a call of a process to the store, which `operation` carries out.
    pub fn store_call<T: Send + 'static>(
        &mut self,
        process: usize,
        reply: Reply<T>,
        operation: impl FnOnce(&mut World) -> T + Send + 'static,
    ) {
        let fault = self.store.fault(process);
        let delay = match fault {
            StoreFault::Late(delay) => delay,
            _ => Duration::ZERO,
        };
        let done_at = self.now + SERVICE_TIME + delay;
        match fault {
            StoreFault::None | StoreFault::Late(_) => self.at(done_at, move |world| {
                let result = operation(world);
                world.reply(reply, Ok(result));
            }),
            StoreFault::Silent => self.observer.keep_unanswered(reply),
            StoreFault::ReplyLost => {
                self.observer.keep_unanswered(reply);
                self.at(done_at, move |world| {
                    operation(world);
                });
            }
            StoreFault::Refusing => {
                let error = PortError::Refused {
                    operation: "store call",
                    peer: "store".to_owned(),
                    cause: "status 503".to_owned(),
                };
                self.reply(reply, Err(error));
            }
        }
    }

    /// Executes a transaction of a process, and records it.
    pub fn transact(&mut self, process: usize, txn: &StoreTxn) -> TxnReply {
        let reply = self.store.transact(txn);
        if let TxnReply::Committed(revision) = reply {
            self.observer.committed(self.now, process, revision, txn);
        }
        reply
    }
}
