//! Stand-in for a worker of the platform.

mod lease;
mod options;
mod plan;
mod report;
mod state;
mod task;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hs_http::{BodyError, HttpReply, HttpRequest};
use hs_wire::{LeaseRequest, StartReply, StartRequest, StopRequest, WorkId};
use hyper::Method;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};

use crate::WorkerFault;
use crate::fault::{ReplyLossSampler, apply_delay};
use crate::server::serve_lossy;
use state::{Refusal, WorkerState};

pub use options::WorkerOptions;
pub use report::{WorkerLog, WorkerPeak, WorkerStart};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Minimum time between two checks of the task lease, which bounds the cost of checks that wake up
/// just before the deadline.
const MIN_EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

struct WorkerFaults {
    switches: WorkerFault,
    /// End of the pause that `switches` requested.
    paused_until: Option<Instant>,
    reply_loss: ReplyLossSampler,
}

#[derive(Clone)]
struct Worker {
    state: Arc<Mutex<WorkerState>>,
    faults: Arc<Mutex<WorkerFaults>>,
}

/// Runs a worker stand-in until `stop` becomes true.
///
/// The payload of a task controls its behaviour. It consists of words separated by blanks:
/// `sleep=MS` sets the run time, `fail` makes the task fail, `echo=TEXT` sets the result, and
/// `cpu=MILLI` sets the processor time that usage reports show. Other words are ignored. By default
/// a task runs for 5 ms, succeeds and returns its id.
pub async fn run_worker(
    listener: TcpListener,
    options: WorkerOptions,
    stop: watch::Receiver<bool>,
) {
    let faults = WorkerFaults {
        switches: WorkerFault::default(),
        paused_until: None,
        reply_loss: ReplyLossSampler::new(options.seed),
    };
    let worker = Worker {
        state: Arc::new(Mutex::new(WorkerState::new(options, Instant::now()))),
        faults: Arc::new(Mutex::new(faults)),
    };
    let lease_enforcer = worker.clone();
    let service = serve_lossy(listener, MAX_BODY_BYTES, stop, move |request| {
        let worker = worker.clone();
        async move { worker.handle(request).await }
    });
    tokio::select! {
        () = service => {}
        () = lease_enforcer.enforce_task_lease() => {}
    }
}

impl Worker {
    /// Stops leased tasks whenever the lease was not granted or renewed for the length of the task
    /// lease.
    async fn enforce_task_lease(&self) {
        loop {
            let now = Instant::now();
            let deadline = self.state().stop_expired_tasks(now);
            sleep_until(deadline.max(now + MIN_EXPIRY_CHECK_INTERVAL).into()).await;
        }
    }

    async fn handle(&self, request: HttpRequest) -> Option<HttpReply> {
        match (request.method.clone(), request.path.as_str()) {
            (Method::POST, "/fault") => return Some(self.set_faults(&request)),
            (Method::GET, "/log") => return Some(HttpReply::json(200, &self.state().log())),
            (Method::GET, "/peak") => return Some(HttpReply::json(200, &self.state().peak())),
            _ => {}
        }
        if let Err(reply) = self.inject_fault().await {
            return reply;
        }
        let path = request.path.as_str();
        match (request.method.clone(), path, path.strip_prefix("/tasks/")) {
            (Method::POST, "/lease", _) => self.lease(&request),
            (Method::POST, "/start", _) => self.start(&request).await,
            (Method::POST, "/stop", _) => Some(self.stop(&request)),
            (Method::GET, _, Some(id)) => {
                let wait_ms = request.query_number("wait_ms").unwrap_or(0);
                Some(self.view(&WorkId(id.to_owned()), wait_ms).await)
            }
            _ => Some(HttpReply::error(404, "no_such_path", path)),
        }
    }

    /// Waits for the end of a pause and applies the injected delay, then fails with the reply of an
    /// outage, if there is one.
    async fn inject_fault(&self) -> Result<(), Option<HttpReply>> {
        loop {
            let paused_until = self.faults().paused_until;
            match paused_until.filter(|until| *until > Instant::now()) {
                Some(until) => sleep_until(until.into()).await,
                None => break,
            }
        }
        let delay_ms = self.faults().switches.delay_ms;
        apply_delay(delay_ms).await;
        let down = self.faults().switches.down;
        down.map_or(Ok(()), |mode| Err(mode.outage_reply()))
    }

