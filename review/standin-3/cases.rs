//! The cases.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::record::Record;
use crate::system::{Queue, System};

/// The rule was broken, and how; or it held; or the case could not run.
type Verdict = Result<Option<String>, String>;

const DESK: Queue = Queue {
    name: "r-desk",
    prefix: "/desk/",
    priority: 1,
};

const NIGHT: Queue = Queue {
    name: "r-night",
    prefix: "/night/",
    priority: 2,
};

/// Time after the end of the traffic from which jobs are judged, as `finish_s` in the settings.
const FINISH: Duration = Duration::from_secs(14);

/// Time without a run of a job after which the rule is broken.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// Time after the last run of a task that lasts after which the rule is broken: 3 s that begin 6 s after it.
const MAX_SERVICE_GAP: Duration = Duration::from_secs(9);

pub fn run(name: &str, record: Arc<Record>, has_trouble: bool) -> Verdict {
    match name {
        "long-tasks" => long_tasks(record, has_trouble),
        "dropped-queue" => dropped_queue(record, has_trouble),
        "crashing-worker" => crashing_worker(record, has_trouble),
        "failing-services" => failing_services(record, has_trouble),
        "waiting-gang" => waiting_gang(record, has_trouble),
        "large-job" => large_job(record, has_trouble),
        _ => Err(format!("no case {name}")),
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Builds a step from its numbers, and from fields that are true.
fn step(numbers: &[(&'static str, u64)], flags: &[&'static str]) -> Json {
    let numbers = numbers.iter().map(|(name, number)| (*name, (*number).into()));
    let flags = flags.iter().map(|name| (*name, Json::Bool(true)));
    Json::object(numbers.chain(flags))
}

/// A job whose tasks take ten times as long as the others of their kind, on the three workers that have its label.
fn long_tasks(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK])?;
    let length = if has_trouble { "ms=400000" } else { "ms=40000" };
    let mut tasks = step(&[("count", 1), ("cpu", 18_000), ("memMb", 500), ("estimateMs", 40_000)], &[]);
    if let Json::Object(fields) = &mut tasks {
        fields.insert("requires".to_owned(), "b".into());
    }
    let long = system.submit(&DESK, length, vec![tasks])?;
    for _ in 0..19 {
        sleep(Duration::from_millis(400));
        let small = step(&[("count", 2), ("cpu", 4000), ("memMb", 500), ("estimateMs", 500)], &[]);
        system.submit(&DESK, "ms=500", vec![small])?;
    }
    sleep(FINISH);
    record.note("judged from here on");
    let idle = system.longest_idle(&long, 1, secs(60));
    let stopped = system.ended(&long, "stopped");
    record.note(format!(
        "job {long}: state {}, {stopped} runs stopped, {} done, longest time without a run {idle:?}",
        system.state(&DESK, &long),
        system.done(&long)
    ));
    Ok((idle >= MAX_IDLE).then(|| format!("job {long} had nothing running for {idle:?}, with room for it")))
}

/// The queue of an accepted job is dropped, and the owner is killed.
fn dropped_queue(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK, NIGHT])?;
    let first = step(&[("count", 4), ("cpu", 2000), ("memMb", 500), ("estimateMs", 7000)], &[]);
    let mut second = step(&[("count", 4), ("cpu", 2000), ("memMb", 500), ("estimateMs", 7000)], &[]);
    if let Json::Object(fields) = &mut second {
        fields.insert("after".to_owned(), Json::List(vec![0.into()]));
    }
    let id = system.submit(&NIGHT, "ms=7000", vec![first, second])?;
    system.wait_until("the first step runs", secs(10), |system| system.running(&id) == 4)?;
    system.configure(&[DESK]);
    sleep(secs(3));
    if has_trouble {
        system.kill_leader()?;
    }
    sleep(FINISH);
    record.note("judged from here on");
    let idle = system.longest_idle(&id, 8, secs(20));
    record.note(format!("job {id}: {} of 8 tasks done, longest time without a run {idle:?}", system.done(&id)));
    if system.done(&id) < 8 {
        system.configure(&[DESK, NIGHT]);
        sleep(secs(12));
        record.note(format!("job {id} with its queue back: {} of 8 tasks done, state {}", system.done(&id), system.state(&NIGHT, &id)));
    }
    Ok((idle >= MAX_IDLE).then(|| format!("job {id} had nothing running for {idle:?}, with room for it")))
}

