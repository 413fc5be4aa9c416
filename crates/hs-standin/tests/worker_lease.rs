//! Guards against a worker stand-in that grants two leases at a time or lets a stale fence pass.

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

/// Guards against a lease that changes hands while it lives, and a fence that does not rise with
/// each grant that is not a renewal.
#[tokio::test]
async fn rising_fence() {
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

/// Guards against a start or stop that passes with a fence which is not the one in force.
#[tokio::test]
async fn stale_fence() {
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
    // A refusal means that the task did not run, so a task that ran is reported instead.
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

/// Guards against leased tasks that outlive the task lease, which is what makes a second start
/// elsewhere safe, and against other tasks being stopped with them.
#[tokio::test]
async fn task_lease() {
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

/// Guards against usage that is current, and so hides decisions that rely on it.
#[tokio::test]
async fn lagged_usage() {
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
