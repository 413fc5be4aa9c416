//! The cases: what happens in each, and the check of its rule.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, object};
use crate::process::Processes;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Begun, Capacity, Workers};

const HOST: &str = "desk.example";
const PREFIX: &str = "/desk/";
const SERVICE: &str = "desk-workers";
const MAX_ATTEMPTS: u64 = 3;

/// Time that a client waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);

/// Worker of the size that the pages show.
const WORKER: Capacity = Capacity {
    cpu: 64_000,
    mem_mb: 131_072,
};

const CONTACT: Duration = Duration::from_millis(3000);
const CANCEL: Duration = Duration::from_millis(3000);

/// Time after the end of the traffic after which jobs are asked for, and time for which one may have nothing running.
const FINISH: Duration = Duration::from_millis(14_000 + 3000);

/// Result of a case: whether the rule was broken.
pub type Outcome = Result<bool, String>;

/// The platform, the workers and the processes under test.
struct Site {
    record: Arc<Record>,
    store: Store,
    workers: Workers,
    processes: Processes,
    is_troubled: bool,
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sleep(ms: u64) {
    thread::sleep(millis(ms));
}

impl Site {
    fn start(
        record: Arc<Record>,
        is_troubled: bool,
        workers: usize,
        work_time: fn(u64, u64) -> Duration,
    ) -> Result<Self, String> {
        let store = Store::default();
        let routes = [route("desk", PREFIX), route("other", "/other/")];
        store.put("op/config", &config(1, &routes).to_string());
        let pool = Workers::new(store.clone(), record.clone(), SERVICE, work_time);
        for _ in 0..workers {
            pool.add(WORKER);
        }
        let processes = Processes::start(3, &store)?;
        sleep(2000);
        store.reset_writes();
        sleep(1000);
        Ok(Self {
            record,
            store,
            workers: pool,
            processes,
            is_troubled,
        })
    }

    fn front(&self, process: usize) -> SocketAddr {
        self.processes.all[process].front
    }

    fn leader(&self) -> usize {
        self.store.leader()
    }

    /// Returns a process that does not seem to lead.
    fn follower(&self) -> usize {
        (self.leader() + 1) % self.processes.all.len()
    }

    fn call(
        &self,
        process: usize,
        method: &str,
        id: &str,
        body: &str,
        timeout: Duration,
    ) -> Answer {
        let deadline = timeout.as_millis().to_string();
        let headers = [
            ("host", HOST.to_owned()),
            ("content-type", "application/json".to_owned()),
            ("hornbeamshunt-deadline-ms", deadline),
        ];
        let path = format!("{PREFIX}{id}");
        self.record.line(format_args!(
            "client {method} {path} to process {process} {body}"
        ));
        let answer = http::call(self.front(process), method, &path, &headers, body, timeout);
        match &answer {
            Ok((status, text)) => {
                self.record
                    .line(format_args!("client {method} {path}: {status} {text}"));
            }
            Err(error) => self
                .record
                .line(format_args!("client {method} {path}: {error}")),
        }
        let (status, text) = answer.unwrap_or((0, String::new()));
        let state = Json::parse(&text).ok();
        Answer {
            status,
            state: state.map_or(String::new(), |state| state.get("state").text().to_owned()),
        }
    }

    /// Hands a job in, like a client that tries other processes.
    fn submit(&self, process: usize, id: &str, steps: &[Json]) -> Result<(), String> {
        let job = job(steps);
        for attempt in 0..4 {
            let process = (process + attempt) % self.processes.all.len();
            let answer = self.call(process, "POST", id, &job.to_string(), DEADLINE);
            if answer.status / 100 == 2 {
                return Ok(());
            }
            sleep(200);
        }
        Err(format!("job {id} was not accepted"))
    }

    fn state_of(&self, process: usize, id: &str) -> String {
        self.call(process, "GET", id, "", DEADLINE).state
    }

    /// Waits until a job is shown as ended. Returns its state.
    fn await_end(&self, id: &str, limit: Duration) -> String {
        let until = Instant::now() + limit;
        loop {
            let state = self.state_of(self.follower(), id);
            let is_ended = matches!(state.as_str(), "completed" | "failed" | "cancelled");
            if is_ended || Instant::now() >= until {
                return state;
            }
            sleep(700);
        }
    }

