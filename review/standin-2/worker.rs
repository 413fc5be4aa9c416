//! A worker, as PROTOCOL.md describes it: starts, stops, holds, leases, and lives under one id.
//!
//! What a task does stands in the job's `spec`: `work=MS` ends `done` after that time, `lasts` runs until it is
//! stopped. `fill=MS` needs that time on all the cores that it asks for; such tasks share what the others leave.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::advice::{self, Tickets};
use crate::http::{Reply, Request, Server};
use crate::json::{Json, num, table, text};
use crate::record::{Event, Record};
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1500);
const HOLD_MAX_MS: u64 = 10_000;
const STOP_TIME: Duration = Duration::from_millis(60);
/// Time that a worker takes to answer a start.
const START_TIME: Duration = Duration::from_millis(20);
const TICK: Duration = Duration::from_millis(5);

/// Cores that a lasting and a filling task use, in thousandths.
pub const LASTING_CPU: u64 = 60_000;
pub const FILLING_CPU: u64 = 20_000;

struct Run {
    run: u64,
    began: Instant,
    /// Time that the task needs; `None` if it lasts.
    work: Option<Duration>,
    /// Time that a filling task has worked, on all the cores that it asks for.
    filled: Option<Duration>,
    stop_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// Number of times that the lease had lapsed when the run ended.
    lapses: u32,
}

struct Life {
    number: u32,
    born: u64,
    started: Instant,
    fence: u64,
    until_ms: u64,
    /// Number of times that the lease has lapsed.
    lapses: u32,
    is_lapsed: bool,
    running: BTreeMap<String, Run>,
    ended: Vec<End>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    highest: HashMap<String, u64>,
}

pub struct Worker {
    pub id: String,
    address: SocketAddr,
    rack: String,
    cpu: u64,
    service: String,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    lives: Mutex<u32>,
    /// Number of starts that are being answered.
    starting: AtomicU32,
    /// Tickets that starts have to carry, if the queues have advice.
    tickets: Option<Tickets>,
    store: Arc<Store>,
    record: Record,
}

impl Run {
    fn worked(&self, now: Instant) -> Duration {
        self.filled
            .unwrap_or(now.saturating_duration_since(self.began))
    }
}