    fn lease(&self, request: &HttpRequest) -> Option<HttpReply> {
        let lease = match request.json::<LeaseRequest>() {
            Ok(lease) => lease,
            Err(error) => return Some(malformed(&error)),
        };
        let mut faults = self.faults();
        let draining = faults.switches.draining;
        let reply = match self.state().lease(&lease, draining, Instant::now()) {
            Ok(grant) => HttpReply::json(200, &grant),
            Err(held) => HttpReply::json(409, &held),
        };
        let faults = &mut *faults;
        let lost = faults
            .reply_loss
            .next_is_lost(&mut faults.switches.lose_lease_replies);
        (!lost).then_some(reply)
    }

    async fn start(&self, request: &HttpRequest) -> Option<HttpReply> {
        let start = match request.json::<StartRequest>() {
            Ok(start) => start,
            Err(error) => return Some(malformed(&error)),
        };
        let switches = self.faults().switches;
        let started = self.state().start(&start, &switches, Instant::now());
        let reply = match started {
            Ok(run_time) => {
                if let Some(run_time) = run_time {
                    self.schedule_end(start.id.clone(), run_time);
                }
                self.view(&start.id, start.wait_ms).await
            }
            Err(refusal) => refusal.reply(),
        };
        let mut guard = self.faults();
        let faults = &mut *guard;
        let lost = faults
            .reply_loss
            .next_is_lost(&mut faults.switches.lose_replies);
        (!lost).then_some(reply)
    }

    /// Ends a task after its run time. A task with a run time of zero ends at once, since a timer
    /// would add up to 1 ms.
    fn schedule_end(&self, id: WorkId, run_time: Duration) {
        if run_time.is_zero() {
            return self.state().finish(&id, Instant::now());
        }
        let worker = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(run_time).await;
            worker.state().finish(&id, Instant::now());
        });
    }

    async fn view(&self, id: &WorkId, wait_ms: u64) -> HttpReply {
        let ended = self.state().subscribe(id);
        if let (Some(mut ended), true) = (ended, wait_ms > 0) {
            let wait = Duration::from_millis(wait_ms);
            // The reply shows the current phase, whether or not the task ended within the wait.
            let _ = timeout(wait, ended.wait_for(|ended| *ended)).await;
        }
        match self.state().view(id, Instant::now()) {
            Some(task) => HttpReply::json(200, &StartReply { task }),
            None => HttpReply::error(404, "no_such_task", id.to_string()),
        }
    }

    fn stop(&self, request: &HttpRequest) -> HttpReply {
        match request.json::<StopRequest>() {
            Err(error) => malformed(&error),
            Ok(stop) => match self.state().stop(&stop, Instant::now()) {
                Ok(()) => HttpReply::json(200, &EmptyBody {}),
                Err(refusal) => refusal.reply(),
            },
        }
    }

    fn set_faults(&self, request: &HttpRequest) -> HttpReply {
        match request.json::<WorkerFault>() {
            Ok(switches) => {
                let mut faults = self.faults();
                faults.paused_until = (switches.pause_ms > 0)
                    .then(|| Instant::now() + Duration::from_millis(switches.pause_ms));
                faults.switches = switches;
                HttpReply::json(200, &switches)
            }
            Err(error) => malformed(&error),
        }
    }

    fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, WorkerFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Serialize)]
struct EmptyBody {}

impl Refusal {
    fn reply(self) -> HttpReply {
        match self {
            Self::StaleFence { current } => {
                let message = format!("the fence in force is {current}");
                HttpReply::error(409, "stale_fence", message)
            }
            Self::NoLease => HttpReply::error(409, "no_lease", "no lease is in force"),
            Self::InsufficientCapacity => HttpReply::error(429, "no_room", "the task does not fit"),
            Self::Draining => HttpReply::error(503, "draining", "the worker is draining"),
            Self::UnknownTask => HttpReply::error(404, "no_such_task", "the task is not known"),
        }
    }
}

fn malformed(error: &BodyError) -> HttpReply {
    HttpReply::error(400, "malformed", error.to_string())
}
