//! Stand-in for the workers: machines whose processes may crash and start again.
//!
//! The input of a job tells how long its tasks take and how they end: `ms=500` or `fail=300`. Other tasks run until they
//! are stopped.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Reply, Request, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const CPU_MILLI: u64 = 64_000;
pub const MEM_MB: u64 = 131_072;

/// Number of the workers of kind `b`; the others are of kind `a`.
const KIND_B_WORKERS: usize = 3;

/// Longest lease that a worker grants, as `holdMaxMs` in the settings.
const MAX_HOLD_MS: u64 = 10_000;

/// Time that a worker takes to stop a run; `stopMs` is 200.
const STOP_TIME: Duration = Duration::from_millis(100);

/// Interval of the entries in the store, as `heartbeatMs` in the settings. An entry is removed after three of them.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Maximum number of ends in a reply.
const MAX_LISTED_ENDS: usize = 500;

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

/// A run as the workers saw it.
#[derive(Clone, Debug)]
pub struct RunLog {
    pub worker: String,
    pub task: String,
    /// When and how it ended; `crashed` if its worker crashed.
    pub end: Option<(Instant, &'static str)>,
}

/// All runs of all workers.
pub type Runs = Arc<Mutex<Vec<RunLog>>>;

#[derive(Debug)]
struct Run {
    log: usize,
    began_at: Instant,
    length: Option<Duration>,
    fails: bool,
    stops_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct LifeState {
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that has ended or was stopped here.
    highest: BTreeMap<String, u64>,
}

/// One incarnation of a worker.
struct Life {
    id: String,
    born: u64,
    began_at: Instant,
    state: Mutex<LifeState>,
    changed: Condvar,
    is_over: AtomicBool,
    runs: Runs,
    record: Arc<Record>,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        // The clock of a new incarnation begins anywhere.
        100_000 + self.born % 1000 * 37 + self.began_at.elapsed().as_millis() as u64
    }

    fn clock(&self) -> (&'static str, Json) {
        ("clockMs", self.clock_ms().into())
    }

    fn end(&self, state: &mut LifeState, key: &(String, u64), how: &'static str) {
        let Some(run) = state.runs.remove(key) else {
            return;
        };
        let (task, number) = key;
        self.runs.lock().unwrap()[run.log].end = Some((Instant::now(), how));
        self.record
            .detail(format!("{}: {task} run {number} ended {how}", self.id));
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(*number);
        state.last_end += 1;
        state
            .ends
            .push((state.last_end, task.clone(), *number, how));
        self.changed.notify_all();
    }

    /// Ends the runs whose time has come.
    fn update(&self, state: &mut LifeState) {
        let now = Instant::now();
        let has_lapsed = self.clock_ms() >= state.lease_end_ms;
        let keys: Vec<_> = state.runs.keys().cloned().collect();
        for key in keys {
            let run = &state.runs[&key];
            let is_done = run
                .length
                .is_some_and(|length| now >= run.began_at + length);
            let how = match (run.stops_at, has_lapsed) {
                (Some(at), _) if now >= at => "stopped",
                (_, true) => "lapsed",
                _ if is_done && run.fails => "failed",
                _ if is_done => "done",
                _ => continue,
            };
            self.end(state, &key, how);
        }
    }

    fn extend_lease(&self, state: &mut LifeState, body: &Json) {
        if let Some(until) = body.get("untilMs").number() {
            let until = until.min(self.clock_ms() + MAX_HOLD_MS);
            state.lease_end_ms = state.lease_end_ms.max(until);
        }
    }

    fn refuse(&self, reason: &'static str) -> Reply {
        (
            409,
            Json::object([self.clock(), ("reason", reason.into())]).to_string(),
        )
    }