impl Life {
    /// Lets the filling tasks work for a time on what the others leave.
    fn fill(&mut self, cpu: u64, time: Duration) {
        let lasting = self
            .running
            .values()
            .filter(|run| run.work.is_none())
            .count() as u64;
        let filling = self
            .running
            .values()
            .filter(|run| run.filled.is_some())
            .count() as u64;
        let left = cpu.saturating_sub(lasting * LASTING_CPU);
        let share = left as f64 / (filling * FILLING_CPU).max(1) as f64;
        for run in self.running.values_mut() {
            if let Some(filled) = &mut run.filled {
                *filled += time.mul_f64(share.min(1.0));
            }
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, body: &Json) {
        if let Some(until) = body.get("untilMs").u64() {
            self.until_ms = self.until_ms.max(until.min(self.clock_ms() + HOLD_MAX_MS));
        }
    }

    fn end(&mut self, worker: &Worker, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.next_end += 1;
        let number = self.next_end;
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = run.run.max(*highest);
        self.ended.push(End {
            number,
            task: task.to_owned(),
            run: run.run,
            how,
            lapses: self.lapses,
        });
        worker.record.add(Event::Ended {
            worker: worker.id.clone(),
            life: self.number,
            number,
            task: task.to_owned(),
            run: run.run,
            how,
        });
    }
}

impl Worker {
    /// Adds a worker, which is up and registered at once.
    pub fn start(
        number: usize,
        cpu: u64,
        service: &str,
        store: &Arc<Store>,
        record: &Record,
        tickets: Option<Tickets>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: format!("i-{number:08x}"),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            rack: format!("r0-{}", number / 4),
            cpu,
            service: service.to_owned(),
            life: Mutex::new(None),
            changed: Condvar::new(),
            server: Mutex::new(None),
            lives: Mutex::new(0),
            starting: AtomicU32::new(0),
            tickets,
            store: store.clone(),
            record: record.clone(),
        });
        worker.up();
        let beat = worker.clone();
        std::thread::spawn(move || beat.heartbeats());
        let ticks = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticks.tick();
            }
        });
        worker
    }

    /// Begins a life at the address of the one before, and registers it.
    pub fn up(self: &Arc<Self>) {
        let mut lives = self.lives.lock().unwrap();
        *lives += 1;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        *self.life.lock().unwrap() = Some(Life {
            number: *lives,
            born,
            started: Instant::now(),
            fence: 0,
            until_ms: 0,
            lapses: 0,
            is_lapsed: true,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 0,
            highest: HashMap::new(),
        });
        self.record.add(Event::Up {
            worker: self.id.clone(),
            life: *lives,
        });
        let handler = self.clone();
        let address = self.address();
        let mut tries = 0;
        let server = loop {
            let handler = handler.clone();
            match Server::start(address, move |request| handler.handle(&request)) {
                Ok(server) => break server,
                Err(error) if tries > 100 => panic!("listening on {address}: {error}"),
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
            tries += 1;
        };
        *self.server.lock().unwrap() = Some(server);
        self.register(1);
    }

    pub fn address(&self) -> SocketAddr {
        let server = self.server.lock().unwrap();
        server
            .as_ref()
            .map_or(self.address, |server| server.address)
    }

    /// Ends the present life without a word.
    pub fn crash(&self) {
        let life = self.life.lock().unwrap().take();
        if let Some(life) = life {
            let runs = life
                .running
                .iter()
                .map(|(task, run)| (task.clone(), run.run))
                .collect();
            let worker = self.id.clone();
            self.record.add(Event::Crashed {
                worker,
                life: life.number,
                runs,
            });
        }
        if let Some(server) = &*self.server.lock().unwrap() {
            server.crash();
        }
        self.changed.notify_all();
    }

    /// Returns whether the worker is starting a task.
    pub fn is_starting(&self) -> bool {
        self.starting.load(Ordering::SeqCst) > 0
    }

    /// Ends a task as failed. Returns whether it ran here.
    pub fn fail(&self, task: &str) -> bool {
        let mut life = self.life.lock().unwrap();
        let runs = life
            .as_ref()
            .is_some_and(|life| life.running.contains_key(task));
        if let Some(life) = life.as_mut() {
            life.end(self, task, "failed");
        }
        drop(life);
        self.changed.notify_all();
        runs
    }

    pub fn runs(&self) -> Vec<String> {
        let life = self.life.lock().unwrap();
        life.as_ref()
            .map_or(Vec::new(), |life| life.running.keys().cloned().collect())
    }

    fn register(&self, seq: u64) {
        let Some(born) = self.life.lock().unwrap().as_ref().map(|life| life.born) else {
            return;
        };
        let entry = table([
            ("service", text(self.service.clone())),
            ("addr", text(self.address().to_string())),
            ("zone", text("z1")),
            ("version", text("1")),
            ("slots", num(64)),
            ("state", text("ready")),
            ("coldRemainingMs", num(0)),
            ("seq", num(seq)),
            ("born", num(born)),
            ("machine", text(format!("m-{}", self.id))),
            (
                "labels",
                Json::List(vec![text("a"), text(self.rack.clone())]),
            ),
            (
                "capacity",
                table([
                    ("cpu", num(self.cpu)),
                    ("memMb", num(256_000)),
                    ("gpu", num(0)),
                ]),
            ),
        ]);
        self.store.write(&format!("servers/{}", self.id), &entry);
    }

    /// Renews the entry as long as the worker lives. The store drops it after three intervals of silence.
    fn heartbeats(&self) {
        let mut seq = 1;
        let mut silent = 0;
        loop {
            std::thread::sleep(HEARTBEAT);
            if self.life.lock().unwrap().is_some() {
                seq += 1;
                silent = 0;
                self.register(seq);
            } else {
                silent += 1;
                if silent == 3 {
                    self.store.remove(&format!("servers/{}", self.id));
                }
            }
        }
    }

    fn tick(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let (now, clock) = (Instant::now(), life.clock_ms());
        life.fill(self.cpu, TICK);
        let lapsed = clock >= life.until_ms;
        life.lapses += u32::from(lapsed && !life.is_lapsed);
        life.is_lapsed = lapsed;
        let over: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| {
                let how = if run.work.is_some_and(|work| run.worked(now) >= work) {
                    "done"
                } else if run.stop_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if lapsed {
                    "lapsed"
                } else {
                    return None;
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in &over {
            life.end(self, task, how);
        }
        drop(guard);
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Option<Reply> {
        if request.path() == "/health" {
            return Some((200, "{}".to_owned()));
        }
        if request
            .header("hornbeamshunt-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body)?;
        if request.path() == "/v1/run-start" {
            self.starting.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(START_TIME);
            self.starting.fetch_sub(1, Ordering::SeqCst);
        }
        let mut guard = self.life.lock().unwrap();
        let life = guard.as_mut()?;
        let fence = body.get("fence").u64().unwrap_or(0);
        if fence < life.fence {
            return Some(refusal(life, "fence"));
        }
        life.fence = fence;
        match request.path() {
            "/v1/run-start" => self.run_start(life, &body),
            "/v1/run-stop" => {
                let task = body.get("task").str();
                let run = body.get("run").u64()?;
                match life.running.get_mut(task) {
                    Some(running) if running.run <= run => {
                        running.stop_at.get_or_insert(Instant::now() + STOP_TIME);
                    }
                    _ => {
                        let highest = life.highest.entry(task.to_owned()).or_default();
                        *highest = run.max(*highest);
                    }
                }
                Some((200, table([("clockMs", num(life.clock_ms()))]).to_string()))
            }
            "/v1/hold" => {
                life.extend(&body);
                let cursor = body.get("ackCursor").u64().unwrap_or(0);
                let (noted, left) = std::mem::take(&mut life.ended)
                    .into_iter()
                    .partition(|end: &End| end.number <= cursor);
                life.ended = left;
                for end in noted {
                    self.record.add(Event::Noted {
                        worker: self.id.clone(),
                        life: life.number,
                        number: end.number,
                        task: end.task,
                        run: end.run,
                        cursor,
                        lapsed: end.lapses != life.lapses,
                    });
                }
                let number = life.number;
                let wait = body.get("waitMs").u64().unwrap_or(0).min(2000);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let life = guard.as_ref().filter(|life| life.number == number)?;
                    let now = Instant::now();
                    if !life.ended.is_empty() || now >= until {
                        return Some((200, report(life)));
                    }
                    guard = self.changed.wait_timeout(guard, until - now).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn run_start(&self, life: &mut Life, body: &Json) -> Option<Reply> {
        let task = body.get("task").str().to_owned();
        let run = body.get("run").u64()?;
        let spec = body.get("spec").str().to_owned();
        if life
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            life.extend(body);
            return Some((200, table([("clockMs", num(life.clock_ms()))]).to_string()));
        }
        let is_old = life
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest);
        if is_old || life.running.contains_key(&task) {
            life.extend(body);
            return Some(refusal(life, "old"));
        }
        if body.get("untilMs").u64()? <= life.clock_ms() {
            return Some(refusal(life, "late"));
        }
        let ticket = body.get("ticket").str();
        if let Some(tickets) = &self.tickets
            && !advice::is_valid(tickets, ticket, &task, &self.id)
        {
            return Some(refusal(life, "ticket"));
        }
        life.extend(body);
        let fills = spec.starts_with("fill=");
        let work = spec.split_once('=').and_then(|(_, ms)| ms.parse().ok());
        let work = work.map(Duration::from_millis);
        let filled = fills.then_some(Duration::ZERO);
        life.running.insert(
            task.clone(),
            Run {
                run,
                began: Instant::now(),
                work,
                filled,
                stop_at: None,
            },
        );
        self.record.add(Event::Began {
            worker: self.id.clone(),
            life: life.number,
            task,
            run,
        });
        Some((200, table([("clockMs", num(life.clock_ms()))]).to_string()))
    }
}

fn refusal(life: &Life, reason: &str) -> Reply {
    let body = table([("clockMs", num(life.clock_ms())), ("reason", text(reason))]);
    (409, body.to_string())
}

fn report(life: &Life) -> String {
    let running = life.running.iter().map(|(task, run)| {
        let percent = match run.work {
            Some(work) => run.worked(Instant::now()).as_millis() * 100 / work.as_millis().max(1),
            None => (run.began.elapsed().as_millis() / 2).min(100),
        };
        let percent = num(percent.min(100) as u64);
        Json::List(vec![
            text(task.clone()),
            num(run.run),
            text(""),
            percent,
            num(0),
        ])
    });
    let ended = life.ended.iter().take(500).map(|end| {
        let (task, how) = (text(end.task.clone()), text(end.how));
        Json::List(vec![num(end.number), task, num(end.run), how, text("")])
    });
    let body = table([
        ("clockMs", num(life.clock_ms())),
        ("born", num(life.born)),
        ("running", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ]);
    body.to_string()
}
