//! Guards against a worker stand-in that grants two leases at once, accepts a wrong fence, runs
//! leased tasks too long or reports usage without lag.

mod support;

use std::time::Duration;

use hs_standin::{WorkerLog, WorkerOptions, run_worker};
use hs_wire::{LeaseGrant, TaskPhase};
use serde_json::{Value, json};
use support::Standin;

async fn worker(options: WorkerOptions) -> Standin {
    Standin::start(|listener, stop| run_worker(listener, options, stop)).await
}

fn start(id: &str, fence: u64, payload: &str) -> Value {
    json!({ "id": id, "fence": fence, "resources": { "slots": 1 }, "workload": "w", "payload": payload })
}

/// Guards against an unexpired lease that is granted to another owner, and against a fence that
/// does not rise with each grant other than a renewal.
#[tokio::test]
async fn fence_rises_with_every_grant_except_renewal() {
    struct Case {
        name: &'static str,
        body: Value,
        fence: Result<u64, &'static str>,
    }
    let case = |name, owner: &str, ttl_ms: u64, bump: bool, fence| Case {
        name,
        body: json!({ "owner": owner, "ttl_ms": ttl_ms, "bump": bump }),
        fence,
    };
    let cases = [
        case("first", "a", 60_000, false, Ok(1)),
        case("renewal", "a", 60_000, false, Ok(1)),
        case("other owner", "b", 60_000, false, Err("a")),
        case("release by other owner", "b", 0, false, Err("a")),
        case("bump by other owner", "b", 60_000, true, Err("a")),
        case("bump", "a", 60_000, true, Ok(2)),
        case("release", "a", 0, false, Ok(2)),
        case("new owner", "b", 1, false, Ok(3)),
        case("expired", "c", 1, false, Ok(4)),
        case("same owner after expiry", "c", 60_000, false, Ok(5)),
    ];
    let worker = worker(WorkerOptions::default()).await;
    for Case { name, body, fence } in cases {
        let reply = worker.post("/lease", &body).await;
        match fence {
            Ok(fence) => {
                assert_eq!(reply.status, 200, "{name}");
                let grant: LeaseGrant = reply.json().expect("a grant");
                assert_eq!(grant.fence, fence, "{name}");
                assert_eq!(grant.ttl_ms, body["ttl_ms"], "{name}");
            }
            Err(owner) => {
                assert_eq!(reply.status, 409, "{name}");
                let body: Value = reply.json().expect("a JSON body");
                assert_eq!(body["owner"], owner, "{name}");
                assert_eq!(body["message"], format!("the lease is held by {owner}"));
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a start or stop that is accepted with another fence than the current one.
#[tokio::test]
async fn wrong_fence_is_refused() {
    let worker = worker(WorkerOptions::default()).await;
    let no_lease = worker.post("/start", &start("t0", 0, "")).await;
    assert_eq!(no_lease.status, 409, "no lease was ever granted");
    let lease = json!({ "owner": "a", "ttl_ms": 60_000 });
    worker.post("/lease", &lease).await;
    let known = worker.post("/start", &start("t1", 1, "sleep=5000")).await;
    assert_eq!(known.status, 200);
    let bump = json!({ "owner": "a", "ttl_ms": 60_000, "bump": true, "list": true });
    let reply = worker.post("/lease", &bump).await;
    let grant: LeaseGrant = reply.json().expect("a grant");
    assert_eq!(grant.tasks.len(), 1);

    for (name, fence, status) in [("old", 1, 409), ("future", 3, 409), ("in force", 2, 200)] {
        let id = format!("t-{name}").replace(' ', "-");
        let reply = worker.post("/start", &start(&id, fence, "")).await;
        assert_eq!(reply.status, status, "start with {name} fence");
        let stop = json!({ "id": "t1", "fence": fence, "mode": "stop" });
        let reply = worker.post("/stop", &stop).await;
        assert_eq!(reply.status, status, "stop with {name} fence");
    }
    // A refusal would mean that the task did not run, so a known task is reported instead.
    let repeated = worker.post("/start", &start("t1", 1, "")).await;
    assert_eq!(repeated.status, 200, "known task with old fence");
    worker
        .post("/lease", &json!({ "owner": "a", "ttl_ms": 0 }))
        .await;
    let released = worker.post("/start", &start("t2", 2, "")).await;
    assert_eq!(released.status, 409, "after the release");
    let WorkerLog(log) = worker.get("/log").await;
    let ran: Vec<&str> = log.iter().map(|entry| entry.id.0.as_str()).collect();
    assert_eq!(ran, ["t1", "t-in-force"], "a refused task ran");
}

/// Guards against leased tasks that run longer than the task lease, so that a second start on
/// another worker would be unsafe, and against stopping other tasks with them.
#[tokio::test]
async fn leased_tasks_stop_after_task_lease() {
    let options = WorkerOptions {
        task_lease_ms: 600,
        ..WorkerOptions::default()
    };
    let worker = worker(options).await;
    let lease = json!({ "owner": "a", "ttl_ms": 200, "query": ["leased", "free"] });
    worker.post("/lease", &lease).await;
    for (id, leased) in [("leased", true), ("free", false)] {
        let mut body = start(id, 1, "sleep=10000");
        body["leased"] = json!(leased);
        assert_eq!(worker.post("/start", &body).await.status, 200);
    }
    for (wait_ms, phase) in [
        (300, TaskPhase::Running),
        (400, TaskPhase::Running),
        (1200, TaskPhase::Stopped),
    ] {
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let reply = worker.post("/lease", &lease).await;
        let grant: LeaseGrant = reply.json().expect("a grant");
        for task in &grant.tasks {
            let expected = match task.id.0.as_str() {
                "leased" => phase,
                _ => TaskPhase::Running,
            };
            assert_eq!(task.phase, expected, "{} after {wait_ms} ms", task.id);
        }
        assert_eq!(grant.tasks.len(), 2);
    }
}

/// Guards against usage that is reported without lag, which would hide decisions that wrongly
/// rely on current usage.
#[tokio::test]
async fn usage_is_reported_with_lag() {
    let options = WorkerOptions {
        usage_lag_ms: 400,
        ..WorkerOptions::default()
    };
    let worker = worker(options).await;
    let lease = json!({ "owner": "a", "ttl_ms": 60_000 });
    worker.post("/lease", &lease).await;
    worker
        .post("/start", &start("t", 1, "sleep=5000 cpu=900"))
        .await;
    for (wait_ms, cpu_milli) in [(0, 0), (600, 900)] {
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let reply = worker.post("/lease", &lease).await;
        let grant: LeaseGrant = reply.json().expect("a grant");
        assert_eq!(grant.usage.cpu_milli, cpu_milli, "after {wait_ms} ms");
    }
}
