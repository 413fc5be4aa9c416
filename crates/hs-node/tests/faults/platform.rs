//! Platform adapters with switches for faults that the stand-ins cannot produce.

use std::panic::Location;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hs_node::port::HttpWorkers;
use hs_node::{
    ClockPort, HttpPlatform, HttpStore, Platform, PortError, StorePort, StoreValue, StoreWrite,
    SystemClock, WorkerPort,
};
use hs_wire::{LeaseGrant, LeaseRequest, StartRequest, StopRequest, TaskView, WorkId};
use tokio::sync::Semaphore;

/// Fault switches and counters of one platform.
#[derive(Debug)]
pub struct Switches {
    /// Source file whose next call of the platform panics.
    panic_in: Mutex<Option<&'static str>>,
    /// Whether each start takes effect and its reply is unreadable.
    pub hides_start_replies: AtomicBool,
    /// Whether queries about one task fail at once.
    pub fails_task_queries: AtomicBool,
    /// Whether queries about one task are answered at once instead of at its end.
    pub ignores_waits: AtomicBool,
    /// Whether watches of the store end at once instead of after their wait.
    pub ends_watches: AtomicBool,
    /// Number of watches of the store.
    pub watches: AtomicUsize,
    /// Number of queries about one task.
    pub task_queries: AtomicUsize,
    /// Whether stop requests fail and lease replies list no tasks.
    pub forgets_tasks: AtomicBool,
    /// Lease calls take a permit each.
    lease_permits: Semaphore,
    /// Number of lease requests that raised the fencing token.
    pub raised_fences: AtomicUsize,
    /// Number of stop requests.
    pub stops: AtomicUsize,
}

