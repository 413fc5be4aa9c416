//! The cases.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::Duration;

use crate::advice::{self, Tickets};
use crate::fleet::Fleet;
use crate::http::{Server, call};
use crate::json::{Json, num, table, text};
use crate::proxy::Proxy;
use crate::record::{Event, Record};
use crate::store::Store;
use crate::worker::{FILLING_CPU, LASTING_CPU, Worker};

const HOST: &str = "desk.example";
const CLIENT_WAIT: Duration = Duration::from_secs(3);

struct World {
    store: Arc<Store>,
    workers: Vec<Arc<Worker>>,
    fleet: Fleet,
    /// Tickets that starts have to carry, if the queue has advice.
    tickets: Option<Tickets>,
    /// The machines' ways to the store.
    proxies: Vec<Proxy>,
    record: Record,
    _store_server: Server,
}

/// A configuration with these queues, by name and prefix. With `advised`, their policy allows only some workers.
fn config(version: u64, routes: &[(&str, &str)], advised: bool) -> Json {
    let advice = table([
        ("decideMs", Json::Number(advice::DECIDE_MS)),
        ("periodMs", Json::Number(advice::PERIOD_MS)),
        ("validMs", num(advice::VALID_MS)),
    ]);
    let advice = if advised { advice } else { Json::Null };
    let routes = routes.iter().map(|(name, prefix)| {
        table([
            ("name", text(*name)),
            ("host", text(HOST)),
            ("prefix", text(*prefix)),
            ("service", text("desk")),
            ("priority", num(1)),
            ("maxAttempts", num(3)),
            ("stretch", num(2)),
            ("targetDurationMs", num(1000)),
            ("advice", advice.clone()),
        ])
    });
    table([
        ("version", num(version)),
        ("routes", Json::List(routes.collect())),
        (
            "services",
            Json::List(vec![table([
                ("name", text("desk")),
                ("admissionCheck", Json::Bool(false)),
            ])]),
        ),
        ("limits", table([("maxBodyBytes", num(262_144))])),
    ])
}

impl World {
    /// Starts the stand-ins and the machines. `share` is the share of workers that the queue's policy allows, if it has
    /// one.
    fn new(machines: usize, workers: usize, cpu: u64, share: Option<f64>) -> Option<Self> {
        let tickets = Tickets::default();
        let used = share.map(|_| tickets.clone());
        let advisers = (0..machines).map(|_| advice::start(share.unwrap_or(1.0), tickets.clone()));
        let advisers = advisers.collect::<Option<Vec<_>>>()?;
        let record = Record::new();
        let store = Store::new();
        let handler = store.clone();
        let any = "127.0.0.1:0".parse().ok()?;
        let server = Server::start(any, move |request| handler.handle(&request)).ok()?;
        store.write(
            "op/config",
            &config(1, &[("desk", "/desk/")], share.is_some()),
        );
        let workers = (0..workers)
            .map(|n| Worker::start(n, cpu, "desk", &store, &record, used.clone()))
            .collect();
        let proxies = (0..machines).map(|_| Proxy::start(server.address).ok());
        let proxies = proxies.collect::<Option<Vec<Proxy>>>()?;
        let way = |number: usize| proxies[number].address.to_string();
        let mut fleet = Fleet::new(machines, way, |number| {
            share?;
            advisers.get(number).map(|address| address.to_string())
        });
        if !fleet.start_all() {
            println!("the machines are not ready");
            return None;
        }
        // The owner's first contact with all workers.
        sleep(Duration::from_millis(1500));
        record.note("all machines are ready");
        Some(Self {
            store,
            workers,
            fleet,
            tickets: used,
            proxies,
            record,
            _store_server: server,
        })
    }

    fn finish(&self, path: &str, broken: &[String]) -> i32 {
        for line in broken {
            self.record.note(format!("BROKEN {line}"));
        }
        if let Err(error) = self.record.save(path) {
            println!("writing {path}: {error}");
            return 2;
        }
        i32::from(!broken.is_empty())
    }
}

fn request(
    record: &Record,
    fronts: &[String],
    machine: usize,
    method: &'static str,
    job: &str,
    body: &str,
) -> (u16, String) {
    let sent_ms = record.now_ms();
    let path = format!("/desk/{job}");
    let (status, reply) = call(&fronts[machine], method, &path, HOST, body, CLIENT_WAIT);
    let event = Event::Call {
        machine,
        method,
        job: job.to_owned(),
        sent_ms,
        status,
        body: reply.clone(),
    };
    record.add(event);
    (status, reply)
}

