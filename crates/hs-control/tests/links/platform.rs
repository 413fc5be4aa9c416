//! A platform in memory whose workers answer, refuse or keep silent.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hs_cell::{AdviceReply, RunReport, StartOrder, StepId, TaskRun, WorkerEntry, WorkerReport};
use hs_control::port::{
    AdvicePort, ClockPort, LeaseRenewal, NetworkPort, OrderAnswer, PortError, RegisteredWorker,
    RenewalReply, StartReply, StopReply, WorkerEndpoint, WorkerPort,
};
use hs_control::tcp_network;
use hs_wire::Resources;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::confirmation::ConfigScript;
use crate::store::MemoryStore;
pub use crate::worker_calls::{CallKind, WorkerBehaviour};

/// Service of all workers.
pub const SERVICE: &str = "service";

/// Time that a worker takes to answer.
const LATENCY: Duration = Duration::from_millis(5);

/// Lateness of a process that reads a reply too late.
const LATENESS: Duration = Duration::from_millis(200);

/// Start time of all workers in Unix milliseconds.
pub const BORN_MS: u64 = 1_000;

/// Reading at which the clocks of the workers begin, in milliseconds.
const FIRST_CLOCK_MS: u64 = 1_000_000;

/// A recorded call.
#[derive(Clone, Debug)]
pub struct Call {
    pub worker: Arc<str>,
    pub kind: CallKind,
    pub at: Instant,
}

/// State of the platform.
#[derive(Debug, Default)]
pub struct State {
    pub store: MemoryStore,
    pub workers: Vec<RegisteredWorker>,
    behaviours: HashMap<Arc<str>, WorkerBehaviour>,
    /// Number of the next starts whose replies the process reads too late.
    pub late_starts: usize,
    /// Workers whose next reply is lost.
    lost_replies: Vec<Arc<str>>,
    /// Whether the workers report the runs that they start.
    pub keeps_started_runs: bool,
    /// Runs that the workers report.
    reported_runs: HashMap<Arc<str>, Vec<TaskRun>>,
    /// All calls to workers, in order.
    pub calls: Vec<Call>,
    /// Number of calls that are in flight to workers that were not called before.
    first_calls: usize,
    /// Largest number of such calls at a time.
    pub max_first_calls: usize,
    /// Number of starts and stops that are in flight.
    orders: usize,
    /// Largest number of such orders at a time.
    pub max_orders: usize,
    /// Number of turns that another task had since a page of the store was last read.
    pub turns_since_page: usize,
    pub config: ConfigScript,
    /// Milliseconds that the clocks in answers to orders are ahead, as if other incarnations answered.
    pub order_clock_offset_ms: u64,
    /// Time at which the clocks of the workers began.
    clocks_began_at: Option<Instant>,
    /// Time in which the machine was suspended, which the steady clock does not count.
    pub suspended: Duration,
}

/// Handle of the platform. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
}

impl FakePlatform {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a worker with this much CPU.
    pub fn add_worker(&self, id: &str, cpu_milli: u32, behaviour: WorkerBehaviour) {
        let id: Arc<str> = id.into();
        let mut state = self.state();
        state.workers.push(RegisteredWorker {
            entry: WorkerEntry {
                id: id.clone(),
                started_ms: BORN_MS,
                service: SERVICE.into(),
                labels: Vec::new(),
                capacity: Resources {
                    cpu_milli,
                    memory_mib: 1024,
                    slots: 64,
                    ..Resources::ZERO
                },
                draining: false,
            },
            address: id.clone(),
        });
        state.behaviours.insert(id, behaviour);
    }

    /// Writes an item to the store.
    pub fn put(&self, key: String, value: Vec<u8>) {
        self.state().store.put(key, value);
    }

    /// Changes how a worker answers.
    pub fn set_behaviour(&self, id: &str, behaviour: WorkerBehaviour) {
        self.state().behaviours.insert(id.into(), behaviour);
    }

    /// Loses the reply to the next call to a worker.
    pub fn lose_next_reply(&self, id: &str) {
        self.state().lost_replies.push(id.into());
    }

    /// Makes a worker report a run.
    pub fn report_run(&self, id: &str, run: TaskRun) {
        let mut state = self.state();
        state.reported_runs.entry(id.into()).or_default().push(run);
    }

