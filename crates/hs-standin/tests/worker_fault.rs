//! Guards against fault switches of the worker stand-in whose effect is not the one that other
//! tests rely on.

mod support;

use std::time::{Duration, Instant};

use hs_standin::{WorkerLog, WorkerOptions, run_worker};
use hs_wire::{LeaseGrant, StartReply, TaskPhase};
use hyper::Method;
use serde_json::{Value, json};
use support::Standin;

async fn worker() -> Standin {
    let options = WorkerOptions::default();
    let worker = Standin::start(|listener, stop| run_worker(listener, options, stop)).await;
    assert_eq!(worker.post("/lease", &lease()).await.status, 200);
    worker
}

fn lease() -> Value {
    json!({ "owner": "a", "ttl_ms": 60_000 })
}

fn start(id: &str, payload: &str) -> Vec<u8> {
    let body = json!({
        "id": id, "fence": 1, "resources": { "slots": 1 }, "wait_ms": 2000,
        "workload": "w", "payload": payload,
    });
    body.to_string().into_bytes()
}

/// Guards against faults with a wrong effect on the reply or on whether the task runs.
#[tokio::test]
async fn faults_affect_reply_and_start() {
    struct Case {
        fault: Value,
        /// Status of the reply; `None` if the connection is closed without a reply.
        status: Option<u16>,
        /// Phase in the log; `None` if the task did not run.
        ran: Option<TaskPhase>,
        min_elapsed_ms: u64,
    }
    let case = |fault, status, ran, min_elapsed_ms| Case {
        fault,
        status,
        ran,
        min_elapsed_ms,
    };
    let done = Some(TaskPhase::Done);
    let cases = [
        case(json!({}), Some(200), done, 0),
        case(
            json!({ "fail_all": true }),
            Some(200),
            Some(TaskPhase::Failed),
            0,
        ),
        case(json!({ "draining": true }), Some(503), None, 0),
        case(json!({ "down": "refuse" }), Some(503), None, 0),
        case(json!({ "down": "drop" }), None, None, 0),
        case(json!({ "lose_replies": { "next": 1 } }), None, done, 0),
        case(
            json!({ "lose_replies": { "probability": 1.0 } }),
            None,
            done,
            0,
        ),
        case(json!({ "delay_ms": 80 }), Some(200), done, 80),
        case(json!({ "pause_ms": 80 }), Some(200), done, 70),
    ];
    for Case {
        fault,
        status,
        ran,
        min_elapsed_ms,
    } in cases
    {
        let worker = worker().await;
        assert_eq!(worker.post("/fault", &fault).await.status, 200, "{fault}");
        let begin = Instant::now();
        let reply = worker.call(Method::POST, "/start", start("t", "")).await;
        let elapsed = begin.elapsed();
        assert_eq!(reply.ok().map(|reply| reply.status), status, "{fault}");
        assert!(
            elapsed >= Duration::from_millis(min_elapsed_ms),
            "{fault}: {elapsed:?}"
        );
        let WorkerLog(log) = worker.get("/log").await;
        let phases: Vec<TaskPhase> = log.iter().map(|entry| entry.phase).collect();
        assert_eq!(phases, Vec::from_iter(ran), "{fault}");
    }
}

/// Guards against a lease call without effect when only its reply should be lost, and against the
/// loss of a start's reply instead.
#[tokio::test]
async fn lease_call_with_lost_reply_takes_effect() {
    let worker = worker().await;
    let fault = json!({ "lose_lease_replies": { "next": 1 } });
    worker.post("/fault", &fault).await;
    let started = worker.call(Method::POST, "/start", start("t", "")).await;
    assert_eq!(started.expect("a reply").status, 200);
    let bump = json!({ "owner": "a", "ttl_ms": 60_000, "bump": true }).to_string();
    let lost = worker.call(Method::POST, "/lease", bump).await;
    assert!(!lost.expect_err("a lost reply").is_not_sent());
    let grant: LeaseGrant = worker
        .post("/lease", &lease())
        .await
        .json()
        .expect("a grant");
    assert_eq!(grant.fence, 2);
}

/// Guards against a misspelt switch that is ignored, so that a test would run without its fault.
#[tokio::test]
async fn misspelt_switch_is_refused() {
    let worker = worker().await;
    let reply = worker.post("/fault", &json!({ "fail_al": true })).await;
    assert_eq!(reply.status, 400);
    let reply = worker.call(Method::POST, "/start", start("t", "")).await;
    let reply: StartReply = reply.expect("a reply").json().expect("a task");
    assert_eq!(reply.task.phase, TaskPhase::Done);
}