/// Hands a job in until it is accepted, at one machine after the other. Returns whether it was.
fn submit(record: &Record, fronts: &[String], first: usize, job: &str, body: &str) -> bool {
    (0..5).any(|attempt| {
        let machine = (first + attempt) % fronts.len();
        let (status, _) = request(record, fronts, machine, "POST", job, body);
        (200..300).contains(&status) || {
            sleep(Duration::from_millis(200));
            false
        }
    })
}

fn state(record: &Record, fronts: &[String], machine: usize, job: &str) -> String {
    let (status, body) = request(record, fronts, machine, "GET", job, "");
    match status {
        200 => Json::parse(&body).map_or(String::new(), |body| body.get("state").str().to_owned()),
        status => status.to_string(),
    }
}

fn job(spec: &str, count: u64, cpu: u64, lasts: bool) -> String {
    let step = table([
        ("fills", Json::Bool(spec.starts_with("fill="))),
        ("count", num(count)),
        ("cpu", num(cpu)),
        ("memMb", num(256)),
        ("estimateMs", num(300)),
        ("longRunning", Json::Bool(lasts)),
    ]);
    table([("spec", text(spec)), ("steps", Json::List(vec![step]))]).to_string()
}

/// TWICE: starts after a run has ended `done`, if that end was taken note of.
fn starts_after_done(record: &Record) -> Vec<String> {
    let events = record.events();
    let mut done: HashMap<(String, u64, String, u32), u64> = HashMap::new();
    let mut noted: HashMap<(String, u64, String, u32), u64> = HashMap::new();
    for (at, event) in &events {
        match event {
            Event::Ended {
                worker,
                life,
                task,
                run,
                how: "done",
                ..
            } => {
                done.insert((task.clone(), *run, worker.clone(), *life), *at);
            }
            Event::Noted {
                worker,
                life,
                task,
                run,
                lapsed: false,
                ..
            } => {
                noted.insert((task.clone(), *run, worker.clone(), *life), *at);
            }
            _ => {}
        }
    }
    let mut broken = Vec::new();
    for (at, event) in &events {
        let Event::Began {
            worker, task, run, ..
        } = event
        else {
            continue;
        };
        for (end, done_at) in &done {
            if end.0 == *task
                && done_at < at
                && let Some(noted_at) = noted.get(end)
            {
                broken.push(format!(
                    "TWICE {task}: run {} ended done on {} (life {}) at {done_at}, ackCursor reached that end at \
                     {noted_at}, and run {run} began on {worker} at {at}",
                    end.1, end.2, end.3
                ));
            }
        }
    }
    broken
}

