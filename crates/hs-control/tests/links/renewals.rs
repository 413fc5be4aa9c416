//! Lease renewals that fail.

use std::time::Duration;

use hs_cell::JobId;
use hs_control::SubmitReply;
use tokio::time::sleep;

use crate::platform::{CallKind, FakePlatform, WorkerBehaviour};
use crate::process::{ELECTION_TIME, Process, job_spec};

/// Time after which a renewal without a reply has failed.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Guards against a worker that gets no runs because one reply was lost, as on a connection that has gone silent
/// while new ones work.
#[tokio::test(start_paused = true)]
async fn a_worker_is_called_again_before_it_counts_as_silent() {
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::Answers);
    let process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    let earlier = platform.call_times("w1", CallKind::Renewal).len();
    platform.lose_next_reply("w1");
    while platform.call_times("w1", CallKind::Renewal).len() == earlier {
        sleep(Duration::from_millis(1)).await;
    }
    sleep(RENEWAL_TIMEOUT + Duration::from_millis(2)).await;
    let timeout = Duration::from_secs(1);
    let submitted = process.control.submit(JobId(1), job_spec(), timeout);
    assert_eq!(submitted.await, SubmitReply::Accepted);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(platform.call_times("w1", CallKind::Start).len(), 1);
}

/// Guards against calls without a pause to a worker that fails each renewal, but reports in between.
#[tokio::test(start_paused = true)]
async fn a_worker_that_fails_renewals_is_called_with_pauses() {
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::RefusesLeases);
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(10)).await;
    let calls = platform.call_times("w1", CallKind::Renewal).len();
    assert!((10..=200).contains(&calls), "{calls} calls");
}