impl Switches {
    /// Creates switches without faults.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            panic_in: Mutex::new(None),
            hides_start_replies: AtomicBool::new(false),
            fails_task_queries: AtomicBool::new(false),
            ignores_waits: AtomicBool::new(false),
            ends_watches: AtomicBool::new(false),
            watches: AtomicUsize::new(0),
            task_queries: AtomicUsize::new(0),
            forgets_tasks: AtomicBool::new(false),
            lease_permits: Semaphore::new(Semaphore::MAX_PERMITS >> 1),
            raised_fences: AtomicUsize::new(0),
            stops: AtomicUsize::new(0),
        })
    }

    /// Makes the next call of the platform from a source file panic. `file` is the end of its path.
    pub fn panic_in(&self, file: &'static str) {
        *self.lock() = Some(file);
    }

    /// Returns whether a requested panic has not happened yet.
    pub fn is_panic_pending(&self) -> bool {
        self.lock().is_some()
    }

    /// Lets only `count` more lease calls pass. Further ones wait.
    pub fn hold_leases_after(&self, count: usize) {
        self.lease_permits.forget_permits(Semaphore::MAX_PERMITS);
        self.lease_permits.add_permits(count);
    }

    /// Lets all lease calls pass again.
    pub fn deliver_leases(&self) {
        self.lease_permits.add_permits(Semaphore::MAX_PERMITS >> 1);
    }

    #[track_caller]
    fn panic_if_due(&self) {
        let file = Location::caller().file();
        let mut panic_in = self.lock();
        if panic_in.is_some_and(|due| file.ends_with(due)) {
            *panic_in = None;
            drop(panic_in);
            panic!("panic on purpose in {file}");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<&'static str>> {
        self.panic_in.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// HTTP adapters with fault switches.
#[derive(Clone)]
pub struct FaultPlatform {
    inner: HttpPlatform,
    store: FaultStore,
    workers: FaultWorkers,
    clock: FaultClock,
}

impl FaultPlatform {
    /// Creates the adapters over those of `inner`.
    pub fn new(inner: HttpPlatform, switches: &Arc<Switches>) -> Self {
        Self {
            store: FaultStore(inner.store().clone(), switches.clone()),
            workers: FaultWorkers(inner.workers().clone(), switches.clone()),
            clock: FaultClock(SystemClock, switches.clone()),
            inner,
        }
    }
}

impl Platform for FaultPlatform {
    type Store = FaultStore;
    type Vms = <HttpPlatform as Platform>::Vms;
    type Workers = FaultWorkers;
    type Clock = FaultClock;

    fn store(&self) -> &FaultStore {
        &self.store
    }

    fn vms(&self) -> &Self::Vms {
        self.inner.vms()
    }

    fn workers(&self) -> &FaultWorkers {
        &self.workers
    }

    fn clock(&self) -> &FaultClock {
        &self.clock
    }
}

/// Clock that panics on request.
#[derive(Clone)]
pub struct FaultClock(SystemClock, Arc<Switches>);

impl ClockPort for FaultClock {
    #[track_caller]
    fn now(&self) -> Instant {
        self.1.panic_if_due();
        self.0.now()
    }

    fn wall_ms(&self) -> u64 {
        self.0.wall_ms()
    }
}

/// Store adapter that panics on request.
#[derive(Clone)]
pub struct FaultStore(HttpStore, Arc<Switches>);

impl StorePort for FaultStore {
    #[track_caller]
    fn get(
        &self,
        key: &str,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Option<StoreValue>, PortError>> + Send {
        self.1.panic_if_due();
        self.0.get(key, call_timeout)
    }

    #[track_caller]
    fn put(
        &self,
        key: &str,
        if_revision: u64,
        body: Vec<u8>,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<StoreWrite, PortError>> + Send {
        self.1.panic_if_due();
        self.0.put(key, if_revision, body, call_timeout)
    }

    #[track_caller]
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoreValue>, PortError>> + Send {
        self.1.panic_if_due();
        self.1.watches.fetch_add(1, Ordering::Relaxed);
        async move {
            match self.1.ends_watches.load(Ordering::Relaxed) {
                true => {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    Ok(None)
                }
                false => self.0.watch(key, after, wait).await,
            }
        }
    }
}

/// Worker adapter with faults of single calls.
#[derive(Clone)]
pub struct FaultWorkers(HttpWorkers, Arc<Switches>);

fn unreadable(operation: &'static str, address: &str) -> PortError {
    PortError::Unreadable {
        operation,
        peer: address.to_owned(),
        cause: "injected fault".to_owned(),
    }
}

impl WorkerPort for FaultWorkers {
    async fn lease(
        &self,
        address: &str,
        request: &LeaseRequest,
        call_timeout: Duration,
    ) -> Result<LeaseGrant, PortError> {
        if let Ok(permit) = self.1.lease_permits.acquire().await {
            permit.forget();
        }
        if request.bump {
            self.1.raised_fences.fetch_add(1, Ordering::Relaxed);
        }
        let mut grant = self.0.lease(address, request, call_timeout).await?;
        if self.1.forgets_tasks.load(Ordering::Relaxed) {
            grant.tasks.clear();
        }
        Ok(grant)
    }

    #[track_caller]
    fn start(
        &self,
        address: &str,
        request: &StartRequest,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<TaskView, PortError>> + Send {
        self.1.panic_if_due();
        async move {
            if !self.1.hides_start_replies.load(Ordering::Relaxed) {
                return self.0.start(address, request, call_timeout).await;
            }
            let mut request = request.clone();
            request.wait_ms = 0;
            self.0.start(address, &request, call_timeout).await?;
            Err(unreadable("task start", address))
        }
    }

    #[track_caller]
    fn task(
        &self,
        address: &str,
        id: &WorkId,
        wait: Duration,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Option<TaskView>, PortError>> + Send {
        self.1.panic_if_due();
        self.1.task_queries.fetch_add(1, Ordering::Relaxed);
        let wait = match self.1.ignores_waits.load(Ordering::Relaxed) {
            true => Duration::ZERO,
            false => wait,
        };
        async move {
            match self.1.fails_task_queries.load(Ordering::Relaxed) {
                true => Err(unreadable("task query", address)),
                false => self.0.task(address, id, wait, call_timeout).await,
            }
        }
    }

    async fn stop(
        &self,
        address: &str,
        request: &StopRequest,
        call_timeout: Duration,
    ) -> Result<(), PortError> {
        self.1.stops.fetch_add(1, Ordering::Relaxed);
        match self.1.forgets_tasks.load(Ordering::Relaxed) {
            true => Err(unreadable("task stop", address)),
            false => self.0.stop(address, request, call_timeout).await,
        }
    }
}