/// Workers crash and start again at once under their ids, one after the other, while short jobs come.
pub fn restart(trouble: bool, path: &str) -> i32 {
    let Some(world) = World::new(3, 8, 64_000, None) else {
        return 2;
    };
    let fronts: Vec<String> = world
        .fleet
        .machines
        .iter()
        .map(|m| m.front.clone())
        .collect();
    let record = world.record.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..3)
        .map(|client| {
            let (record, fronts, stop, next) =
                (record.clone(), fronts.clone(), stop.clone(), next.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", 0x5c0e_7a21_0000_0000 + number);
                    let body = job(&format!("work={}", 50 + number % 5 * 10), 48, 2000, false);
                    submit(&record, &fronts, client % fronts.len(), &id, &body);
                    sleep(Duration::from_millis(400));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(3));
    for _ in 0..20 {
        if trouble {
            let starting = || world.workers.iter().find(|worker| worker.is_starting());
            let worker = loop {
                match starting() {
                    Some(worker) => break worker,
                    None => sleep(Duration::from_millis(1)),
                }
            };
            worker.crash();
            sleep(Duration::from_millis(80));
            worker.up();
        }
        sleep(Duration::from_millis(2800));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    sleep(Duration::from_secs(4));
    world.finish(path, &starts_after_done(&record))
}

/// Hands in one lasting job for each worker, whose only task fills the worker, and waits until all are at work.
fn fill_workers(world: &World, fronts: &[String], count: u64) -> Option<Vec<String>> {
    let record = &world.record;
    let ids: Vec<String> = (0..count)
        .map(|n| format!("{:016x}", 0x1a57_0000_0000_0001 + n))
        .collect();
    let body = job("lasts", 1, LASTING_CPU, true);
    let accepted = |(n, id): (usize, &String)| submit(record, fronts, n % fronts.len(), id, &body);
    if !ids.iter().enumerate().all(accepted) {
        return None;
    }
    let started = || {
        world
            .workers
            .iter()
            .map(|worker| worker.runs().len() as u64)
            .sum::<u64>()
    };
    for _ in 0..100 {
        if started() == count {
            return Some(ids);
        }
        sleep(Duration::from_millis(100));
    }
    None
}

/// LOST for tasks that last: from 6 s after its last run, for 3 s, a task has no run, while the 3 s and the 4 s before
/// them are without a disruption. Capacity is free all the while.
fn idle_lasting_tasks(record: &Record, ids: &[String], until_ms: u64) -> Vec<String> {
    let events = record.events();
    let disruptions: Vec<u64> = events
        .iter()
        .filter(|(_, event)| matches!(event, Event::Crashed { .. } | Event::Up { .. }))
        .map(|(at, _)| *at)
        .collect();
    let mut broken = Vec::new();
    for id in ids {
        let task = format!("{id}.0.0.0");
        let mut idle_since = None;
        let mut spans = Vec::new();
        for (at, event) in &events {
            match event {
                Event::Began { task: begun, .. } if *begun == task => {
                    spans.extend(idle_since.take().map(|since| (since, *at)));
                }
                Event::Ended { task: ended, .. } if *ended == task => idle_since = Some(*at),
                Event::Crashed { runs, .. } if runs.iter().any(|(run, _)| *run == task) => {
                    idle_since = Some(*at);
                }
                _ => {}
            }
        }
        spans.extend(idle_since.map(|since| (since, until_ms)));
        for (since, to) in spans {
            let is_calm = |from: u64| {
                !disruptions
                    .iter()
                    .any(|at| (from.saturating_sub(4000)..from + 3000).contains(at))
            };
            let window = (since + 6000..to.saturating_sub(3000)).find(|from| is_calm(*from));
            if let Some(from) = window {
                broken.push(format!(
                    "LOST {task} has no run from {since} to {to}, which includes 3 s from {from} with 4 calm seconds before"
                ));
            }
        }
    }
    broken
}

/// Two of twelve workers are lost for good, 10 s apart, and each time the machine starts again as another worker.
/// Both had the same task, that lasts; each other worker has room for it.
pub fn hold(trouble: bool, path: &str) -> i32 {
    let Some(mut world) = World::new(3, 12, 64_000, None) else {
        return 2;
    };
    let fronts: Vec<String> = world
        .fleet
        .machines
        .iter()
        .map(|m| m.front.clone())
        .collect();
    let record = world.record.clone();
    let Some(ids) = fill_workers(&world, &fronts, 4) else {
        return 2;
    };
    let task = format!("{}.0.0.0", ids[1]);
    for _ in 0..2 {
        sleep(Duration::from_millis(1500));
        let runs_task = |worker: &&Arc<Worker>| worker.runs().contains(&task);
        let Some(worker) = world.workers.iter().find(runs_task).cloned() else {
            return 2;
        };
        if trouble {
            worker.crash();
            sleep(Duration::from_millis(500));
            let number = world.workers.len();
            let another = Worker::start(number, 64_000, "desk", &world.store, &record, None);
            world.workers.push(another);
        }
        // The lease of the lost worker ends, and the task starts on another one.
        for _ in 0..120 {
            if world
                .workers
                .iter()
                .any(|worker| worker.runs().contains(&task))
            {
                break;
            }
            sleep(Duration::from_millis(100));
        }
    }
    sleep(Duration::from_millis(16_000));
    let until_ms = record.now_ms();
    for (number, id) in ids.iter().enumerate() {
        state(&record, &fronts, number % fronts.len(), id);
    }
    world.finish(path, &idle_lasting_tasks(&record, &ids, until_ms))
}

/// The open connections to the store fall silent, and a second later a route is added.
pub fn silent(trouble: bool, path: &str) -> i32 {
    let Some(world) = World::new(5, 8, 64_000, None) else {
        return 2;
    };
    let fronts: Vec<String> = world
        .fleet
        .machines
        .iter()
        .map(|m| m.front.clone())
        .collect();
    let record = world.record.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..5)
        .map(|client| {
            let (record, fronts, stop, next) =
                (record.clone(), fronts.clone(), stop.clone(), next.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", 0x5c0e_7a21_0000_0000 + number);
                    submit(
                        &record,
                        &fronts,
                        client % fronts.len(),
                        &id,
                        &job("work=200", 2, 2000, false),
                    );
                    sleep(Duration::from_millis(400));
                }
            })
        })
        .collect();
    sleep(Duration::from_millis(5000));
    if trouble {
        let open: Vec<usize> = world.proxies.iter().map(Proxy::silence).collect();
        record.note(format!(
            "the open connections to the store fall silent: {open:?}"
        ));
    }
    let silent_ms = record.now_ms();
    sleep(Duration::from_millis(1100));
    world.store.write(
        "op/config",
        &config(2, &[("desk", "/desk/"), ("more", "/more/")], false),
    );
    let acked_ms = record.now_ms();
    record.note("version 2 is acknowledged");
    let judged_ms = (silent_ms + 3000).max(acked_ms + 2000) + 50;
    let mut broken = Vec::new();
    for _ in 0..110 {
        for (machine, front) in fronts.iter().enumerate() {
            let sent_ms = record.now_ms();
            let (status, body) = call(front, "GET", "/more/", HOST, "", Duration::from_millis(500));
            record.add(Event::Call {
                machine,
                method: "GET",
                job: "(count of /more/)".to_owned(),
                sent_ms,
                status,
                body,
            });
            if status == 404 && sent_ms > judged_ms {
                broken.push(format!(
                    "CONFIG machine {machine} refuses /more/ with 404 at {sent_ms}, {} ms after the acknowledgement and \
                     {} ms after the silence",
                    sent_ms - acked_ms,
                    sent_ms - silent_ms
                ));
            }
        }
        sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    world.finish(path, &broken)
}