    /// Returns the runs that a worker reports.
    pub fn reported_runs(&self, id: &str) -> Vec<TaskRun> {
        let state = self.state();
        state.reported_runs.get(id).cloned().unwrap_or_default()
    }

    /// Returns the workers in the order in which they were first called.
    pub fn contacted_workers(&self) -> Vec<Arc<str>> {
        let mut workers = Vec::new();
        for call in &self.state().calls {
            if !workers.contains(&call.worker) {
                workers.push(call.worker.clone());
            }
        }
        workers
    }

    /// Returns the times of the calls of one kind to a worker.
    pub fn call_times(&self, worker: &str, kind: CallKind) -> Vec<Instant> {
        let state = self.state();
        let calls = state.calls.iter();
        let calls = calls.filter(|call| &*call.worker == worker && call.kind == kind);
        calls.map(|call| call.at).collect()
    }

    /// Returns the reading of a worker's clock in milliseconds.
    fn worker_clock_ms(&self, worker: &str) -> u64 {
        let now = self.now();
        let mut state = self.state();
        let began_at = *state.clocks_began_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(began_at);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).expect("a test is short");
        match state.behaviours[worker] {
            WorkerBehaviour::Replaced => elapsed_ms,
            _ => FIRST_CLOCK_MS + elapsed_ms,
        }
    }

    /// Returns the answer to an order.
    fn answer<R>(&self, worker: &str, reply: R) -> OrderAnswer<R> {
        let clock_ms = self.worker_clock_ms(worker) + self.state().order_clock_offset_ms;
        OrderAnswer {
            reply,
            clock_ms: Some(clock_ms),
        }
    }

    /// Records a call, and waits until the worker answers it.
    async fn call_worker(
        &self,
        worker: &WorkerEndpoint,
        kind: CallKind,
        wait: Duration,
        limit: Duration,
    ) -> Result<(), PortError> {
        let behaviour = self.state().begin_call(&worker.id, kind);
        let (behaviour, is_first) = behaviour;
        let answer = async {
            match behaviour {
                WorkerBehaviour::IgnoresOrders if kind != CallKind::Renewal => {
                    std::future::pending().await
                }
                WorkerBehaviour::IgnoresReports if kind == CallKind::Renewal => {
                    std::future::pending().await
                }
                WorkerBehaviour::Answers
                | WorkerBehaviour::IgnoresReports
                | WorkerBehaviour::IgnoresOrders
                | WorkerBehaviour::RefusesLeases
                | WorkerBehaviour::Replaced => sleep(LATENCY + wait).await,
                WorkerBehaviour::Unreached if kind == CallKind::Renewal => {
                    sleep(LATENCY + wait).await;
                }
                WorkerBehaviour::Unreached | WorkerBehaviour::OutOfReach => {}
                WorkerBehaviour::Silent => std::future::pending().await,
                WorkerBehaviour::Refuses => {}
            }
        };
        let answered = timeout(limit, answer).await.is_ok();
        self.state().end_call(kind, is_first);
        match behaviour {
            WorkerBehaviour::Refuses => Err(PortError::Refused {
                operation: "call",
                peer: worker.id.to_string(),
                cause: "connection refused".to_owned(),
            }),
            WorkerBehaviour::Unreached if kind != CallKind::Renewal => Err(shortage(&worker.id)),
            WorkerBehaviour::OutOfReach => Err(shortage(&worker.id)),
            _ if !answered => Err(no_reply(&worker.id, "no reply in time")),
            _ => Ok(()),
        }
    }
}

impl State {
    /// Records a call. Returns how the worker answers, and whether it was not called before.
    fn begin_call(&mut self, worker: &Arc<str>, kind: CallKind) -> (WorkerBehaviour, bool) {
        let is_first = !self.calls.iter().any(|call| call.worker == *worker);
        self.calls.push(Call {
            worker: worker.clone(),
            kind,
            at: tokio::time::Instant::now().into_std(),
        });
        self.orders += usize::from(kind != CallKind::Renewal);
        self.max_orders = self.max_orders.max(self.orders);
        self.first_calls += usize::from(is_first);
        self.max_first_calls = self.max_first_calls.max(self.first_calls);
        let lost = self.lost_replies.iter().position(|lost| lost == worker);
        let behaviour = match lost {
            Some(position) => {
                self.lost_replies.remove(position);
                WorkerBehaviour::Silent
            }
            None => self.behaviours[worker],
        };
        (behaviour, is_first)
    }

