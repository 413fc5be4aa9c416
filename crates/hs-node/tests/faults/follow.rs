//! Tests of durable tasks whose worker does not answer as expected.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use hs_wire::{Outcome, WorkReply};
use serde_json::Value;

use crate::harness::{Harness, HarnessOptions};

/// Guards against a flood of lease calls that raise the fencing token, and with it refuse the starts
/// of all other work, while a worker reports a task as running and does not answer queries about it.
#[tokio::test]
async fn a_failing_task_query_is_repeated_with_a_delay() {
    let harness = Harness::start(HarnessOptions::default()).await;
    let switches = harness.switches.clone();
    switches.hides_start_replies.store(true, Ordering::Relaxed);
    switches.fails_task_queries.store(true, Ordering::Relaxed);
    let before = switches.raised_fences.load(Ordering::Relaxed);
    let reply = harness.submit("k", "order", 8000, "sleep=3000").await;
    let raised = switches.raised_fences.load(Ordering::Relaxed) - before;
    assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    assert!(raised <= 15, "{raised} lease calls raised the token in 3 s");
}

/// Guards against a flood of queries to a worker that answers them at once instead of at the end of
/// the task.
#[tokio::test]
async fn queries_of_a_running_task_are_apart() {
    let harness = Harness::start(HarnessOptions::default()).await;
    harness
        .switches
        .ignores_waits
        .store(true, Ordering::Relaxed);
    let reply = harness.submit("k", "gang", 8000, "sleep=2000").await;
    let queries = harness.switches.task_queries.load(Ordering::Relaxed);
    assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    assert!(queries <= 300, "{queries} queries about three tasks in 2 s");
}

/// Guards against a worker that fails everything and stays in use because the replies to the starts
/// are lost: the end of a task counts however it became known.
#[tokio::test]
async fn failures_that_the_owner_reports_eject_the_worker() {
    let harness = Harness::start(HarnessOptions::default()).await;
    harness
        .switches
        .hides_start_replies
        .store(true, Ordering::Relaxed);
    for number in 0..8 {
        let key = format!("k{number}");
        let reply = harness.submit(&key, "order", 8000, "fail").await;
        assert_eq!(reply.outcome, Outcome::Failed, "{reply:?}");
        if harness.status().await["workers"][0]["ejected"] == true {
            return;
        }
    }
    panic!("not ejected: {}", harness.status().await);
}

/// Guards against repeated stops, each with a raised fencing token, of a task that the worker no
/// longer knows.
#[tokio::test]
async fn a_stop_ends_when_the_worker_does_not_know_the_task() {
    let harness = Harness::start(HarnessOptions::default()).await;
    let worker = harness.vms[0].addr.clone();
    let submit = harness.submit("k", "gang", 6000, "sleep=1500");
    let cancel = async {
        while harness.running(&worker).await < 3 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        harness
            .switches
            .forgets_tasks
            .store(true, Ordering::Relaxed);
        let path = "/v1/work/acme/k/cancel";
        let reply: Option<WorkReply> = harness.post(harness.caller, path, &Value::Null).await;
        assert!(reply.is_some(), "the cancellation is answered");
    };
    tokio::join!(submit, cancel);
    let stops = harness.switches.stops.load(Ordering::Relaxed);
    assert_eq!(stops, 3, "stop requests for three tasks");
}

/// Guards against a cancelled task that goes on until the reply to its start, which waits for its end.
#[tokio::test]
async fn a_cancellation_stops_a_running_order_at_once() {
    let harness = Harness::start(HarnessOptions::default()).await;
    let worker = harness.vms[0].addr.clone();
    let submit = harness.submit("k", "order", 20_000, "sleep=8000");
    let cancel = async {
        while harness.running(&worker).await == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let path = "/v1/work/acme/k/cancel";
        let reply: Option<WorkReply> = harness.post(harness.caller, path, &Value::Null).await;
        assert!(reply.is_some(), "the cancellation is answered");
        Instant::now()
    };
    let (reply, cancelled_at) = tokio::join!(submit, cancel);
    let elapsed = cancelled_at.elapsed();
    assert_eq!(reply.outcome, Outcome::Cancelled, "{reply:?}");
    assert!(
        elapsed < Duration::from_secs(2),
        "cancelled after {elapsed:?}"
    );
}