/// Filling tasks get the few cores that lasting ones leave. Then, one after the other, lasting tasks fail by themselves.
pub fn filled(trouble: bool, path: &str) -> i32 {
    let Some(world) = World::new(3, 8, 64_000, None) else {
        return 2;
    };
    let fronts: Vec<String> = world
        .fleet
        .machines
        .iter()
        .map(|m| m.front.clone())
        .collect();
    let record = world.record.clone();
    let Some(ids) = fill_workers(&world, &fronts, 8) else {
        return 2;
    };
    for number in 0..4 {
        let id = format!("{:016x}", 0xf111_0000_0000_0001u64 + number);
        let body = job("fill=20000", 8, FILLING_CPU, false);
        if !submit(&record, &fronts, number as usize % fronts.len(), &id, &body) {
            return 2;
        }
    }
    sleep(Duration::from_secs(20));
    for id in &ids[..4] {
        let task = format!("{id}.0.0.0");
        if trouble {
            let failed = world.workers.iter().any(|worker| worker.fail(&task));
            record.note(format!("{task} fails by itself: {failed}"));
        }
        sleep(Duration::from_secs(17));
    }
    let until_ms = record.now_ms();
    world.finish(path, &idle_lasting_tasks(&record, &ids, until_ms))
}

/// A worker with sixteen lasting tasks is lost, and then another one. Each time the machine starts again as another
/// worker. The queue's policy allows a third of the workers.
pub fn advised(trouble: bool, path: &str) -> i32 {
    let Some(mut world) = World::new(3, 16, 64_000, Some(0.35)) else {
        return 2;
    };
    let fronts: Vec<String> = world
        .fleet
        .machines
        .iter()
        .map(|m| m.front.clone())
        .collect();
    let record = world.record.clone();
    let ids: Vec<String> = (0..80)
        .map(|n| format!("{:016x}", 0x1a57_0000_0000_0001u64 + n))
        .collect();
    let body = job("lasts", 1, 4000, true);
    for (number, id) in ids.iter().enumerate() {
        if !submit(&record, &fronts, number % fronts.len(), id, &body) {
            return 2;
        }
        sleep(Duration::from_millis(50));
    }
    let running = || {
        world
            .workers
            .iter()
            .map(|worker| worker.runs().len())
            .sum::<usize>()
    };
    for _ in 0..300 {
        if running() == ids.len() {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    if running() < ids.len() {
        return 2;
    }
    sleep(Duration::from_secs(4));
    for _ in 0..2 {
        let fullest = world
            .workers
            .iter()
            .max_by_key(|worker| worker.runs().len());
        let Some(worker) = fullest.cloned() else {
            return 2;
        };
        if trouble {
            worker.crash();
        }
        sleep(Duration::from_millis(500));
        if trouble {
            let number = world.workers.len();
            let tickets = world.tickets.clone();
            let another = Worker::start(number, 64_000, "desk", &world.store, &record, tickets);
            world.workers.push(another);
        }
        sleep(Duration::from_millis(18_000));
    }
    let until_ms = record.now_ms();
    world.finish(path, &idle_lasting_tasks(&record, &ids, until_ms))
}
