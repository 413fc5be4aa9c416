//! Orders by the thousand, as a job of many small tasks causes them.

use std::time::Duration;

use hs_cell::{CellOptions, JobId, JobSpec, StepSpec};
use hs_control::{AccessOptions, CancelReply, SubmitReply, VmLimits};
use hs_wire::Resources;
use tokio::time::sleep;

use crate::captured_log;
use crate::platform::{CallKind, FakePlatform, WorkerBehaviour};
use crate::process::{ELECTION_TIME, Process, job_spec};

/// Number of tasks of the large job, which all fit on the worker.
const TASKS: u16 = 2000;

/// Most orders to a worker that may be sent at a time.
const MAX_ORDERS: usize = 8;

/// Time in which a job is accepted, and its start sent.
const START_TIME: Duration = Duration::from_millis(200);

const LARGE: JobId = JobId(1);
const SMALL: JobId = JobId(2);

fn large_spec(gang: bool) -> JobSpec {
    let step = StepSpec {
        count: TASKS,
        gang,
        need: Resources {
            cpu_milli: 1,
            ..Resources::ZERO
        },
        estimate_ms: 3_000,
        ..StepSpec::default()
    };
    JobSpec {
        steps: vec![step],
        ..job_spec()
    }
}

async fn submit(process: &Process, id: JobId, spec: JobSpec) {
    let accepted = process.control.submit(id, spec, START_TIME).await;
    assert_eq!(accepted, SubmitReply::Accepted);
}