    fn start(&self, state: &mut LifeState, body: &Json) -> Reply {
        let (task, number) = (
            body.get("task").text(),
            body.get("run").number().unwrap_or(0),
        );
        let key = (task.to_owned(), number);
        if body.get("untilMs").number().unwrap_or(0) <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend_lease(state, body);
        if state.runs.contains_key(&key) {
            return (200, Json::object([self.clock()]).to_string());
        }
        if state
            .highest
            .get(task)
            .is_some_and(|highest| number <= *highest)
        {
            return self.refuse("old");
        }
        let spec = body.get("spec").text();
        let fails = spec.starts_with("fail=");
        let length = spec.split_once('=').and_then(|(_, ms)| ms.parse().ok());
        let began_at = Instant::now();
        let mut runs = self.runs.lock().unwrap();
        let run = Run {
            log: runs.len(),
            began_at,
            length: length.map(Duration::from_millis),
            fails,
            stops_at: None,
        };
        runs.push(RunLog {
            worker: self.id.clone(),
            task: task.to_owned(),
            end: None,
        });
        drop(runs);
        self.record
            .detail(format!("{}: {task} run {number} begins", self.id));
        state.runs.insert(key, run);
        (200, Json::object([self.clock()]).to_string())
    }

    fn stop(&self, state: &mut LifeState, body: &Json) -> Reply {
        let (task, number) = (
            body.get("task").text(),
            body.get("run").number().unwrap_or(0),
        );
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(number);
        if let Some(run) = state.runs.get_mut(&(task.to_owned(), number)) {
            run.stops_at.get_or_insert(Instant::now() + STOP_TIME);
            self.record
                .detail(format!("{}: stop of {task} run {number}", self.id));
        }
        (200, Json::object([self.clock()]).to_string())
    }

    fn list(&self, state: &LifeState) -> Reply {
        let running = state.runs.iter().map(|((task, number), run)| {
            let percent = run.length.filter(|_| !run.fails).map_or(100, |length| {
                let elapsed = run.began_at.elapsed().as_millis();
                (elapsed * 100 / length.as_millis().max(1)).min(99) as u64
            });
            let row = vec![
                task.as_str().into(),
                (*number).into(),
                "".into(),
                percent.into(),
            ];
            Json::List(row)
        });
        let ended = state.ends.iter().take(MAX_LISTED_ENDS);
        let ended = ended.map(|(end, task, number, how)| {
            let row = vec![
                (*end).into(),
                task.as_str().into(),
                (*number).into(),
                (*how).into(),
                "".into(),
            ];
            Json::List(row)
        });
        let reply = Json::object([
            self.clock(),
            ("born", self.born.into()),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ]);
        (200, reply.to_string())
    }

