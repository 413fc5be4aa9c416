//! Takeover of a cell with many workers and jobs.

use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::sleep;

use crate::platform::{CallKind, FakePlatform, WorkerBehaviour};
use crate::process::{ELECTION_TIME, Process, put_job};

/// Number of first contacts in flight that a small VM carries.
const MAX_FIRST_CONTACTS: usize = 64;

/// Guards against a new owner that opens connections to all workers at once, which takes a small VM so long that its
/// heartbeats time out and the cell moves on.
#[tokio::test(start_paused = true)]
async fn a_new_owner_contacts_few_workers_at_a_time() {
    const WORKERS: usize = 400;
    let platform = FakePlatform::default();
    for number in 0..WORKERS {
        platform.add_worker(&format!("w{number}"), 1_000, WorkerBehaviour::Answers);
    }
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    assert_eq!(platform.contacted_workers().len(), WORKERS);
    let most = platform.state().max_first_calls;
    assert!((2..=MAX_FIRST_CONTACTS).contains(&most), "{most} at a time");
}

/// Guards against workers that are not contacted because many others don't answer.
#[tokio::test(start_paused = true)]
async fn unreachable_workers_do_not_keep_others_waiting() {
    let platform = FakePlatform::default();
    for number in 0..200 {
        // The first in the order, since they have more free capacity.
        platform.add_worker(&format!("silent{number}"), 4_000, WorkerBehaviour::Silent);
        platform.add_worker(&format!("w{number}"), 1_000, WorkerBehaviour::Answers);
    }
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_millis(1_500)).await;
    let contacted = platform.contacted_workers();
    assert_eq!(contacted.len(), 400);
}

/// Guards against an owner that spends its processor time on connections to workers that are gone.
#[tokio::test(start_paused = true)]
async fn unreachable_workers_are_called_rarely() {
    let platform = FakePlatform::default();
    platform.add_worker("silent", 1_000, WorkerBehaviour::Silent);
    platform.add_worker("gone", 1_000, WorkerBehaviour::Refuses);
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(10)).await;
    for worker in ["silent", "gone"] {
        let calls = platform.call_times(worker, CallKind::Renewal).len();
        // A worker that is back must not lose its lease of 7.5 s because of the pauses.
        assert!((10..=25).contains(&calls), "{worker}: {calls} calls");
    }
}

/// Guards against runs that are lost because their leases end before the new owner has come to their workers.
#[tokio::test(start_paused = true)]
async fn workers_with_runs_are_contacted_first() {
    let platform = FakePlatform::default();
    for number in 0..100 {
        platform.add_worker(&format!("w{number}"), 1_000, WorkerBehaviour::Answers);
    }
    platform.add_worker("large", 8_000, WorkerBehaviour::Answers);
    platform.add_worker("one-run", 1_000, WorkerBehaviour::Answers);
    platform.add_worker("two-runs", 1_000, WorkerBehaviour::Answers);
    put_job(&platform, 1, Some("one-run"));
    put_job(&platform, 2, Some("two-runs"));
    put_job(&platform, 3, Some("two-runs"));
    let _process = Process::start(&platform).await;
    sleep(ELECTION_TIME + Duration::from_secs(1)).await;
    let contacted = platform.contacted_workers();
    assert_eq!(contacted.len(), 103);
    let first: Vec<&str> = contacted[..3].iter().map(|id| &**id).collect();
    assert_eq!(first, ["two-runs", "one-run", "large"]);
}

/// Guards against heartbeats that time out, and a claim that is not confirmed, while a new owner restores the jobs.
#[tokio::test]
async fn other_tasks_run_while_jobs_are_restored() {
    const JOBS: u64 = 4_000;
    /// Portions of 128 jobs at most, once while they are decoded and once while they are restored.
    const MIN_TURNS: usize = 2 * 4_000 / 128;
    let platform = FakePlatform::default();
    platform.add_worker("w1", 1_000, WorkerBehaviour::Answers);
    for number in 0..JOBS {
        put_job(&platform, number.wrapping_mul(0x9e37_79b9_7f4a_7c15), None);
    }
    let observed = platform.clone();
    let _process = Process::start(&platform).await;
    let observer = tokio::spawn(async move {
        while observed.state().calls.is_empty() {
            observed.state().turns_since_page += 1;
            yield_now().await;
        }
    });
    observer.await.expect("the worker is contacted");
    let turns = platform.state().turns_since_page;
    assert!(turns >= MIN_TURNS, "{turns} turns");
}
