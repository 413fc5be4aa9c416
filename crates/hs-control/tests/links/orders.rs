//! Starts and stops.

use std::time::Duration;

use hs_cell::{JobId, StepId, TaskRun};
use hs_control::{CancelReply, SubmitReply};
use tokio::time::sleep;

use crate::platform::{CallKind, FakePlatform, WorkerBehaviour};
use crate::process::{ELECTION_TIME, Process, job_spec, put_job};

/// Time after which the renewal in progress has been answered.
const RENEWAL_WAIT: Duration = Duration::from_millis(1_050);

/// Returns a run of a job that the store does not contain.
fn unknown_run() -> TaskRun {
    let step = StepId {
        job: JobId(99),
        occurrence: 0,
        step: 0,
    };
    TaskRun {
        task: step.task(0),
        run: 1,
    }
}

/// Guards against a connection for each of several starts that are sent to a worker at once.
#[tokio::test(start_paused = true)]
async fn starts_on_a_worker_share_a_connection() {
    const JOBS: usize = 6;
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::Answers);
    for number in 0..JOBS {
        put_job(&platform, number as u64, None);
    }
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    let starts = platform.call_times("w1", CallKind::Start);
    assert!(starts.len() >= JOBS, "{} starts", starts.len());
    assert_eq!(platform.state().max_orders, 1);
}

/// Guards against starts that wait for the timeout of an earlier one whose connection is dead.
#[tokio::test(start_paused = true)]
async fn a_start_without_an_answer_delays_others_little() {
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::IgnoresOrders);
    for number in 0..3 {
        put_job(&platform, number, None);
    }
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    let starts = platform.call_times("w1", CallKind::Start);
    let first = starts[..3].iter().max().copied();
    let delay = first.map(|last| last.saturating_duration_since(starts[0]));
    assert!(
        delay.is_some_and(|delay| delay <= Duration::from_millis(60)),
        "{delay:?}"
    );
}

/// Guards against connections to a silent worker for each of its runs, several in a second.
#[tokio::test(start_paused = true)]
async fn a_silent_worker_gets_few_stops() {
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::IgnoresOrders);
    platform.report_run("w1", unknown_run());
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    let before = platform.call_times("w1", CallKind::Stop).len();
    assert!(before > 0, "the run is not stopped");
    platform.set_behaviour("w1", WorkerBehaviour::Silent);
    sleep(Duration::from_secs(20)).await;
    let silent = platform.call_times("w1", CallKind::Stop).len() - before;
    assert!((5..=20).contains(&silent), "{silent} stops in 20 s");
    platform.set_behaviour("w1", WorkerBehaviour::Answers);
    sleep(Duration::from_millis(1_500)).await;
    let answered = platform.call_times("w1", CallKind::Stop).len() - before - silent;
    assert!(answered > 0, "no stop to the worker that answers again");
}

/// Guards against a worker that is quarantined, and a run that is stopped, because the owner was late itself.
#[tokio::test(start_paused = true)]
async fn a_late_owner_sends_a_start_again() {
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::Answers);
    put_job(&platform, 1, None);
    platform.state().late_starts = 4;
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(4)).await;
    let stops = platform.call_times("w1", CallKind::Stop);
    assert_eq!(stops.len(), 0, "the run is stopped");
    assert!(platform.call_times("w1", CallKind::Start).len() >= 5);
}

/// An order that another clock answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstOrder {
    Start,
    Stop,
}

impl FirstOrder {
    /// Sends the order, and another job after its answer. Checks that no start follows before the next report.
    async fn play(self) {
        let platform = FakePlatform::default();
        platform.add_worker("w1", 8_000, WorkerBehaviour::Answers);
        let process = Process::start(&platform).await;
        sleep(ELECTION_TIME + Duration::from_secs(1)).await;
        let timeout = Duration::from_secs(1);
        let control = &process.control;
        if self == Self::Stop {
            let submitted = control.submit(JobId(1), job_spec(), timeout).await;
            assert_eq!(submitted, SubmitReply::Accepted);
        }
        // The renewal in progress is the last one that is answered.
        platform.set_behaviour("w1", WorkerBehaviour::IgnoresReports);
        sleep(RENEWAL_WAIT).await;
        platform.state().order_clock_offset_ms = 5_000;
        match self {
            Self::Start => {
                let submitted = control.submit(JobId(1), job_spec(), timeout).await;
                assert_eq!(submitted, SubmitReply::Accepted);
            }
            Self::Stop => {
                let cancelled = control.cancel(JobId(1), None, timeout).await;
                assert_eq!(cancelled, CancelReply::Cancelled);
            }
        }
        sleep(Duration::from_millis(50)).await;
        let counts = || {
            let count = |kind| platform.call_times("w1", kind).len();
            (count(CallKind::Start), count(CallKind::Stop))
        };
        let first_counts = counts();
        let stops = usize::from(self == Self::Stop);
        assert_eq!(first_counts, (1, stops));
        let submitted = control.submit(JobId(2), job_spec(), timeout);
        assert_eq!(submitted.await, SubmitReply::Accepted);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(counts().0, first_counts.0);
    }
}

/// Guards against starts on a connection to an incarnation that has not reported, which would count as taken by the one
/// that has: a start that another clock answers shows that the worker has started again.
#[tokio::test(start_paused = true)]
async fn no_start_follows_a_start_that_another_clock_has_answered() {
    FirstOrder::Start.play().await;
}

/// Guards against the same after a stop.
#[tokio::test(start_paused = true)]
async fn no_start_follows_a_stop_that_another_clock_has_answered() {
    FirstOrder::Stop.play().await;
}

/// Guards against a start that is repeated for long although the worker does not answer.
#[tokio::test(start_paused = true)]
async fn a_start_without_an_answer_is_stopped() {
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::IgnoresOrders);
    put_job(&platform, 1, None);
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(2)).await;
    assert_eq!(platform.call_times("w1", CallKind::Start).len(), 3);
    let stops = platform.call_times("w1", CallKind::Stop);
    assert!(!stops.is_empty(), "the run is not stopped");
}

/// Guards against a start that is sent again although its run is to be stopped: the worker would start it if the stop is
/// lost or late.
#[tokio::test(start_paused = true)]
async fn a_start_is_not_repeated_after_a_stop() {
    const JOB: u64 = 1;
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::IgnoresOrders);
    put_job(&platform, JOB, None);
    let process = Process::start(&platform).await;
    while platform.call_times("w1", CallKind::Start).is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    let limit = Duration::from_secs(1);
    let reply = process.control.cancel(JobId(JOB), None, limit).await;
    assert_eq!(reply, CancelReply::Cancelled);
    sleep(Duration::from_secs(2)).await;
    assert!(!platform.call_times("w1", CallKind::Stop).is_empty());
    assert_eq!(platform.call_times("w1", CallKind::Start).len(), 1);
}
