//! Interfaces to the platform: store, VM list, workers and clock, each with a trait and an adapter.

mod clock;
mod error;
mod http;
mod store;
mod vms;
mod worker;

use hs_wire::{LeaseGrant, LeaseRequest, StartRequest, StopRequest, TaskView, VmList, WorkId};
use std::future::Future;
use std::time::Duration;

pub use clock::{ClockPort, SystemClock};
pub use error::PortError;
pub use http::HttpPlatform;
pub use store::HttpStore;
pub use vms::HttpVms;
pub use worker::HttpWorkers;

/// The set of adapters that a process uses. The placement core does not depend on their types.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Adapter to the configuration store.
    type Store: StorePort;
    /// Adapter to the VM list.
    type Vms: VmPort;
    /// Adapter to the workers.
    type Workers: WorkerPort;
    /// Source of time.
    type Clock: ClockPort;

    /// Returns the adapter to the configuration store.
    fn store(&self) -> &Self::Store;
    /// Returns the adapter to the VM list.
    fn vms(&self) -> &Self::Vms;
    /// Returns the adapter to the workers.
    fn workers(&self) -> &Self::Workers;
    /// Returns the source of time.
    fn clock(&self) -> &Self::Clock;
}

/// A value from the store with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreValue {
    /// Revision of the last write to the key.
    pub revision: u64,
    /// Content of the value.
    pub body: Vec<u8>,
}

/// Result of a compare-and-swap write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreWrite {
    /// The value was written under this revision.
    Written(u64),
    /// Nothing was written, because the key has this other revision; zero means that it does not
    /// exist.
    Conflict(u64),
}

/// The configuration store. Every call counts against the call budget of the store, including a
/// pending watch.
pub trait StorePort: Clone + Send + Sync + 'static {
    /// Reads a value. Returns `None` if the key does not exist.
    fn get(
        &self,
        key: &str,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Option<StoreValue>, PortError>> + Send;

    /// Writes a value if the key still has the revision `if_revision`. Zero means that the key must
    /// not exist.
    fn put(
        &self,
        key: &str,
        if_revision: u64,
        body: Vec<u8>,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<StoreWrite, PortError>> + Send;

    /// Waits until the key has a revision above `after`. Returns `None` if there is none within
    /// `wait`.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoreValue>, PortError>> + Send;
}

/// The platform's VM list.
pub trait VmPort: Clone + Send + Sync + 'static {
    /// Reads the list. Returns `None` if it still has the version `known_version`.
    fn list(
        &self,
        known_version: u64,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Option<VmList>, PortError>> + Send;
}

/// The workers, each identified by its address.
pub trait WorkerPort: Clone + Send + Sync + 'static {
    /// Acquires, renews or releases the lease of a worker.
    fn lease(
        &self,
        address: &str,
        request: &LeaseRequest,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<LeaseGrant, PortError>> + Send;

    /// Starts a task and waits for its end, at most for the wait in the request.
    fn start(
        &self,
        address: &str,
        request: &StartRequest,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<TaskView, PortError>> + Send;

    /// Waits for the end of a task, at most for `wait`. Returns `None` if the worker does not know
    /// the task.
    fn task(
        &self,
        address: &str,
        id: &WorkId,
        wait: Duration,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Option<TaskView>, PortError>> + Send;

    /// Checkpoints, throttles or stops a task.
    fn stop(
        &self,
        address: &str,
        request: &StopRequest,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<(), PortError>> + Send;
}
