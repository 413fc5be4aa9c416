//! Workers, and what has run on them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;

/// Longest lease of a run.
const HOLD_MAX_MS: u64 = 10_000;

/// Maximum number of ends in an answer.
const LISTED_ENDS: usize = 500;

/// Interval between the reports of a worker to the store.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Time of silence after which the store removes the entry of a worker.
const ENTRY_TTL: Duration = Duration::from_millis(4500);

/// Time for which a member of a gang waits for the others.
const GANG_WAIT: Duration = Duration::from_millis(3000);

/// Interval at which runs are looked at.
const TICK: Duration = Duration::from_millis(5);

/// Time for which a connection stays open on which nothing is answered.
const SILENCE: Duration = Duration::from_secs(5);

/// Resources of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    pub cpu: u64,
    pub mem_mb: u64,
}

/// How long a task works, from its index within the step.
type WorkTime = fn(step: u64, index: u64) -> Duration;

#[derive(Clone, Debug)]
struct Run {
    started: Instant,
    ends_at: Instant,
    /// How the run ends.
    how: &'static str,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One life of a worker.
struct Life {
    born: u64,
    started: Instant,
    fence: u64,
    lease_until: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<End>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended.
    last_run: BTreeMap<String, u64>,
}

struct Worker {
    id: String,
    address: SocketAddr,
    capacity: Capacity,
    life: Life,
    cut_until: Option<Instant>,
    seq: u64,
    /// Time of the next report to the store.
    beats_at: Instant,
    /// Time of the last report that the store took; `None` if the store has no entry.
    reported_at: Option<Instant>,
}

/// A run that a worker has begun.
#[derive(Clone, Debug)]
pub struct Begun {
    pub task: String,
    pub run: u64,
    pub worker: usize,
    pub at: Instant,
    pub ended: Option<Ended>,
}

#[derive(Clone, Debug)]
pub struct Ended {
    pub how: &'static str,
    pub at: Instant,
    number: u64,
    /// Whether the end has been taken note of, before the worker's lease lapsed.
    pub is_noted: bool,
    has_lapsed: bool,
}

struct State {
    workers: Vec<Worker>,
    begun: Vec<Begun>,
    /// Steps whose tasks form a gang, and their number of tasks.
    gangs: BTreeMap<String, usize>,
}

/// The workers of a service.
#[derive(Clone)]
pub struct Workers {
    state: Arc<Mutex<State>>,
    store: Store,
    record: Arc<Record>,
    service: &'static str,
    work_time: WorkTime,
}

impl Workers {
    pub fn new(
        store: Store,
        record: Arc<Record>,
        service: &'static str,
        work_time: WorkTime,
    ) -> Self {
        let state = State {
            workers: Vec::new(),
            begun: Vec::new(),
            gangs: BTreeMap::new(),
        };
        let workers = Self {
            state: Arc::new(Mutex::new(state)),
            store,
            record,
            service,
            work_time,
        };
        let ticking = workers.clone();
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        workers
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a worker. Returns its number.
    pub fn add(&self, capacity: Capacity) -> usize {
        let listener = http::listen();
        let address = listener.local_addr().expect("a bound socket");
        let mut state = self.state();
        let number = state.workers.len();
        state.workers.push(Worker {
            id: format!("i-{number:04x}"),
            address,
            capacity,
            life: Life::new(),
            cut_until: None,
            seq: 0,
            beats_at: Instant::now(),
            reported_at: None,
        });
        drop(state);
        let workers = self.clone();
        http::serve(
            listener,
            Arc::new(move |request| workers.answer(number, request)),
        );
        number
    }

    /// The worker is cut off from all processes and runs on.
    pub fn cut(&self, number: usize, time: Duration) {
        let mut state = self.state();
        let worker = &mut state.workers[number];
        worker.cut_until = Some(Instant::now() + time);
        let running = worker.life.running.len();
        self.record.line(format_args!(
            "TROUBLE {} is cut off for {} ms, running={running}",
            worker.id,
            time.as_millis()
        ));
    }

    /// The tasks of this step form a gang.
    pub fn add_gang(&self, step: &str, tasks: usize) {
        self.state().gangs.insert(step.to_owned(), tasks);
    }

    /// The current run of a task fails by its own fault after `delay`.
    pub fn fail(&self, task: &str, delay: Duration) {
        let mut state = self.state();
        for worker in &mut state.workers {
            for ((name, _), run) in &mut worker.life.running {
                if name == task {
                    run.ends_at = Instant::now() + delay;
                    run.how = "failed";
                }
            }
        }
    }

    /// Sets the time of the next report of a worker, which the others follow each [`HEARTBEAT`].
    pub fn beat_at(&self, number: usize, at: Instant) {
        self.state().workers[number].beats_at = at;
    }

    pub fn count(&self) -> usize {
        self.state().workers.len()
    }

    /// Returns all runs that have begun.
    pub fn begun(&self) -> Vec<Begun> {
        self.state().begun.clone()
    }

    /// Returns the worker on which a task runs, and since when.
    pub fn place_of(&self, task: &str) -> Option<(usize, Instant)> {
        let state = self.state();
        let mut begun = state.begun.iter().rev();
        let run = begun.find(|begun| begun.task == task && begun.ended.is_none())?;
        Some((run.worker, run.at))
    }

    /// Returns the worker with the most runs, and their number.
    pub fn fullest(&self) -> (usize, usize) {
        let state = self.state();
        let counts = state.workers.iter().map(|worker| worker.life.running.len());
        let fullest = counts.enumerate().max_by_key(|(_, count)| *count);
        fullest.unwrap_or((0, 0))
    }

    fn tick(&self) {
        let mut state = self.state();
        for number in 0..state.workers.len() {
            self.end_finished(&mut state, number);
            self.report(&mut state.workers[number]);
        }
        self.end_waiting_members(&mut state);
    }

    /// Ends the members of gangs that have waited for the others for too long.
    fn end_waiting_members(&self, state: &mut State) {
        let steps: Vec<(String, usize)> = state.gangs.clone().into_iter().collect();
        for (step, tasks) in steps {
            for (number, task, run) in state.members(&step, None) {
                let present = state.members(&step, Some(run)).len();
                let since = state.workers[number].life.running[&(task.clone(), run)].started;
                if present < tasks && since.elapsed() >= GANG_WAIT {
                    self.end(state, number, &task, run, "alone");
                }
            }
        }
    }

    fn end_finished(&self, state: &mut State, number: usize) {
        let now = Instant::now();
        let life = &mut state.workers[number].life;
        let has_lapsed = life.clock_ms() >= life.lease_until;
        let is_over = |run: &Run| has_lapsed || now >= run.ends_at;
        let over = life.running.iter().filter(|(_, run)| is_over(run));
        let how = |run: &Run| {
            if now >= run.ends_at {
                run.how
            } else {
                "lapsed"
            }
        };
        let over: Vec<_> = over.map(|(key, run)| (key.clone(), how(run))).collect();
        for ((task, run), how) in over {
            self.end(state, number, &task, run, how);
        }
        if has_lapsed {
            state.mark_lapsed(number);
        }
    }

    fn end(&self, state: &mut State, number: usize, task: &str, run: u64, how: &'static str) {
        let worker = &mut state.workers[number];
        let life = &mut worker.life;
        if life.running.remove(&(task.to_owned(), run)).is_none() {
            return;
        }
        life.next_end += 1;
        let end = End {
            number: life.next_end,
            task: task.to_owned(),
            run,
            how,
        };
        let last_run = life.last_run.entry(end.task.clone()).or_default();
        *last_run = run.max(*last_run);
        self.record.line(format_args!(
            "end {} {task} run={run} {how} number={}",
            worker.id, end.number
        ));
        let end_number = end.number;
        life.ended.push(end);
        state.end_begun(number, task, run, how, end_number);
        // The members of a gang end together.
        let step = step_of(task);
        if state.gangs.contains_key(step) {
            let how = if how == "done" { "done" } else { "broken" };
            for (number, task, run) in state.members(step, Some(run)) {
                self.end(state, number, &task, run, how);
            }
        }
    }

    fn report(&self, worker: &mut Worker) {
        let now = Instant::now();
        let key = format!("servers/{}", worker.id);
        if worker.reported_at.is_some_and(|at| now >= at + ENTRY_TTL) {
            worker.reported_at = None;
            self.store.remove(&key);
            self.record
                .line(format_args!("store removes the entry of {}", worker.id));
        }
        if now < worker.beats_at {
            return;
        }
        worker.beats_at += HEARTBEAT;
        if self.store.is_down() {
            return;
        }
        worker.reported_at = Some(now);
        worker.seq += 1;
        let entry = object([
            ("service", self.service.into()),
            ("addr", worker.address.to_string().as_str().into()),
            ("zone", "z1".into()),
            ("version", "1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldRemainingMs", 0.into()),
            ("seq", worker.seq.into()),
            ("born", worker.life.born.into()),
            ("labels", vec!["a".into(), "r1-1".into()].into()),
            (
                "capacity",
                object([
                    ("cpu", worker.capacity.cpu.into()),
                    ("memMb", worker.capacity.mem_mb.into()),
                    ("gpu", 0.into()),
                ]),
            ),
        ]);
        self.store.put(&key, &entry.to_string());
    }

    fn answer(&self, number: usize, request: Request) -> Reply {
        if let Some(reply) = self.unreachable(number) {
            return reply;
        }
        let expected = request.header("hornbeamshunt-expect-instance");
        if !expected.is_empty() && expected != self.state().workers[number].id {
            return Reply::Send(421, "{}".to_owned());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let reply = match request.path.as_str() {
            "/health" => Reply::Send(200, "{}".to_owned()),
            "/v1/run-start" => self.start(&mut self.state(), number, &body),
            "/v1/run-stop" => self.stop(number, &body),
            "/v1/hold" => self.hold(number, &body),
            _ => Reply::Send(404, "{}".to_owned()),
        };
        // An answer that is ready while the worker is cut off gets nowhere.
        self.unreachable(number).unwrap_or(reply)
    }

    /// Returns what a caller sees of a worker that is cut off.
    fn unreachable(&self, number: usize) -> Option<Reply> {
        let state = self.state();
        let worker = &state.workers[number];
        let is_cut = worker.cut_until.is_some_and(|until| Instant::now() < until);
        is_cut.then_some(Reply::Silence(SILENCE))
    }

    fn start(&self, state: &mut State, number: usize, body: &Json) -> Reply {
        self.end_finished(state, number);
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let worker = &mut state.workers[number];
        let id = worker.id.clone();
        let life = &mut worker.life;
        let refuse = |life: &Life, reason: &str| {
            self.record.line(format_args!(
                "start {id} {task} run={run} refused: {reason}"
            ));
            life.refuse(reason)
        };
        if !life.accepts_fence(body) {
            return refuse(life, "fence");
        }
        if body
            .get("untilMs")
            .number()
            .is_none_or(|until| until <= life.clock_ms())
        {
            return refuse(life, "late");
        }
        life.extend_lease(body);
        let key = (task.clone(), run);
        if life.running.contains_key(&key) {
            return life.reply([]);
        }
        if life
            .last_run
            .get(&task)
            .is_some_and(|last_run| run <= *last_run)
        {
            return refuse(life, "old");
        }
        let mut numbers = task.split('.').skip(2).filter_map(|part| part.parse().ok());
        let (step, index) = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0));
        let now = Instant::now();
        let work_time = (self.work_time)(step, index);
        let begun = Run {
            started: now,
            ends_at: now + work_time,
            how: "done",
        };
        life.running.insert(key, begun);
        self.record.line(format_args!(
            "begin {id} {task} run={run} fence={}",
            life.fence
        ));
        let reply = life.reply([]);
        state.begin_gang(&task, run, now + work_time);
        state.begun.push(Begun {
            task,
            run,
            worker: number,
            at: now,
            ended: None,
        });
        reply
    }

