//! The edges to the platform: store, VM list and workers, one trait and one adapter each.

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

/// The adapters that a process uses. The placement core does not know which ones these are.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Adapter to the configuration store.
    type Store: StorePort;
    /// Adapter to the VM list.
    type Vms: VmPort;
    /// Adapter to workers.
    type Workers: WorkerPort;
    /// Clock.
    type Clock: ClockPort;

    /// Returns the store.
    fn store(&self) -> &Self::Store;
    /// Returns the VM list.
    fn vms(&self) -> &Self::Vms;
    /// Returns the workers.
    fn workers(&self) -> &Self::Workers;
    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;
}

/// A value of the store and its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreValue {
    /// Revision of the last write to the key.
    pub revision: u64,
    /// The value.
    pub body: Vec<u8>,
}

/// What a compare-and-swap found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreWrite {
    /// The value is written under this revision.
    Written(u64),
    /// The key has this other revision (zero: it does not exist), and nothing is written.
    Conflict(u64),
}

/// The configuration store. Each call counts against its budget, a pending watch included.
pub trait StorePort: Clone + Send + Sync + 'static {
    /// Reads a value; `None` if the key does not exist.
    fn get(
        &self,
        key: &str,
        limit: Duration,
    ) -> impl Future<Output = Result<Option<StoreValue>, PortError>> + Send;

    /// Writes a value if the key still has `if_revision`; zero means that it must not exist.
    fn put(
        &self,
        key: &str,
        if_revision: u64,
        body: Vec<u8>,
        limit: Duration,
    ) -> impl Future<Output = Result<StoreWrite, PortError>> + Send;

    /// Waits until the key has a revision above `after`; `None` if `wait` passes without one.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoreValue>, PortError>> + Send;
}

/// The platform's VM list.
pub trait VmPort: Clone + Send + Sync + 'static {
    /// Reads the list; `None` if it still has the version `known`.
    fn list(
        &self,
        known: u64,
        limit: Duration,
    ) -> impl Future<Output = Result<Option<VmList>, PortError>> + Send;
}

/// The workers, each known by its address.
pub trait WorkerPort: Clone + Send + Sync + 'static {
    /// Takes, renews or releases the lease.
    fn lease(
        &self,
        address: &str,
        request: &LeaseRequest,
        limit: Duration,
    ) -> impl Future<Output = Result<LeaseGrant, PortError>> + Send;

    /// Starts a task and waits for its end for as long as the request says.
    fn start(
        &self,
        address: &str,
        request: &StartRequest,
        limit: Duration,
    ) -> impl Future<Output = Result<TaskView, PortError>> + Send;

    /// Waits for the end of a task; `None` if the worker does not know it.
    fn task(
        &self,
        address: &str,
        id: &WorkId,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = Result<Option<TaskView>, PortError>> + Send;

    /// Checkpoints, throttles or stops a task.
    fn stop(
        &self,
        address: &str,
        request: &StopRequest,
        limit: Duration,
    ) -> impl Future<Output = Result<(), PortError>> + Send;
}
