//! The interface between the control tasks and the platform: one trait for each external service.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{AdviceReply, StartOrder, StartRefusal, StepId, TaskRun, WorkerEntry, WorkerReport};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::config::ClusterConfig;
pub use crate::port_error::PortError;

/// An item of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreItem {
    /// Key, unique in the store.
    pub key: String,
    /// Value; `None` if the item was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the last change of the item.
    pub revision: u64,
}

/// A page of items and the revision at which it was read.
#[derive(Clone, Debug, Default)]
pub struct StorePage {
    /// Items in the order of their keys.
    pub items: Vec<StoreItem>,
    /// Whether further items follow the last one.
    pub has_more: bool,
    /// Revision of the store at the time of the read.
    pub revision: u64,
}

/// The result of a watch on the store.
#[derive(Clone, Debug)]
pub enum StoreChanges {
    /// Changes in order, and the revision from which to go on.
    Events(Vec<StoreItem>, u64),
    /// The store has compacted the history after the requested revision; the items have to be read again.
    Compacted,
}

/// A transaction that changes several items if all its conditions hold.
#[derive(Clone, Debug, Default)]
pub struct StoreTxn {
    /// Keys, and the revision that each must have; 0 if the item must not exist.
    pub expect: Vec<(String, u64)>,
    /// Keys and values of the items to write.
    pub writes: Vec<(String, Vec<u8>)>,
    /// Keys of the items to delete.
    pub deletes: Vec<String>,
}

/// The result of a transaction.
#[derive(Clone, Debug)]
pub enum TxnReply {
    /// The transaction was committed at this revision.
    Committed(u64),
    /// A condition does not hold. Lists those of the expected items that exist.
    Conflict(Vec<StoreItem>),
}

/// A registered worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredWorker {
    /// Properties of the worker that the cell schedules by.
    pub entry: WorkerEntry,
    /// Network address of the worker.
    pub address: Arc<str>,
}

/// A change of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerChange {
    /// An entry was created or changed.
    Registered(RegisteredWorker),
    /// The entry of the worker with this ID was deleted or is unusable.
    Removed(String),
}

/// The result of a watch on the worker registry.
#[derive(Clone, Debug)]
pub enum WorkerChanges {
    /// Changes in order, and the revision from which to go on.
    Events(Vec<WorkerChange>, u64),
    /// The history has been compacted; the registry has to be read again.
    Compacted,
}

/// One incarnation of a worker, as the target of calls.
#[derive(Clone, Debug)]
pub struct WorkerEndpoint {
    /// ID of the worker.
    pub id: Arc<str>,
    /// Network address of the worker.
    pub address: Arc<str>,
    /// Start of the worker's process in Unix milliseconds, which identifies the incarnation.
    pub started_ms: u64,
}

/// The reply to a start order.
#[derive(Clone, Debug, PartialEq)]
pub enum StartReply {
    /// The worker has the run.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker did not start the run.
    Refused(StartRefusal),
}

/// The answer to a start or stop order.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderAnswer<R> {
    /// What became of the order.
    pub reply: R,
    /// Reading of the clock of the incarnation that answered, in milliseconds, if the answer contains one.
    pub clock_ms: Option<u64>,
}

/// The reply to a stop order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReply {
    /// The run can't start any more.
    Stopped,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
}

/// A request to renew the lease of all runs on a worker.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    /// Fencing token of the owner.
    pub fence: u64,
    /// End of the lease on the worker's clock in milliseconds; `None` to request the worker's report
    /// without a renewal.
    pub lease_end_ms: Option<u64>,
    /// Number of the last acknowledged end of a run; the worker may forget ends up to it.
    pub acknowledged: u64,
    /// How long the worker may delay its reply while no run ends.
    pub wait: Duration,
}

/// The reply to a lease renewal.
#[derive(Clone, Debug)]
pub enum RenewalReply {
    /// The worker reports its runs and the ends of runs.
    Report {
        /// Reading of the worker's clock in milliseconds.
        clock_ms: u64,
        /// Runs and ends that the worker reports.
        report: WorkerReport,
    },
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
}

/// The platform's key-value store with revisions.
pub trait StorePort: Clone + Send + Sync + 'static {
    /// Reads an item. Returns `None` if it does not exist.
    fn read(
        &self,
        key: &str,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<StoreItem>, PortError>> + Send;

    /// Reads a page of the items with a prefix whose keys follow the key `after`.
    fn range(
        &self,
        prefix: &str,
        after: &str,
        timeout: Duration,
    ) -> impl Future<Output = Result<StorePage, PortError>> + Send;

    /// Waits up to `wait` for changes of items with a prefix after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<StoreChanges, PortError>> + Send;

    /// Executes a transaction.
    fn transact(
        &self,
        txn: &StoreTxn,
        timeout: Duration,
    ) -> impl Future<Output = Result<TxnReply, PortError>> + Send;
}

