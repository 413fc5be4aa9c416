//! What the platform has to provide. Each trait is the edge of the process to one outside service.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{AdviceReply, StartOrder, StartRefusal, StepId, TaskRun, WorkerEntry, WorkerReport};
use thiserror::Error;

use crate::config::ClusterConfig;

/// Why a call has no usable reply.
#[derive(Clone, Debug, Error)]
pub enum PortError {
    /// The other side certainly did nothing.
    #[error("{operation} at {peer} was refused: {cause}")]
    Refused {
        /// What the call was for.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// What the other side answered, or why the call was not sent.
        cause: String,
    },
    /// The other side may have acted, or may still act.
    #[error("{operation} at {peer} has no reply: {cause}")]
    NoReply {
        /// What the call was for.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// What went wrong.
        cause: String,
    },
}

impl PortError {
    /// Returns whether the call certainly had no effect.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value; `None` if the item was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the last change.
    pub revision: u64,
}

/// Items and the revision at which they were read.
#[derive(Clone, Debug, Default)]
pub struct StorePage {
    /// The items.
    pub items: Vec<StoreItem>,
    /// Whether further items follow the last one.
    pub has_more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// What a watch returned.
#[derive(Clone, Debug)]
pub enum StoreChanges {
    /// Changes in order, and the revision from which to go on.
    Events(Vec<StoreItem>, u64),
    /// The store no longer has the history since the revision asked for.
    Compacted,
}

/// A conditional change of several items.
#[derive(Clone, Debug, Default)]
pub struct StoreTxn {
    /// Keys with the revision that they must have; 0 if they must not exist.
    pub expect: Vec<(String, u64)>,
    /// Items to write.
    pub writes: Vec<(String, Vec<u8>)>,
    /// Items to delete.
    pub deletes: Vec<String>,
}

/// The result of a conditional change.
#[derive(Clone, Debug)]
pub enum TxnReply {
    /// The change was made at this revision.
    Committed(u64),
    /// A condition does not hold; the items that exist of those expected.
    Conflict(Vec<StoreItem>),
}

/// A registered worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredWorker {
    /// What the cell needs to know.
    pub entry: WorkerEntry,
    /// Address of the worker.
    pub address: Arc<str>,
}

/// A change of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerChange {
    /// An entry was written.
    Registered(RegisteredWorker),
    /// The entry of this worker is gone or unusable.
    Removed(String),
}

/// What a watch of the registry returned.
#[derive(Clone, Debug)]
pub enum WorkerChanges {
    /// Changes in order, and the revision from which to go on.
    Events(Vec<WorkerChange>, u64),
    /// The history is gone; the list has to be read again.
    Compacted,
}

/// One life of a worker, as calls address it.
#[derive(Clone, Debug)]
pub struct WorkerEndpoint {
    /// Id of the worker.
    pub id: Arc<str>,
    /// Address.
    pub address: Arc<str>,
    /// Start of the worker's process in Unix milliseconds.
    pub started_ms: u64,
}

/// The answer to a start.
#[derive(Clone, Debug, PartialEq)]
pub enum StartReply {
    /// The run is there.
    Started,
    /// The worker has seen a higher fence.
    Fenced,
    /// The worker did not start the run.
    Refused(StartRefusal),
}

/// The answer to a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReply {
    /// The run can't begin any more.
    Stopped,
    /// The worker has seen a higher fence.
    Fenced,
    /// Another life of the worker answered.
    OtherIncarnation,
}

/// A renewal of the lease of all runs on a worker.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    /// Fence of the owner.
    pub fence: u64,
    /// End of the lease on the worker's clock in milliseconds; `None` to look only.
    pub lease_end_ms: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub acknowledged: u64,
    /// How long the worker may wait for a new end.
    pub wait: Duration,
}

/// The answer to a renewal.
#[derive(Clone, Debug)]
pub enum RenewalReply {
    /// The worker's list.
    Report {
        /// The worker's clock in milliseconds.
        clock_ms: u64,
        /// The list.
        report: WorkerReport,
    },
    /// The worker has seen a higher fence.
    Fenced,
    /// Another life of the worker answered.
    OtherIncarnation,
}

/// The platform's store.
pub trait StorePort: Clone + Send + Sync + 'static {
    /// Reads an item, which may not exist.
    fn read(
        &self,
        key: &str,
        limit: Duration,
    ) -> impl Future<Output = Result<Option<StoreItem>, PortError>> + Send;

    /// Reads items with a prefix, after a key.
    fn range(
        &self,
        prefix: &str,
        after: &str,
        limit: Duration,
    ) -> impl Future<Output = Result<StorePage, PortError>> + Send;

    /// Waits for changes of items with a prefix after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = Result<StoreChanges, PortError>> + Send;

    /// Makes a conditional change.
    fn transact(
        &self,
        txn: &StoreTxn,
        limit: Duration,
    ) -> impl Future<Output = Result<TxnReply, PortError>> + Send;
}

/// Configuration and workers as the platform publishes them.
pub trait CatalogPort: Clone + Send + Sync + 'static {
    /// Waits until the configuration differs from this version, and returns the newest.
    fn config(
        &self,
        known: Option<(u64, u64)>,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = Result<ConfigReply, PortError>> + Send;

    /// Reads all workers and the revision of the list.
    fn workers(
        &self,
        limit: Duration,
    ) -> impl Future<Output = Result<(Vec<RegisteredWorker>, u64), PortError>> + Send;

    /// Waits for changes of the list after a revision.
    fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = Result<WorkerChanges, PortError>> + Send;
}

/// The answer to a question for the configuration.
#[derive(Clone, Debug)]
pub enum ConfigReply {
    /// The newest configuration, and the revision from which to go on.
    Newest(Arc<ClusterConfig>, u64),
    /// Nothing has changed up to this revision.
    Unchanged(u64),
    /// There is none yet, or the history is gone: ask again without a known version.
    Unknown,
}

/// Calls to workers.
pub trait WorkerPort: Clone + Send + Sync + 'static {
    /// Starts a run under a lease that ends at this time of the worker's clock.
    fn start(
        &self,
        peer: &WorkerEndpoint,
        fence: u64,
        lease_end_ms: u64,
        order: &StartOrder,
        limit: Duration,
    ) -> impl Future<Output = Result<StartReply, PortError>> + Send;

    /// Stops a run.
    fn stop(
        &self,
        peer: &WorkerEndpoint,
        fence: u64,
        run: TaskRun,
        limit: Duration,
    ) -> impl Future<Output = Result<StopReply, PortError>> + Send;

    /// Renews the lease and returns the list.
    fn renew_lease(
        &self,
        peer: &WorkerEndpoint,
        order: LeaseRenewal,
        limit: Duration,
    ) -> impl Future<Output = Result<RenewalReply, PortError>> + Send;
}

/// The service that decides which workers may run a step.
pub trait AdvicePort: Clone + Send + Sync + 'static {
    /// Asks about workers.
    fn advise(
        &self,
        step: StepId,
        workers: &[Arc<str>],
        limit: Duration,
    ) -> impl Future<Output = Result<AdviceReply, PortError>> + Send;
}

/// Clocks.
pub trait ClockPort: Clone + Send + Sync + 'static {
    /// Returns the steady time.
    fn now(&self) -> Instant;

    /// Returns the time of day in Unix milliseconds.
    fn unix_ms(&self) -> u64;
}

/// Everything that a process needs of its platform.
pub trait Platform: StorePort + CatalogPort + WorkerPort + AdvicePort + ClockPort {}

impl<T: StorePort + CatalogPort + WorkerPort + AdvicePort + ClockPort> Platform for T {}