/// Starts a process whose worker behaves in this way once it has answered a renewal.
async fn start(platform: &FakePlatform, behaviour: WorkerBehaviour) -> Process {
    platform.state().keeps_started_runs = true;
    platform.add_worker("w1", 64_000, WorkerBehaviour::Answers);
    let process = Process::start(platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    platform.set_behaviour("w1", behaviour);
    process
}

/// Returns whether a run of a job is reported by the worker.
fn has_started(platform: &FakePlatform, job: JobId) -> bool {
    let runs = platform.reported_runs("w1");
    runs.iter().any(|run| run.task.job() == job)
}

/// Guards against a connection for each of thousands of starts that have waited for more than 40 ms, which takes all
/// descriptors of the process.
#[tokio::test(start_paused = true)]
async fn starts_open_few_connections() {
    // A process whose handle is dropped would not let the paused time go on.
    let mut processes = Vec::new();
    for behaviour in [WorkerBehaviour::Answers, WorkerBehaviour::IgnoresOrders] {
        let platform = FakePlatform::default();
        let process = start(&platform, behaviour).await;
        submit(&process, LARGE, large_spec(false)).await;
        sleep(Duration::from_secs(3)).await;
        let most = platform.state().max_orders;
        assert!((1..=MAX_ORDERS).contains(&most), "{behaviour:?}: {most}");
        processes.push(process);
    }
}

/// Guards against links that each keep to their own bound, and take all descriptors of the process together.
#[tokio::test(start_paused = true)]
async fn links_share_the_descriptors_of_the_process() {
    const WORKERS: usize = 4;
    // An eighth of them is for connections beside the first one of each worker.
    const MAX_FDS: usize = 32;
    let platform = FakePlatform::default();
    for number in 0..WORKERS {
        platform.add_worker(&format!("w{number}"), 200, WorkerBehaviour::Answers);
    }
    let limits = VmLimits {
        max_fds: Some(MAX_FDS),
        ..VmLimits::default()
    };
    let (access, cell) = (AccessOptions::default(), CellOptions::default());
    let process = Process::start_limited(&platform, access, cell, limits).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    for number in 0..WORKERS {
        platform.set_behaviour(&format!("w{number}"), WorkerBehaviour::IgnoresOrders);
    }
    submit(&process, LARGE, large_spec(false)).await;
    sleep(Duration::from_secs(1)).await;
    let most = platform.state().max_orders;
    let further = MAX_FDS / 8;
    assert!((WORKERS..=WORKERS + further).contains(&most), "{most}");
}

/// Guards against a log in which a job of many tasks leaves no room for the lines of others.
#[tokio::test(start_paused = true)]
async fn lines_about_the_runs_of_a_job_are_bounded() {
    const JOB: JobId = JobId(0x5eed_0000_0000_0001);
    captured_log::capture();
    let platform = FakePlatform::default();
    let process = start(&platform, WorkerBehaviour::Answers).await;
    submit(&process, JOB, large_spec(false)).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(platform.reported_runs("w1").len(), usize::from(TASKS));
    let lines = captured_log::lines_with(&format!("E8041 start sent task={JOB}"));
    let seconds = 3;
    assert!(
        (100..=100 * (seconds + 1)).contains(&lines.len()),
        "{}",
        lines.len()
    );
    let left_out = lines.iter().any(|line| line.contains("left_out="));
    assert!(left_out, "no line says that others were left out");
}

/// Guards against a start that waits behind all tasks of a large job, which were given out at once, or behind all members of a
/// gang.
#[tokio::test(start_paused = true)]
async fn a_start_overtakes_those_of_a_large_job() {
    let mut processes = Vec::new();
    for gang in [false, true] {
        let platform = FakePlatform::default();
        let process = start(&platform, WorkerBehaviour::Answers).await;
        submit(&process, LARGE, large_spec(gang)).await;
        sleep(START_TIME).await;
        submit(&process, SMALL, job_spec()).await;
        sleep(START_TIME).await;
        assert!(has_started(&platform, SMALL), "the job waits, {gang}");
        let starts = platform.call_times("w1", CallKind::Start).len();
        assert!(starts < usize::from(TASKS), "all {starts} starts are sent");
        processes.push(process);
    }
}

/// Guards against stops that hold up the starts behind them, or open a connection each, after the cancellation of a large job.
#[tokio::test(start_paused = true)]
async fn stops_of_a_large_job_leave_room_for_starts() {
    let platform = FakePlatform::default();
    let process = start(&platform, WorkerBehaviour::Answers).await;
    submit(&process, LARGE, large_spec(false)).await;
    // Runs without progress count as stalled after 2.6 s.
    sleep(Duration::from_secs(2)).await;
    assert_eq!(platform.reported_runs("w1").len(), usize::from(TASKS));
    let cancelled = process.control.cancel(LARGE, None, START_TIME).await;
    assert_eq!(cancelled, CancelReply::Cancelled);
    submit(&process, SMALL, job_spec()).await;
    sleep(START_TIME).await;
    assert!(has_started(&platform, SMALL), "the small job waits");
    sleep(Duration::from_secs(3)).await;
    let stops = platform.call_times("w1", CallKind::Stop).len();
    assert!(stops >= usize::from(TASKS), "{stops} stops are sent");
    assert!(platform.state().max_orders <= MAX_ORDERS);
}

/// Guards against a worker that is quarantined because this process has no descriptor for the order.
#[tokio::test(start_paused = true)]
async fn a_shortage_of_this_process_does_not_count_against_the_worker() {
    let platform = FakePlatform::default();
    let process = start(&platform, WorkerBehaviour::Unreached).await;
    submit(&process, SMALL, job_spec()).await;
    // Longer than all attempts take.
    sleep(Duration::from_millis(1_500)).await;
    assert!(!has_started(&platform, SMALL));
    platform.set_behaviour("w1", WorkerBehaviour::Answers);
    sleep(2 * START_TIME).await;
    assert!(has_started(&platform, SMALL), "the worker is quarantined");
    assert_eq!(platform.call_times("w1", CallKind::Stop).len(), 0);
}

/// Guards against a worker that counts as silent because this process has no descriptor for a renewal.
#[tokio::test(start_paused = true)]
async fn a_shortage_for_renewals_makes_no_worker_silent() {
    const WORKER: &str = "w-without-renewals";
    captured_log::capture();
    let platform = FakePlatform::default();
    platform.add_worker(WORKER, 64_000, WorkerBehaviour::Answers);
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    let renewals = || platform.call_times(WORKER, CallKind::Renewal).len();
    let before = renewals();
    platform.set_behaviour(WORKER, WorkerBehaviour::OutOfReach);
    sleep(Duration::from_secs(3)).await;
    assert!((10..=40).contains(&(renewals() - before)));
    let silent = format!("E8013 worker does not answer worker={WORKER}");
    assert_eq!(captured_log::lines_with(&silent).len(), 0);
}

/// Guards against tasks that wait for a silent worker one after the other, although they have not been sent and another
/// worker has room.
#[tokio::test(start_paused = true)]
async fn starts_behind_a_silent_worker_go_elsewhere() {
    const JOBS: u64 = 40;
    // One start is in the hand of the link, and the worker is tried again after its quarantine.
    const FURTHER_STARTS: usize = 2;
    let platform = FakePlatform::default();
    platform.add_worker("w2", 64_000, WorkerBehaviour::Answers);
    let process = start(&platform, WorkerBehaviour::Answers).await;
    submit(&process, SMALL, job_spec()).await;
    sleep(START_TIME).await;
    let is_first = has_started(&platform, SMALL);
    let (silent, other) = if is_first { ("w1", "w2") } else { ("w2", "w1") };
    platform.set_behaviour(silent, WorkerBehaviour::IgnoresOrders);
    for number in 0..JOBS {
        submit(&process, JobId(100 + number), job_spec()).await;
    }
    sleep(Duration::from_secs(3)).await;
    let started = platform.reported_runs(other).len();
    let all = usize::try_from(JOBS).expect("few jobs");
    assert!(
        started >= all - MAX_ORDERS - FURTHER_STARTS,
        "{started} of {all} jobs"
    );
}