/// One worker of eight crashes and starts again, five times. The only room for a job is there.
fn crashing_worker(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK, NIGHT])?;
    let filler = step(&[("count", 7), ("cpu", 60_000), ("memMb", 500), ("maxPerServer", 1)], &["longRunning"]);
    let filler = system.submit(&NIGHT, "lasting", vec![filler])?;
    system.wait_until("seven workers are busy", secs(10), |system| system.running(&filler) == 7)?;
    let id = system.submit(&DESK, "ms=6000", vec![step(&[("count", 1), ("cpu", 20_000), ("memMb", 500), ("estimateMs", 6000)], &[])])?;
    for _ in 0..5 {
        let has_ended = |system: &System| system.state(&DESK, &id) == "failed";
        system.wait_until("a task of the job runs", secs(20), |system| system.running(&id) == 1 || has_ended(system))?;
        if !has_trouble || has_ended(&system) {
            break;
        }
        sleep(secs(2));
        let worker = system.worker_of(&id).ok_or("the run has ended")?;
        worker.crash();
        sleep(secs(1));
        worker.boot();
    }
    let ends = ["completed", "failed"];
    system.wait_until("the job has ended", secs(30), |system| ends.contains(&system.state(&DESK, &id).as_str()))?;
    let state = system.state(&DESK, &id);
    let failed = system.ended(&id, "failed");
    let crashed = system.ended(&id, "crashed");
    record.note(format!("job {id} is shown as {state}; {failed} of its runs ended failed, {crashed} with their worker"));
    system.record_log(&["crashed under", "suspected", "given up"]);
    Ok((state == "failed" && failed == 0).then(|| format!("job {id} is shown as failed, and no run of it ended failed")))
}

/// Tasks that last fail by themselves some time after each start. All workers are sound, and mostly free.
fn failing_services(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK])?;
    let spec = if has_trouble { "fail=12000" } else { "lasting" };
    let mut jobs = Vec::new();
    for _ in 0..3 {
        let tasks = step(&[("count", 8), ("cpu", 8000), ("memMb", 500), ("maxPerServer", 1)], &["longRunning"]);
        jobs.push(system.submit(&DESK, spec, vec![tasks])?);
        sleep(secs(4));
    }
    let began_at = Instant::now();
    let mut longest = (Duration::ZERO, String::new());
    while began_at.elapsed() < secs(75) {
        for id in &jobs {
            for (task, gap) in system.gaps(id) {
                if system.has_ample_room(8000) && gap > longest.0 {
                    longest = (gap, task);
                }
            }
        }
        sleep(Duration::from_millis(20));
    }
    let (gap, task) = longest;
    record.note(format!("longest time since the last run of a task, with room for it: {gap:?}, task {task}"));
    for id in &jobs {
        let failed = system.ended(id, "failed");
        record.note(format!("job {id}: state {}, {failed} runs failed", system.state(&DESK, id)));
    }
    system.record_log(&["workers by state"]);
    Ok((gap >= MAX_SERVICE_GAP).then(|| format!("task {task} was not started again for {gap:?}, with room for it")))
}

/// A gang waits for more CPU than tasks that last leave free. Smaller jobs have room beside them.
fn waiting_gang(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK, NIGHT])?;
    let lasting = step(&[("count", 8), ("cpu", 16_000), ("memMb", 500), ("maxPerServer", 1)], &["longRunning"]);
    let lasting = system.submit(&DESK, "lasting", vec![lasting])?;
    system.wait_until("the tasks that last run", secs(10), |system| system.running(&lasting) == 8)?;
    sleep(secs(2));
    let mut small = Vec::new();
    for number in 0..20 {
        if number == 10 && has_trouble {
            let gang = step(&[("count", 8), ("cpu", 56_000), ("memMb", 500), ("estimateMs", 5000)], &["gang"]);
            system.submit(&DESK, "ms=5000", vec![gang])?;
        }
        let queue = if number % 2 == 0 { &DESK } else { &NIGHT };
        let tasks = step(&[("count", 2), ("cpu", 4000), ("memMb", 500), ("estimateMs", 500)], &[]);
        small.push((queue, system.submit(queue, "ms=500", vec![tasks])?));
        sleep(Duration::from_millis(300));
    }
    sleep(FINISH);
    record.note("judged from here on");
    let (_, last) = small.last().ok_or("no job")?;
    let idle = system.longest_idle(last, 2, secs(30));
    for (queue, id) in &small {
        record.note(format!("job {id}: state {}, {} of 2 tasks done", system.state(queue, id), system.done(id)));
    }
    system.record_log(&["workers by state"]);
    Ok((idle >= MAX_IDLE).then(|| format!("job {last} had nothing running for {idle:?}, with room for it")))
}

/// A job of many small tasks, of a size that is accepted.
fn large_job(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK, NIGHT])?;
    let small = || vec![step(&[("count", 2), ("cpu", 100), ("memMb", 100), ("estimateMs", 500)], &[])];
    let steps = if has_trouble { 12 } else { 2 };
    let steps = (0..steps).map(|_| step(&[("count", 4096), ("cpu", 8), ("memMb", 1), ("estimateMs", 40_000)], &[]));
    let large = system.submit(&NIGHT, "ms=40000", steps.collect())?;
    let mut last = None;
    for _ in 0..20 {
        sleep(secs(2));
        last = system.submit(&DESK, "ms=500", small()).ok().or(last);
    }
    let job = last.ok_or("no small job was accepted")?;
    sleep(FINISH);
    record.note("judged from here on");
    let idle = system.longest_idle(&job, 2, secs(15));
    record.note(format!("{} runs and refused writes", record.details()));
    for (queue, id) in [(&DESK, &job), (&NIGHT, &large)] {
        record.note(format!("job {id}: state {}, {} tasks running, {} done", system.state(queue, id), system.running(id), system.done(id)));
    }
    Ok((idle >= MAX_IDLE).then(|| format!("job {job} had nothing running for {idle:?}, with room for it")))
}