    fn stop(&self, number: usize, body: &Json) -> Reply {
        let mut state = self.state();
        let task = body.get("task").text();
        let run = body.get("run").number().unwrap_or(0);
        let life = &mut state.workers[number].life;
        if !life.accepts_fence(body) {
            return life.refuse("fence");
        }
        let last_run = life.last_run.entry(task.to_owned()).or_default();
        *last_run = run.max(*last_run);
        let id = state.workers[number].id.clone();
        self.record.line(format_args!("stop {id} {task} run={run}"));
        self.end(&mut state, number, task, run, "stopped");
        state.workers[number].life.reply([])
    }

    fn hold(&self, number: usize, body: &Json) -> Reply {
        let until =
            Instant::now() + Duration::from_millis(body.get("waitMs").number().unwrap_or(0));
        let born = {
            let mut state = self.state();
            self.end_finished(&mut state, number);
            let life = &mut state.workers[number].life;
            if !life.accepts_fence(body) {
                return life.refuse("fence");
            }
            let cursor = body.get("ackCursor").number().unwrap_or(0);
            life.ended.retain(|end| end.number > cursor);
            life.extend_lease(body);
            let born = life.born;
            state.note_ends(number, cursor);
            born
        };
        loop {
            let state = self.state();
            let life = &state.workers[number].life;
            if life.born != born {
                return Reply::Silence(Duration::ZERO);
            }
            if !life.ended.is_empty() || Instant::now() >= until {
                return life.list();
            }
            drop(state);
            thread::sleep(TICK);
        }
    }
}

/// Returns the step of a task.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or("", |(step, _)| step)
}

