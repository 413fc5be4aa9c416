//! The store and the catalog of the platform.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hs_cell::QueueSpec;
use hs_control::port::{
    CatalogPort, ConfigReply, PortError, RegisteredWorker, StoreChanges, StoreItem, StorePage,
    StorePort, StoreTxn, TxnReply, WorkerChanges,
};
use hs_control::{ClusterConfig, QueueRoute, RequestLimits};
use tokio::time::sleep;

use crate::confirmation::{lost, read_fault};
use crate::platform::{FakePlatform, SERVICE};

/// Name of the only queue.
pub const QUEUE: &str = "queue";

/// Maximum number of entries of a transaction.
const MAX_TXN_ENTRIES: usize = 32;

/// Key of the claim.
pub const CLAIM: &str = "hs/owner";

/// Number of items on a page of the store.
const PAGE_ITEMS: usize = 200;

/// Items of the store. All writes of a transaction have the same revision.
#[derive(Debug, Default)]
pub struct MemoryStore {
    items: BTreeMap<String, StoreItem>,
    revision: u64,
    /// Maximum size of a value in bytes; `None` for no limit.
    pub max_value_bytes: Option<usize>,
    /// Bytes of written values that the link to the store carries in a second; `None` for no limit.
    pub bytes_per_second: Option<usize>,
    /// Keys of items that the store never accepts.
    pub rejected_keys: Vec<String>,
    /// Whether each of the next transactions with the claim is rejected for good. Later ones are not.
    pub claim_rejections: VecDeque<bool>,
    /// Number of transactions that were rejected for good.
    pub rejections: usize,
}

impl MemoryStore {
    /// Writes an item in a transaction of its own.
    pub fn put(&mut self, key: String, value: Vec<u8>) {
        self.revision += 1;
        self.write(key, value);
    }

    fn write(&mut self, key: String, value: Vec<u8>) {
        let item = StoreItem {
            key: key.clone(),
            value: Some(value),
            revision: self.revision,
        };
        self.items.insert(key, item);
    }

    fn page(&self, prefix: &str, after: &str) -> StorePage {
        let items = self.items.range(prefix.to_owned()..);
        let items = items.take_while(|(key, _)| key.starts_with(prefix));
        let mut items = items.filter(|(key, _)| key.as_str() > after);
        let page = items.by_ref().take(PAGE_ITEMS);
        StorePage {
            items: page.map(|(_, item)| item.clone()).collect(),
            has_more: items.next().is_some(),
            revision: self.revision,
        }
    }

    /// Returns the value of an item.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.items.get(key)?.value.clone()
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the time that the link needs for a transaction.
    fn link_time(&self, txn: &StoreTxn) -> Duration {
        let bytes: usize = txn.writes.iter().map(|(_, value)| value.len()).sum();
        let rate = self.bytes_per_second;
        let seconds = rate.map_or(0.0, |rate| bytes as f64 / rate as f64);
        Duration::from_secs_f64(seconds)
    }

    fn is_rejected(&mut self, txn: &StoreTxn) -> bool {
        let has_claim = txn.writes.iter().any(|(key, _)| key == CLAIM);
        if has_claim && self.claim_rejections.pop_front() == Some(true) {
            return true;
        }
        let entries = txn.expect.len() + txn.writes.len() + txn.deletes.len();
        let mut writes = txn.writes.iter();
        let is_bad = |(key, value): &(String, Vec<u8>)| {
            let is_large = self.max_value_bytes.is_some_and(|max| value.len() > max);
            is_large || self.rejected_keys.contains(key)
        };
        entries > MAX_TXN_ENTRIES || writes.any(is_bad)
    }

    fn transact(&mut self, txn: &StoreTxn) -> TxnReply {
        let revision_of = |key: &String| self.items.get(key).map_or(0, |item| item.revision);
        let is_met = |(key, revision): &(String, u64)| revision_of(key) == *revision;
        if !txn.expect.iter().all(is_met) {
            let keys = txn.expect.iter().map(|(key, _)| key);
            let items = keys.filter_map(|key| self.items.get(key).cloned());
            return TxnReply::Conflict(items.collect());
        }
        self.revision += 1;
        for (key, value) in &txn.writes {
            self.write(key.clone(), value.clone());
        }
        for key in &txn.deletes {
            self.items.remove(key);
        }
        TxnReply::Committed(self.revision)
    }

    fn get(&self, key: &str) -> Option<StoreItem> {
        self.items.get(key).cloned()
    }
}

impl StorePort for FakePlatform {
    async fn read(&self, key: &str, _: Duration) -> Result<Option<StoreItem>, PortError> {
        Ok(self.state().store.get(key))
    }

    async fn range(&self, prefix: &str, after: &str, _: Duration) -> Result<StorePage, PortError> {
        let mut state = self.state();
        state.turns_since_page = 0;
        Ok(state.store.page(prefix, after))
    }

    async fn watch(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
        _: Duration,
    ) -> Result<StoreChanges, PortError> {
        sleep(wait).await;
        Ok(StoreChanges::Events(Vec::new(), after))
    }

    async fn transact(&self, txn: &StoreTxn, timeout: Duration) -> Result<TxnReply, PortError> {
        let link_time = self.state().store.link_time(txn);
        sleep(link_time.min(timeout)).await;
        if link_time > timeout {
            return Err(lost());
        }
        let store = &mut self.state().store;
        if store.is_rejected(txn) {
            store.rejections += 1;
            return Err(PortError::Rejected {
                operation: "store write",
                peer: "store".to_owned(),
                cause: "status 400".to_owned(),
            });
        }
        Ok(store.transact(txn))
    }
}

/// Returns the configuration of tests that write none.
pub fn configuration() -> ClusterConfig {
    ClusterConfig {
        version: 1,
        routes: vec![QueueRoute {
            host: String::new(),
            prefix: String::new(),
            public: false,
            queue: QueueSpec {
                name: QUEUE.into(),
                service: SERVICE.into(),
                priority: 0,
                max_attempts: 3,
                stretch: 1.0,
                target: Duration::from_secs(1),
                advice: None,
            },
        }],
        teams: Vec::new(),
        limits: RequestLimits {
            max_body_bytes: 1 << 10,
            ..RequestLimits::default()
        },
    }
}

impl CatalogPort for FakePlatform {
    async fn config(
        &self,
        known: Option<(u64, u64)>,
        wait: Duration,
        timeout: Duration,
    ) -> Result<ConfigReply, PortError> {
        if let Some((_, revision)) = known {
            let hang = self.state().config.watch_hang;
            if let Some(hang) = hang {
                sleep(hang).await;
                return Err(lost());
            }
            sleep(wait).await;
            let watched = self.state().config.watched.take();
            return Ok(match watched {
                Some(config) => ConfigReply::Newest(config, revision + 1),
                None => ConfigReply::Unchanged(revision),
            });
        }
        let (stored, fault) = {
            let config = &mut self.state().config;
            config.reads += 1;
            (config.stored.clone(), config.fault)
        };
        read_fault(fault, timeout).await?;
        let config = stored.unwrap_or_else(|| Arc::new(configuration()));
        Ok(ConfigReply::Newest(config, 1))
    }

    async fn workers(&self, _: Duration) -> Result<(Vec<RegisteredWorker>, u64), PortError> {
        Ok((self.state().workers.clone(), 1))
    }

    async fn worker_changes(
        &self,
        after: u64,
        _: Duration,
        _: Duration,
    ) -> Result<WorkerChanges, PortError> {
        Ok(WorkerChanges::Events(Vec::new(), after))
    }
}