    fn take_late_start(&mut self) -> bool {
        let is_late = self.late_starts > 0;
        self.late_starts -= usize::from(is_late);
        is_late
    }

    fn end_call(&mut self, kind: CallKind, is_first: bool) {
        self.orders -= usize::from(kind != CallKind::Renewal);
        self.first_calls -= usize::from(is_first);
    }
}

fn shortage(worker: &str) -> PortError {
    PortError::NoResources {
        operation: "call",
        peer: worker.to_owned(),
        cause: "too many open files".to_owned(),
    }
}

fn no_reply(worker: &str, cause: &str) -> PortError {
    PortError::NoReply {
        operation: "call",
        peer: worker.to_owned(),
        opened_at: None,
        cause: cause.to_owned(),
    }
}

impl WorkerPort for FakePlatform {
    async fn start(
        &self,
        peer: &WorkerEndpoint,
        _: u64,
        _: u64,
        order: &StartOrder,
        timeout: Duration,
    ) -> Result<OrderAnswer<StartReply>, PortError> {
        let is_late = self.state().take_late_start();
        if is_late {
            let call = self.call_worker(peer, CallKind::Start, timeout + LATENESS, timeout * 2);
            call.await?;
            return Err(no_reply(&peer.id, "no reply in time"));
        }
        let call = self.call_worker(peer, CallKind::Start, Duration::ZERO, timeout);
        call.await?;
        if self.state().keeps_started_runs {
            self.report_run(&peer.id, order.run);
        }
        Ok(self.answer(&peer.id, StartReply::Started))
    }

    async fn stop(
        &self,
        peer: &WorkerEndpoint,
        _: u64,
        _: TaskRun,
        timeout: Duration,
    ) -> Result<OrderAnswer<StopReply>, PortError> {
        let call = self.call_worker(peer, CallKind::Stop, Duration::ZERO, timeout);
        call.await
            .map(|()| self.answer(&peer.id, StopReply::Stopped))
    }

    async fn renew_lease(
        &self,
        peer: &WorkerEndpoint,
        renewal: LeaseRenewal,
        timeout: Duration,
    ) -> Result<RenewalReply, PortError> {
        let call = self.call_worker(peer, CallKind::Renewal, renewal.wait, timeout);
        call.await?;
        let clock_ms = self.worker_clock_ms(&peer.id);
        let state = self.state();
        match state.behaviours[&peer.id] {
            WorkerBehaviour::Replaced => return Ok(RenewalReply::OtherIncarnation),
            // It has become silent meanwhile.
            WorkerBehaviour::Silent => return Err(no_reply(&peer.id, "no reply in time")),
            _ => {}
        }
        let refuses_leases = state.behaviours[&peer.id] == WorkerBehaviour::RefusesLeases;
        if refuses_leases && renewal.lease_end_ms.is_some() {
            return Err(no_reply(&peer.id, "status 500"));
        }
        let runs = state.reported_runs.get(&peer.id).into_iter().flatten();
        let running = runs.map(|run| RunReport {
            run: *run,
            checkpoint: String::new(),
            percent: 0,
        });
        Ok(RenewalReply::Report {
            clock_ms,
            report: WorkerReport {
                running: running.collect(),
                ended: Vec::new(),
                ..WorkerReport::default()
            },
        })
    }
}

impl AdvicePort for FakePlatform {
    async fn advise(
        &self,
        _: StepId,
        _: &[Arc<str>],
        _: Duration,
    ) -> Result<AdviceReply, PortError> {
        std::future::pending().await
    }
}

impl NetworkPort for FakePlatform {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        tcp_network::listen(address).await
    }

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        tcp_network::connect(address).await
    }
}

impl ClockPort for FakePlatform {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn boot_now(&self) -> Instant {
        self.now() + self.state().suspended
    }

    fn unix_ms(&self) -> u64 {
        BORN_MS
    }
}