impl State {
    /// Returns where members of a gang run, of one run of it or of all.
    fn members(&self, step: &str, run: Option<u64>) -> Vec<(usize, String, u64)> {
        let workers = self.workers.iter().enumerate();
        let all = workers.flat_map(|(number, worker)| {
            let running = worker.life.running.keys();
            running.map(move |(task, run)| (number, task.clone(), *run))
        });
        let is_it = |(_, task, own): &(usize, String, u64)| {
            step_of(task) == step && run.is_none_or(|run| run == *own)
        };
        all.filter(is_it).collect()
    }

    /// The members of a gang work from the moment when all of them are present.
    fn begin_gang(&mut self, task: &str, run: u64, ends_at: Instant) {
        let step = step_of(task);
        let Some(&tasks) = self.gangs.get(step) else {
            return;
        };
        let members = self.members(step, Some(run));
        let is_complete = members.len() == tasks;
        let waits_until = ends_at + Duration::from_secs(3600);
        for (number, task, run) in members {
            if let Some(member) = self.workers[number].life.running.get_mut(&(task, run)) {
                member.ends_at = if is_complete { ends_at } else { waits_until };
            }
        }
    }

    fn end_begun(&mut self, number: usize, task: &str, run: u64, how: &'static str, end: u64) {
        let mut begun = self.begun.iter_mut().rev();
        let is_it = |begun: &&mut Begun| {
            begun.worker == number
                && begun.task == task
                && begun.run == run
                && begun.ended.is_none()
        };
        if let Some(begun) = begun.find(is_it) {
            begun.ended = Some(Ended {
                how,
                at: Instant::now(),
                number: end,
                is_noted: false,
                has_lapsed: false,
            });
        }
    }