/// The configuration and the worker registry that the platform publishes.
pub trait CatalogPort: Clone + Send + Sync + 'static {
    /// Waits up to `wait` until the configuration differs from the known version and revision, and
    /// returns the newest.
    fn config(
        &self,
        known: Option<(u64, u64)>,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<ConfigReply, PortError>> + Send;

    /// Reads the newest configuration with a linearizable read. May return [`ConfigReply::Unchanged`] if its revision is
    /// `decoded`.
    fn read_config(
        &self,
        _decoded: Option<u64>,
        timeout: Duration,
    ) -> impl Future<Output = Result<ConfigReply, PortError>> + Send {
        self.config(None, Duration::ZERO, timeout)
    }

    /// Reads all registered workers and the revision of the registry.
    fn workers(
        &self,
        timeout: Duration,
    ) -> impl Future<Output = Result<(Vec<RegisteredWorker>, u64), PortError>> + Send;

    /// Waits up to `wait` for changes of the registry after a revision.
    fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<WorkerChanges, PortError>> + Send;
}

/// The reply to a request for the configuration.
#[derive(Clone, Debug)]
pub enum ConfigReply {
    /// The newest configuration, and the revision from which to go on.
    Newest(Arc<ClusterConfig>, u64),
    /// Nothing has changed up to this revision.
    Unchanged(u64),
    /// There is none yet, or the history has been compacted; ask again without a known version.
    Unknown,
}

/// Calls to workers.
pub trait WorkerPort: Clone + Send + Sync + 'static {
    /// Starts a run under a lease that ends at `lease_end_ms` on the worker's clock.
    fn start(
        &self,
        peer: &WorkerEndpoint,
        fence: u64,
        lease_end_ms: u64,
        order: &StartOrder,
        timeout: Duration,
    ) -> impl Future<Output = Result<OrderAnswer<StartReply>, PortError>> + Send;

    /// Stops a run, and prevents it from starting later.
    fn stop(
        &self,
        peer: &WorkerEndpoint,
        fence: u64,
        run: TaskRun,
        timeout: Duration,
    ) -> impl Future<Output = Result<OrderAnswer<StopReply>, PortError>> + Send;

    /// Renews the lease of the worker's runs and returns its report on runs and ends.
    fn renew_lease(
        &self,
        peer: &WorkerEndpoint,
        renewal: LeaseRenewal,
        timeout: Duration,
    ) -> impl Future<Output = Result<RenewalReply, PortError>> + Send;
}

/// The advice service, which decides which workers may run a step.
pub trait AdvicePort: Clone + Send + Sync + 'static {
    /// Asks which of the given workers may run a step.
    fn advise(
        &self,
        step: StepId,
        workers: &[Arc<str>],
        timeout: Duration,
    ) -> impl Future<Output = Result<AdviceReply, PortError>> + Send;
}

/// The monotonic and the wall clock.
pub trait ClockPort: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the time on a clock that, unlike [`Self::now`], also counts time in which the machine was suspended.
    fn boot_now(&self) -> Instant {
        self.now()
    }

    /// Returns the wall-clock time in Unix milliseconds.
    fn unix_ms(&self) -> u64;

    /// Tells a simulated clock how much work the process has just done, in looks at a worker of a scheduling pass.
    /// A real clock has moved on meanwhile.
    fn record_work(&self, _amount: u64) {}
}

/// Connections to the other processes of the cell.
pub trait NetworkPort: Clone + Send + Sync + 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static;

    /// A listener for connections from other processes.
    type Listener: ListenerPort<Stream = Self::Stream>;

    /// Opens a listener.
    fn listen(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = io::Result<Self::Listener>> + Send;

    /// Opens a connection to the listener at an address. If nothing listens there, the kind of the error is
    /// [`io::ErrorKind::ConnectionRefused`].
    fn connect(&self, address: &str) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// A listener of a [`NetworkPort`].
pub trait ListenerPort: Send + 'static {
    /// A connection.
    type Stream;

    /// Waits for the next connection.
    fn accept(&mut self) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Everything that a process needs from its platform.
pub trait Platform:
    StorePort + CatalogPort + WorkerPort + AdvicePort + ClockPort + NetworkPort
{
}

impl<T: StorePort + CatalogPort + WorkerPort + AdvicePort + ClockPort + NetworkPort> Platform
    for T
{
}
