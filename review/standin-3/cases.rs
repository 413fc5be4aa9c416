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
        "failing-services" => failing_services(record, has_trouble),
        "waiting-gang" => waiting_gang(record, has_trouble),
        "lost-worker" => lost_worker(record, has_trouble),
        "overdue-job" => overdue_job(record, has_trouble),
        "large-job" => large_job(record, has_trouble),
        _ => Err(format!("no case {name}")),
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Builds a step from its numbers, and from fields that are true.
fn step(numbers: &[(&'static str, u64)], flags: &[&'static str]) -> Json {
    let numbers = numbers
        .iter()
        .map(|(name, number)| (*name, (*number).into()));
    let flags = flags.iter().map(|name| (*name, Json::Bool(true)));
    Json::object(numbers.chain(flags))
}

/// Tasks that last fail by themselves some time after each start. All workers are sound, and mostly free.
fn failing_services(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK])?;
    let spec = if has_trouble { "fail=12000" } else { "lasting" };
    let mut jobs = Vec::new();
    for _ in 0..3 {
        let tasks = step(
            &[
                ("count", 8),
                ("cpu", 8000),
                ("memMb", 500),
                ("maxPerServer", 1),
            ],
            &["longRunning"],
        );
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
    record.note(format!(
        "longest time since the last run of a task, with room for it: {gap:?}, task {task}"
    ));
    for id in &jobs {
        let failed = system.ended(id, "failed");
        record.note(format!(
            "job {id}: state {}, {failed} runs failed",
            system.state(&DESK, id)
        ));
    }
    system.record_log(&["workers by state"]);
    Ok((gap >= MAX_SERVICE_GAP)
        .then(|| format!("task {task} was not started again for {gap:?}, with room for it")))
}

/// A gang waits for more CPU than tasks that last leave free. Smaller jobs have room beside them.
fn waiting_gang(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK, NIGHT])?;
    let lasting = step(
        &[
            ("count", 8),
            ("cpu", 16_000),
            ("memMb", 500),
            ("maxPerServer", 1),
        ],
        &["longRunning"],
    );
    let lasting = system.submit(&DESK, "lasting", vec![lasting])?;
    system.wait_until("the tasks that last run", secs(10), |system| {
        system.running(&lasting) == 8
    })?;
    sleep(secs(2));
    let mut small = Vec::new();
    for number in 0..20 {
        if number == 10 && has_trouble {
            let gang = step(
                &[
                    ("count", 8),
                    ("cpu", 56_000),
                    ("memMb", 500),
                    ("estimateMs", 5000),
                ],
                &["gang"],
            );
            system.submit(&DESK, "ms=5000", vec![gang])?;
        }
        let queue = if number % 2 == 0 { &DESK } else { &NIGHT };
        let tasks = step(
            &[
                ("count", 2),
                ("cpu", 4000),
                ("memMb", 500),
                ("estimateMs", 500),
            ],
            &[],
        );
        small.push((queue, system.submit(queue, "ms=500", vec![tasks])?));
        sleep(Duration::from_millis(300));
    }
    sleep(FINISH);
    record.note("judged from here on");
    let (_, last) = small.last().ok_or("no job")?;
    let idle = system.longest_idle(last, 2, secs(30));
    for (queue, id) in &small {
        record.note(format!(
            "job {id}: state {}, {} of 2 tasks done",
            system.state(queue, id),
            system.done(id)
        ));
    }
    system.record_log(&["workers by state"]);
    Ok((idle >= MAX_IDLE)
        .then(|| format!("job {last} had nothing running for {idle:?}, with room for it")))
}

