//! Stand-in for a worker.

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
use crate::fault::{LossGate, hold};
use crate::front::serve_front;
use state::{Refusal, WorkerState};

pub use options::WorkerOptions;
pub use report::{WorkerLog, WorkerPeak, WorkerStart};

/// Largest body in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Shortest pause between two checks of the task lease, which bounds the cost of a check that
/// wakes just before the deadline.
const MIN_CHECK_PAUSE: Duration = Duration::from_millis(5);

struct WorkerFaults {
    switches: WorkerFault,
    /// End of the pause that `switches` asked for.
    paused_until: Option<Instant>,
    gate: LossGate,
}

#[derive(Clone)]
struct Worker {
    state: Arc<Mutex<WorkerState>>,
    faults: Arc<Mutex<WorkerFaults>>,
}

/// Runs a worker until `stop` becomes true.
///
/// The payload of a task controls it. It consists of words separated by blanks: `sleep=MS` sets
/// the run time, `fail` makes the task fail, `echo=TEXT` sets the result, `cpu=MILLI` sets the
/// processor time that usage reports show. Other words are ignored. Without them a task runs 5 ms,
/// succeeds, and returns its id.
pub async fn run_worker(
    listener: TcpListener,
    options: WorkerOptions,
    stop: watch::Receiver<bool>,
) {
    let faults = WorkerFaults {
        switches: WorkerFault::default(),
        paused_until: None,
        gate: LossGate::new(options.seed),
    };
    let worker = Worker {
        state: Arc::new(Mutex::new(WorkerState::new(options, Instant::now()))),
        faults: Arc::new(Mutex::new(faults)),
    };
    let expiry = worker.clone();
    let service = serve_front(listener, MAX_BODY_BYTES, stop, move |request| {
        let worker = worker.clone();
        async move { worker.answer(request).await }
    });
    tokio::select! {
        () = service => {}
        () = expiry.watch_task_lease() => {}
    }
}

impl Worker {
    /// Stops leased tasks whenever nobody has renewed for the task lease.
    async fn watch_task_lease(&self) {
        loop {
            let now = Instant::now();
            let deadline = self.state().expire_tasks(now);
            sleep_until(deadline.max(now + MIN_CHECK_PAUSE).into()).await;
        }
    }

    async fn answer(&self, request: HttpRequest) -> Option<HttpReply> {
        match (request.method.clone(), request.path.as_str()) {
            (Method::POST, "/fault") => return Some(self.switch(&request)),
            (Method::GET, "/log") => return Some(HttpReply::json(200, &self.state().log())),
            (Method::GET, "/peak") => return Some(HttpReply::json(200, &self.state().peak())),
            _ => {}
        }
        if let Err(reply) = self.enter().await {
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

    /// Applies pause and delay, then returns the reply of a worker that is down, if it is.
    async fn enter(&self) -> Result<(), Option<HttpReply>> {
        loop {
            let paused_until = self.faults().paused_until;
            match paused_until.filter(|until| *until > Instant::now()) {
                Some(until) => sleep_until(until.into()).await,
                None => break,
            }
        }
        let delay_ms = self.faults().switches.delay_ms;
        hold(delay_ms).await;
        let down = self.faults().switches.down;
        down.map_or(Ok(()), |mode| Err(mode.reply()))
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
        let lost = faults.gate.loses(&mut faults.switches.lose_lease_replies);
        (!lost).then_some(reply)
    }

    async fn start(&self, request: &HttpRequest) -> Option<HttpReply> {
        let start = match request.json::<StartRequest>() {
            Ok(start) => start,
            Err(error) => return Some(malformed(&error)),
        };
        let switches = self.faults().switches;
        let begun = self.state().start(&start, &switches, Instant::now());
        let reply = match begun {
            Ok(run_time) => {
                if let Some(run_time) = run_time {
                    self.run(start.id.clone(), run_time);
                }
                self.view(&start.id, start.wait_ms).await
            }
            Err(refusal) => refusal.reply(),
        };
        let mut guard = self.faults();
        let faults = &mut *guard;
        let lost = faults.gate.loses(&mut faults.switches.lose_replies);
        (!lost).then_some(reply)
    }

    /// Ends a task after its run time. A run time of zero does without the timer, which would add
    /// up to a millisecond.
    fn run(&self, id: WorkId, run_time: Duration) {
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
            // The task is reported as far as it has come, whether or not the wait ran out.
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

    fn switch(&self, request: &HttpRequest) -> HttpReply {
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
            Self::NoRoom => HttpReply::error(429, "no_room", "the task does not fit"),
            Self::Draining => HttpReply::error(503, "draining", "the worker is draining"),
            Self::UnknownTask => HttpReply::error(404, "no_such_task", "the task is not known"),
        }
    }
}

fn malformed(error: &BodyError) -> HttpReply {
    HttpReply::error(400, "malformed", error.to_string())
}