    fn hold(&self, body: &Json) -> Option<Reply> {
        let wait = body.get("waitMs").number().unwrap_or(0).min(2000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        let cursor = body.get("ackCursor").number().unwrap_or(0);
        state.ends.retain(|end| end.0 > cursor);
        self.extend_lease(&mut state, body);
        loop {
            if self.is_over.load(Ordering::SeqCst) {
                return None;
            }
            self.update(&mut state);
            let left = deadline.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                return Some(self.list(&state));
            }
            let step = left.min(Duration::from_millis(20));
            state = self.changed.wait_timeout(state, step).unwrap().0;
        }
    }
}

impl Handler for Life {
    fn handle(&self, request: &Request) -> Option<Reply> {
        if self.is_over.load(Ordering::SeqCst) {
            return None;
        }
        let expected = request.headers.get("hornbeamshunt-expect-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, "{}".to_owned()));
        };
        {
            let mut state = self.state.lock().unwrap();
            self.update(&mut state);
            let fence = body.get("fence").number().unwrap_or(0);
            if fence < state.fence {
                return Some(self.refuse("fence"));
            }
            state.fence = fence;
            match request.path.as_str() {
                "/v1/run-start" => return Some(self.start(&mut state, &body)),
                "/v1/run-stop" => return Some(self.stop(&mut state, &body)),
                _ => {}
            }
        }
        match request.path.as_str() {
            "/v1/hold" => self.hold(&body),
            _ => Some((404, "{}".to_owned())),
        }
    }
}

struct Up {
    life: Arc<Life>,
    server: Server,
}

/// A worker: an ID and an address, and the incarnation that is up.
pub struct Worker {
    pub id: String,
    address: SocketAddr,
    number: usize,
    service: String,
    up: Mutex<Option<Up>>,
    heard_at: Mutex<Instant>,
    store: Arc<Store>,
    runs: Runs,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker, and the thread that writes its entry.
    pub fn start(
        number: usize,
        service: &str,
        store: Arc<Store>,
        runs: Runs,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let address = crate::system::free_address(&format!("127.3.0.{}", number + 1));
        let worker = Arc::new(Self {
            id: format!("i-{number:08x}"),
            address,
            number,
            service: service.to_owned(),
            up: Mutex::new(None),
            heard_at: Mutex::new(Instant::now()),
            store,
            runs,
            record,
        });
        worker.boot();
        let beating = worker.clone();
        std::thread::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                if beating.is_up() {
                    beating.register();
                } else if beating.heard_at.lock().unwrap().elapsed() > HEARTBEAT * 3 {
                    beating.store.delete(&format!("servers/{}", beating.id));
                }
            }
        });
        worker
    }

    pub fn is_up(&self) -> bool {
        self.up.lock().unwrap().is_some()
    }

    /// Starts an incarnation, which knows nothing of the earlier ones.
    pub fn boot(&self) {
        let life = Arc::new(Life {
            id: self.id.clone(),
            born: unix_ms(),
            began_at: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            is_over: AtomicBool::new(false),
            runs: self.runs.clone(),
            record: self.record.clone(),
        });
        let server =
            Server::start(self.address, life.clone()).expect("the worker's address is free");
        let ticking = life.clone();
        std::thread::spawn(move || {
            while !ticking.is_over.load(Ordering::SeqCst) {
                ticking.update(&mut ticking.state.lock().unwrap());
                sleep(Duration::from_millis(10));
            }
        });
        *self.up.lock().unwrap() = Some(Up { life, server });
        self.record.note(format!("{}: up", self.id));
        self.register();
    }

    /// Ends the incarnation with all its runs, without a word.
    pub fn crash(&self) {
        let Some(up) = self.up.lock().unwrap().take() else {
            return;
        };
        up.life.is_over.store(true, Ordering::SeqCst);
        up.server.close();
        let state = up.life.state.lock().unwrap();
        let mut runs = self.runs.lock().unwrap();
        for run in state.runs.values() {
            runs[run.log].end = Some((Instant::now(), "crashed"));
        }
        self.record.note(format!(
            "{}: CRASHED with {} runs",
            self.id,
            state.runs.len()
        ));
    }

    fn register(&self) {
        let up = self.up.lock().unwrap();
        let Some(up) = &*up else { return };
        let capacity = [
            ("cpu", CPU_MILLI.into()),
            ("memMb", MEM_MB.into()),
            ("gpu", 0.into()),
        ];
        let kind = if self.number < KIND_B_WORKERS {
            "b"
        } else {
            "a"
        };
        let rack = format!("r1-{}", self.number);
        let entry = Json::object([
            ("service", self.service.as_str().into()),
            ("addr", self.address.to_string().as_str().into()),
            ("zone", "sfax-depot".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldRemainingMs", 0.into()),
            ("capacity", Json::object(capacity)),
            (
                "labels",
                Json::List(vec![kind.into(), rack.as_str().into()]),
            ),
            ("clockMs", up.life.clock_ms().into()),
            ("born", up.life.born.into()),
            ("seq", up.life.clock_ms().into()),
        ]);
        *self.heard_at.lock().unwrap() = Instant::now();
        self.store
            .put(&format!("servers/{}", self.id), &entry.to_string());
    }
}