    /// Notes that the ends of a worker up to this number have been acknowledged.
    fn note_ends(&mut self, number: usize, cursor: u64) {
        for begun in self.begun.iter_mut().filter(|begun| begun.worker == number) {
            if let Some(end) = &mut begun.ended {
                let is_noted = end.number > 0 && end.number <= cursor && !end.has_lapsed;
                end.is_noted |= is_noted;
            }
        }
    }

    fn mark_lapsed(&mut self, number: usize) {
        for begun in self.begun.iter_mut().filter(|begun| begun.worker == number) {
            if let Some(end) = &mut begun.ended {
                end.has_lapsed |= !end.is_noted;
            }
        }
    }
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            born: born.map_or(0, |born| born.as_millis() as u64),
            started: Instant::now(),
            fence: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 0,
            last_run: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Keeps the highest fence. Returns whether this one is not lower.
    fn accepts_fence(&mut self, body: &Json) -> bool {
        let fence = body.get("fence").number().unwrap_or(0);
        self.fence = fence.max(self.fence);
        fence >= self.fence
    }

    fn extend_lease(&mut self, body: &Json) {
        if let Some(until) = body.get("untilMs").number() {
            let until = until.min(self.clock_ms() + HOLD_MAX_MS);
            self.lease_until = until.max(self.lease_until);
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = object([
            ("clockMs", self.clock_ms().into()),
            ("reason", reason.into()),
        ]);
        Reply::Send(409, body.to_string())
    }

    fn reply<const N: usize>(&self, fields: [(&str, Json); N]) -> Reply {
        let own = [
            ("clockMs", self.clock_ms().into()),
            ("born", self.born.into()),
        ];
        let fields = own.into_iter().chain(fields);
        let fields = fields.map(|(name, value)| (name.to_owned(), value));
        Reply::Send(200, Json::Object(fields.collect()).to_string())
    }

    fn list(&self) -> Reply {
        let running = self.running.iter().map(|((task, run), state)| {
            let work = state
                .ends_at
                .duration_since(state.started)
                .as_millis()
                .max(1);
            let percent = state.started.elapsed().as_millis() * 100 / work;
            Json::List(vec![
                task.as_str().into(),
                (*run).into(),
                "".into(),
                (percent.min(100) as u64).into(),
                0.into(),
            ])
        });
        let ended = self.ended.iter().take(LISTED_ENDS).map(|end| {
            Json::List(vec![
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                "".into(),
            ])
        });
        let (running, ended): (Vec<Json>, Vec<Json>) = (running.collect(), ended.collect());
        self.reply([("running", running.into()), ("ended", ended.into())])
    }
}