/// A worker of eight is lost for good under a task that lasts, and the owner is killed at that moment.
fn lost_worker(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK])?;
    let lasting = step(
        &[("count", 1), ("cpu", 2000), ("memMb", 500)],
        &["longRunning"],
    );
    let id = system.submit(&DESK, "lasting", vec![lasting])?;
    system.wait_until("the task runs", secs(10), |system| system.running(&id) == 1)?;
    sleep(secs(5));
    let worker = system.worker_of(&id).ok_or("the run has ended")?;
    let lost_at = Instant::now();
    worker.crash();
    if has_trouble {
        system.kill_leader()?;
    }
    system.wait_until("the task runs again", secs(40), |system| {
        system.running(&id) == 1
    })?;
    let gap = lost_at.elapsed();
    record.note(format!("the task had no run for {gap:?}"));
    system.record_log(&["cell taken", "run released"]);
    Ok((gap >= MAX_SERVICE_GAP)
        .then(|| format!("the task of job {id} had no run for {gap:?}, with room for it")))
}

/// A job that runs once a second for a day, handed in at the end of that day: all its occurrences are due at once.
fn overdue_job(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK, NIGHT])?;
    let small = || {
        vec![step(
            &[
                ("count", 2),
                ("cpu", 1000),
                ("memMb", 100),
                ("estimateMs", 500),
            ],
            &[],
        )]
    };
    let first = system.submit(&DESK, "ms=500", small())?;
    sleep(secs(2));
    let tasks = step(
        &[
            ("count", 1),
            ("cpu", 1000),
            ("memMb", 100),
            ("estimateMs", 500),
        ],
        &[],
    );
    let count = if has_trouble { 86_400 } else { 100 };
    let overdue = system.submit_timed(&NIGHT, "ms=500", vec![tasks], count)?;
    let began_at = Instant::now();
    while began_at.elapsed() < secs(10) {
        sleep(secs(2));
        let _ = system.submit(&DESK, "ms=500", small());
        record.note(format!(
            "memory of the processes in MB: {:?}",
            system.memory_mb()
        ));
    }
    sleep(FINISH);
    record.note("judged from here on");
    let idle = system.longest_idle(&overdue, count as usize, secs(20));
    record.note(format!(
        "job {overdue}: {} of {count} tasks done, longest time without a run {idle:?}",
        system.done(&overdue)
    ));
    record.note(format!(
        "memory of the processes in MB: {:?}",
        system.memory_mb()
    ));
    record.note(format!(
        "job {first}, which completed before, is asked for: {}",
        system.state(&DESK, &first)
    ));
    Ok((idle >= MAX_IDLE)
        .then(|| format!("job {overdue} had nothing running for {idle:?}, with room for it")))
}

/// A job of many small tasks, of a size that is accepted.
fn large_job(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut system = System::start(record.clone(), 8, &[DESK, NIGHT])?;
    let small = || {
        vec![step(
            &[
                ("count", 2),
                ("cpu", 100),
                ("memMb", 100),
                ("estimateMs", 500),
            ],
            &[],
        )]
    };
    let steps = if has_trouble { 16 } else { 1 };
    let steps = (0..steps).map(|_| {
        step(
            &[
                ("count", 4096),
                ("cpu", 1),
                ("memMb", 1),
                ("estimateMs", 3000),
            ],
            &[],
        )
    });
    let large = system.submit(&NIGHT, "ms=3000", steps.collect())?;
    let mut last = None;
    for _ in 0..10 {
        sleep(secs(1));
        last = system.submit(&DESK, "ms=500", small()).ok().or(last);
    }
    let job = last.ok_or("no small job was accepted")?;
    sleep(FINISH);
    record.note("judged from here on");
    let idle = system.longest_idle(&job, 2, secs(15));
    record.note(format!("{} runs and refused writes", record.details()));
    for (queue, id) in [(&DESK, &job), (&NIGHT, &large)] {
        record.note(format!(
            "job {id}: state {}, {} tasks running, {} done",
            system.state(queue, id),
            system.running(id),
            system.done(id)
        ));
    }
    Ok((idle >= MAX_IDLE)
        .then(|| format!("job {job} had nothing running for {idle:?}, with room for it")))
}
