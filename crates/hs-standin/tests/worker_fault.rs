//! Guards against fault switches of the worker stand-in that do not do what tests rely on.

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

/// Guards against faults with another effect on the caller or on what ran than they promise.
#[tokio::test]
async fn start_under_fault() {
    struct Case {
        fault: Value,
        /// Status that the caller sees; `None` if the reply is lost.
        status: Option<u16>,
        /// Phase in the log; `None` if the task did not run.
        ran: Option<TaskPhase>,
        least_ms: u64,
    }
    let case = |fault, status, ran, least_ms| Case {
        fault,
        status,
        ran,
        least_ms,
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
        least_ms,
    } in cases
    {
        let worker = worker().await;
        assert_eq!(worker.post("/fault", &fault).await.status, 200, "{fault}");
        let begin = Instant::now();
        let reply = worker.call(Method::POST, "/start", start("t", "")).await;
        let elapsed = begin.elapsed();
        assert_eq!(reply.ok().map(|reply| reply.status), status, "{fault}");
        assert!(
            elapsed >= Duration::from_millis(least_ms),
            "{fault}: {elapsed:?}"
        );
        let WorkerLog(log) = worker.get("/log").await;
        let phases: Vec<TaskPhase> = log.iter().map(|entry| entry.phase).collect();
        assert_eq!(phases, Vec::from_iter(ran), "{fault}");
    }
}

/// Guards against a lost lease reply that did not take effect, or that costs a start's reply.
#[tokio::test]
async fn lost_lease_reply() {
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

/// Guards against a misspelt switch that is taken for a healthy worker.
#[tokio::test]
async fn misspelt_switch() {
    let worker = worker().await;
    let reply = worker.post("/fault", &json!({ "fail_al": true })).await;
    assert_eq!(reply.status, 400);
    let reply = worker.call(Method::POST, "/start", start("t", "")).await;
    let reply: StartReply = reply.expect("a reply").json().expect("a task");
    assert_eq!(reply.task.phase, TaskPhase::Done);
}
