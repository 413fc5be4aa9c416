//! Workers whose next incarnation answers before the registry lists it.

use std::time::Duration;

use hs_cell::JobId;
use hs_control::SubmitReply;
use hs_control::port::ClockPort;
use tokio::time::sleep;

use crate::platform::{CallKind, FakePlatform, WorkerBehaviour};
use crate::process::{ELECTION_TIME, Process, job_spec};

/// Time after which a worker answers a renewal without news.
const RENEWAL_WAIT: Duration = Duration::from_millis(1_010);

/// Longest lease of a worker on a clock that is 2 % slow.
const LONGEST_LEASE: Duration = Duration::from_millis(10_200);

/// Time in which the job is started.
const START_TIME: Duration = Duration::from_millis(100);

/// Longest time until the run starts elsewhere.
const MAX_RESTART_TIME: Duration = Duration::from_secs(12);

const STEP: Duration = Duration::from_millis(1);

/// What becomes of the reply to the renewal that the next incarnation has taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RenewalFate {
    Answered,
    Lost,
}

/// Returns the time from the renewal's end to the next start of a run, the start and the renewal of which the next
/// incarnation has taken.
async fn restart_time(fate: RenewalFate) -> Duration {
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::Answers);
    platform.add_worker("w2", 1_000, WorkerBehaviour::Refuses);
    let process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    let renewals = || platform.call_times("w1", CallKind::Renewal).len();
    let earlier = renewals();
    while renewals() == earlier {
        sleep(STEP).await;
    }
    let renewed_at = platform.now();
    platform.set_behaviour("w1", WorkerBehaviour::Replaced);
    let timeout = Duration::from_secs(1);
    let submitted = process.control.submit(JobId(1), job_spec(), timeout);
    assert_eq!(submitted.await, SubmitReply::Accepted);
    sleep(START_TIME).await;
    assert_eq!(platform.call_times("w1", CallKind::Start).len(), 1);
    if fate == RenewalFate::Lost {
        platform.set_behaviour("w1", WorkerBehaviour::Silent);
    }
    sleep((renewed_at + RENEWAL_WAIT).saturating_duration_since(platform.now())).await;
    let taken_at = platform.now();
    platform.set_behaviour("w1", WorkerBehaviour::Silent);
    platform.set_behaviour("w2", WorkerBehaviour::Answers);
    let is_started = || !platform.call_times("w2", CallKind::Start).is_empty();
    while !is_started() && platform.now() < taken_at + MAX_RESTART_TIME {
        sleep(STEP).await;
    }
    platform.now() - taken_at
}

async fn check_restart_time(fate: RenewalFate) {
    let time = restart_time(fate).await;
    assert!(time >= LONGEST_LEASE, "{fate:?}: {time:?}");
    assert!(time < MAX_RESTART_TIME, "{fate:?}: {time:?}");
}

/// Guards against a run that starts elsewhere while an incarnation keeps it that has taken its start, and after that a
/// renewal which was meant for the incarnation before.
#[tokio::test(start_paused = true)]
async fn a_renewal_that_another_incarnation_takes_prolongs_its_runs() {
    check_restart_time(RenewalFate::Answered).await;
}

/// Guards against the same if the reply to the renewal is lost.
#[tokio::test(start_paused = true)]
async fn a_renewal_that_another_incarnation_may_have_taken_prolongs_its_runs() {
    check_restart_time(RenewalFate::Lost).await;
}