    fn report(&self, is_broken: bool, text: &str) -> Outcome {
        let word = if is_broken { "BROKEN" } else { "held" };
        self.record.line(format_args!("RULE {word}: {text}"));
        println!("{word}: {text}");
        Ok(is_broken)
    }
}

fn config(version: u64, routes: &[Json]) -> Json {
    object([
        ("version", version.into()),
        ("routes", routes.to_vec().into()),
        (
            "services",
            vec![object([
                ("name", SERVICE.into()),
                ("admissionCheck", false.into()),
            ])]
            .into(),
        ),
        ("limits", object([("maxBodyBytes", 262_144.into())])),
    ])
}

fn route(name: &str, prefix: &str) -> Json {
    object([
        ("name", name.into()),
        ("host", HOST.into()),
        ("prefix", prefix.into()),
        ("service", SERVICE.into()),
        ("priority", 1.into()),
        ("maxAttempts", MAX_ATTEMPTS.into()),
        ("stretch", 4.into()),
        ("targetDurationMs", 3000.into()),
    ])
}

fn job(steps: &[Json]) -> Json {
    object([("spec", "work".into()), ("steps", steps.to_vec().into())])
}

struct Answer {
    status: u16,
    state: String,
}

fn step(count: u64, cpu: u64, mem_mb: u64, estimate_ms: u64, after: &[u64]) -> Json {
    let after: Vec<Json> = after.iter().map(|number| (*number).into()).collect();
    object([
        ("count", count.into()),
        ("cpu", cpu.into()),
        ("memMb", mem_mb.into()),
        ("estimateMs", estimate_ms.into()),
        ("after", after.into()),
    ])
}

/// Returns the pairs of runs that break the rule TWICE: two at the same time, or a start after an end `done` that is
/// taken note of then or later.
fn runs_twice(begun: &[Begun]) -> Vec<String> {
    let mut found = Vec::new();
    for (index, later) in begun.iter().enumerate() {
        let earlier = begun[..index]
            .iter()
            .filter(|earlier| earlier.task == later.task);
        for earlier in earlier {
            let what = match &earlier.ended {
                None => "while it runs",
                Some(end) if end.at > later.at => "while it runs",
                Some(end) if end.how == "done" && end.is_noted => "after it is done",
                Some(_) => continue,
            };
            found.push(format!(
                "{} run={} begins on worker {} {what} as run={} on worker {}",
                later.task, later.run, later.worker, earlier.run, earlier.worker
            ));
        }
    }
    found
}

fn report_twice(site: &Site) -> Outcome {
    let twice = runs_twice(&site.workers.begun());
    for line in &twice {
        site.record.line(format_args!("TWICE {line}"));
    }
    let first = twice.first().map_or("", String::as_str);
    site.report(
        !twice.is_empty(),
        &format!("TWICE, {} pairs; {first}", twice.len()),
    )
}

/// A worker with many small tasks is cut off for 5.5 s, while more than 500 of them end.
pub fn many_ends(record: Arc<Record>, is_troubled: bool) -> Outcome {
    const TASKS: u64 = 800;
    // Without the cut about 160 tasks end a second.
    let site = Site::start(record, is_troubled, 6, |_, index| millis(6000 + 6 * index))?;
    let id = "5c0e7a21d94b3601";
    site.submit(site.follower(), id, &[step(TASKS, 70, 100, 8400, &[])])?;
    let until = Instant::now() + Duration::from_secs(12);
    while site.workers.begun().len() < TASKS as usize {
        if Instant::now() >= until {
            return Err("the tasks did not start in time".to_owned());
        }
        sleep(20);
    }
    let (worker, count) = site.workers.fullest();
    site.record
        .line(format_args!("worker {worker} has {count} of {TASKS} tasks"));
    if is_troubled {
        let first = site.workers.begun()[0].at;
        sleep(
            (first + millis(5800))
                .saturating_duration_since(Instant::now())
                .as_millis() as u64,
        );
        site.workers.cut(worker, millis(5500));
    }
    let state = site.await_end(id, Duration::from_secs(40));
    if state != "completed" {
        return Err(format!("the job is {state:?}"));
    }
    sleep(1500);
    report_twice(&site)
}

/// The answer to the write of a job is lost, and the store drops its history just after the client has cancelled it.
pub fn lost_cancellation(record: Arc<Record>, is_troubled: bool) -> Outcome {
    let site = Site::start(record, is_troubled, 6, |_, _| millis(8000))?;
    let id = "5c0e7a21d94b3602";
    let process = site.follower();
    if is_troubled {
        site.store.lose_answer(process, id);
        site.store.compact();
        site.record.line(format_args!(
            "TROUBLE watches hear nothing for 1 s, then the history is dropped"
        ));
        sleep(100);
    }
    site.submit(
        process,
        id,
        &[
            step(2, 2000, 1024, 8000, &[]),
            step(2, 2000, 1024, 8000, &[0]),
        ],
    )?;
    let answer = site.call(process, "DELETE", id, "", DEADLINE);
    if !(answer.status / 100 == 2 || answer.status == 410) {
        return Err("the cancellation was not acknowledged".to_owned());
    }
    let cancelled_at = Instant::now();
    if site.is_troubled && site.store.lost_answers() != 1 {
        return Err("no answer was lost".to_owned());
    }
    // Both disruptions are over after 1 s, so that all machines are in touch from this time on.
    let in_touch_from = cancelled_at + millis(1000) + CONTACT;
    sleep(22_000);
    site.state_of(process, id);
    let begun = site.workers.begun();
    let late = begun
        .iter()
        .filter(|begun| begun.at > (cancelled_at + CANCEL).max(in_touch_from));
    let late = late.count();
    site.report(late > 0, &format!("UNASKED, {late} starts over {} ms after the acknowledged cancelling, by machines in touch", CANCEL.as_millis()))
}

/// A member of a gang fails while the store is busy, the leader is killed, and the entries of the workers come back one
/// after the other.
pub fn stuck_gang(record: Arc<Record>, is_troubled: bool) -> Outcome {
    let mut site = Site::start(record, is_troubled, 8, |_, _| millis(12_000))?;
    let id = "5c0e7a21d94b3606";
    let step_name = format!("{id}.0.0");
    let (first, second) = (format!("{step_name}.0"), format!("{step_name}.1"));
    site.workers.add_gang(&step_name, 2);
    let mut gang = step(2, 40_000, 26_000, 12_000, &[]);
    if let Json::Object(fields) = &mut gang {
        fields.push(("gang".to_owned(), true.into()));
    }
    site.submit(site.follower(), id, &[gang])?;
    let until = Instant::now() + millis(5000);
    let placed = loop {
        if let (Some(first), Some(second)) = (
            site.workers.place_of(&first),
            site.workers.place_of(&second),
        ) {
            break (first.0, second.0);
        }
        if Instant::now() >= until {
            return Err("the gang did not start in time".to_owned());
        }
        sleep(10);
    };
    if placed.0 == placed.1 {
        return Err("both members run on one worker".to_owned());
    }
    // From here on the second member's worker reports 0.9 s after the others.
    let down_at = Instant::now() + millis(4000);
    for number in 0..site.workers.count() {
        let phase = if number == placed.1 { 1200 } else { 300 };
        site.workers
            .beat_at(number, down_at + millis(phase) - millis(3000));
    }
    sleep(
        down_at
            .saturating_duration_since(Instant::now())
            .as_millis() as u64,
    );
    let leader = site.leader();
    let down = millis(4500);
    if is_troubled {
        site.record.line(format_args!(
            "TROUBLE the store is busy for {} ms",
            down.as_millis()
        ));
        site.store.go_down(down);
    }
    site.workers.fail(&first, millis(1000));
    if is_troubled {
        sleep(4200);
        site.record.line(format_args!(
            "TROUBLE process {leader}, which leads, is killed"
        ));
        site.processes.signal(leader, "KILL");
        site.processes.restart(leader)?;
    }
    sleep(
        (down_at + down)
            .saturating_duration_since(Instant::now())
            .as_millis() as u64,
    );
    let calm_from = Instant::now() + CONTACT;
    let state = site.await_end(id, CONTACT + FINISH);
    let begun = site.workers.begun();
    let is_running = begun.iter().any(|begun| begun.ended.is_none());
    let started = begun
        .iter()
        .filter(|begun| begun.at > calm_from - CONTACT)
        .count();
    let is_stuck = state != "completed" && !is_running;
    site.report(
        is_stuck,
        &format!("LOST, the job is shown as {state:?} {} s after the store's return, {started} starts since, all workers empty: {}", (CONTACT + FINISH).as_secs(), !is_running),
    )
}

/// The operator removes a route, and the leader is restarted while an accepted job of that route is at work.
pub fn removed_route(record: Arc<Record>, is_troubled: bool) -> Outcome {
    let mut site = Site::start(record, is_troubled, 6, |_, _| millis(5000))?;
    let id = "5c0e7a21d94b3607";
    site.submit(
        site.follower(),
        id,
        &[
            step(2, 2000, 1024, 5000, &[]),
            step(2, 2000, 1024, 5000, &[0]),
        ],
    )?;
    sleep(1500);
    site.record.line(format_args!(
        "operator writes version 2, without the route of the job"
    ));
    site.store.put(
        "op/config",
        &config(2, &[route("other", "/other/")]).to_string(),
    );
    sleep(2000);
    let leader = site.leader();
    if is_troubled {
        site.record.line(format_args!(
            "TROUBLE process {leader}, which leads, gets SIGTERM and starts again"
        ));
        site.processes.signal(leader, "TERM");
        site.processes.restart(leader)?;
    }
    sleep((CONTACT + FINISH).as_millis() as u64);
    let begun = site.workers.begun();
    let done = |step: &str| {
        let name = format!("{id}.0.{step}.");
        let runs = begun.iter().filter(|begun| begun.task.starts_with(&name));
        runs.filter(|begun| begun.ended.as_ref().is_some_and(|end| end.how == "done"))
            .count()
    };
    let (first, second) = (done("0"), done("1"));
    if first != 2 {
        return Err(format!("{first} of 2 tasks of the first step are done"));
    }
    let is_running = begun.iter().any(|begun| begun.ended.is_none());
    site.report(
        second < 2 && !is_running,
        &format!(
            "LOST, {second} of 2 tasks of the second step are done, all workers empty: {}",
            !is_running
        ),
    )
}

/// A process stands still while it is handed a job. The client leaves, and cancels the job at another process.
pub fn cancelled_before(record: Arc<Record>, is_troubled: bool) -> Outcome {
    let site = Site::start(record, is_troubled, 6, |_, _| millis(8000))?;
    let id = "5c0e7a21d94b3605";
    let frozen = site.follower();
    let other = (frozen + 1) % site.processes.all.len();
    let freeze = millis(4000);
    let frozen_at = Instant::now();
    if is_troubled {
        site.record.line(format_args!(
            "TROUBLE process {frozen}, which does not lead, stands still for {} ms",
            freeze.as_millis()
        ));
        site.processes.signal(frozen, "STOP");
    }
    sleep(100);
    let first = step(2, 2000, 1024, 8000, &[]);
    let second = step(2, 2000, 1024, 8000, &[0]);
    let job = job(&[first, second]).to_string();
    // This client leaves within its objective, and makes sure that the job does not run.
    site.call(frozen, "POST", id, &job, millis(500));
    let answer = site.call(other, "DELETE", id, "", DEADLINE);
    if !(answer.status / 100 == 2 || answer.status == 410) {
        return Err("the cancellation was not acknowledged".to_owned());
    }
    let cancelled_at = Instant::now();
    if is_troubled {
        let left = (frozen_at + freeze).saturating_duration_since(Instant::now());
        thread::sleep(left);
        site.processes.signal(frozen, "CONT");
        site.record
            .line(format_args!("TROUBLE process {frozen} goes on"));
    }
    sleep(22_000);
    site.state_of(other, id);
    let begun = site.workers.begun();
    let late = begun
        .iter()
        .filter(|begun| begun.at > cancelled_at + CANCEL);
    let late = late.count();
    site.report(
        late > 0,
        &format!(
            "UNASKED, {late} starts over {} ms after the acknowledged cancelling, by a process that was in touch all the while",
            CANCEL.as_millis()
        ),
    )
}
