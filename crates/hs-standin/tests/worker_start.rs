//! Guards against a worker stand-in whose own bookkeeping is wrong, since tests use it as ground
//! truth.

mod support;

use std::time::{Duration, Instant};

use hs_standin::{WorkerLog, WorkerOptions, WorkerPeak, run_worker};
use hs_wire::{Resources, StartReply, TaskPhase};
use hyper::Method;
use serde_json::{Value, json};
use support::Standin;

async fn worker(allow_overcommit: bool) -> Standin {
    let options = WorkerOptions {
        allow_overcommit,
        ..WorkerOptions::default()
    };
    let worker = Standin::start(|listener, stop| run_worker(listener, options, stop)).await;
    let lease = json!({ "owner": "a", "ttl_ms": 60_000 });
    assert_eq!(worker.post("/lease", &lease).await.status, 200);
    worker
}

fn start(id: &str, slots: u32, wait_ms: u64, payload: &str) -> Value {
    json!({
        "id": id, "fence": 1, "resources": { "slots": slots }, "wait_ms": wait_ms,
        "workload": "w", "payload": payload,
    })
}

/// Guards against payload words that do not control the task.
#[tokio::test]
async fn payload() {
    struct Case {
        payload: &'static str,
        wait_ms: u64,
        phase: TaskPhase,
        result: &'static str,
        least_ms: u64,
    }
    let case = |payload, wait_ms, phase, result, least_ms| Case {
        payload,
        wait_ms,
        phase,
        result,
        least_ms,
    };
    let cases = [
        case("", 2000, TaskPhase::Done, "t0", 5),
        case("echo=hello", 2000, TaskPhase::Done, "hello", 5),
        case("sleep=60 echo=a=b", 2000, TaskPhase::Done, "a=b", 60),
        case("fail echo=x", 2000, TaskPhase::Failed, "x", 5),
        case("sleep=soon what ever", 2000, TaskPhase::Done, "t4", 5),
        case("sleep=0", 2000, TaskPhase::Done, "t5", 0),
        case("sleep=5000", 20, TaskPhase::Running, "", 20),
    ];
    let worker = worker(false).await;
    for (index, case) in cases.into_iter().enumerate() {
        let id = format!("t{index}");
        let begin = Instant::now();
        let body = start(&id, 1, case.wait_ms, case.payload);
        let reply: StartReply = worker.post("/start", &body).await.json().expect("a task");
        let elapsed = begin.elapsed();
        assert_eq!(reply.task.id.0, id);
        assert_eq!(reply.task.phase, case.phase, "{}", case.payload);
        assert_eq!(reply.task.result, case.result, "{}", case.payload);
        assert!(
            elapsed >= Duration::from_millis(case.least_ms),
            "{}",
            case.payload
        );
    }
}

/// Guards against a second run of a known task, and against one that a query misses.
#[tokio::test]
async fn known_task() {
    let worker = worker(false).await;
    for payload in ["echo=first", "echo=second"] {
        let reply = worker.post("/start", &start("t", 1, 2000, payload)).await;
        let reply: StartReply = reply.json().expect("a task");
        assert_eq!(reply.task.result, "first");
    }
    let reply: StartReply = worker.get("/tasks/t?wait_ms=10").await;
    assert_eq!(reply.task.phase, TaskPhase::Done);
    let unknown = worker.call(Method::GET, "/tasks/u?wait_ms=10", "").await;
    assert_eq!(unknown.expect("a reply").status, 404);

    let WorkerLog(log) = worker.get("/log").await;
    assert_eq!(log.len(), 1);
    let ended_ms = log[0].ended_ms.expect("an end");
    assert!(ended_ms >= log[0].started_ms + 5);
    assert_eq!((log[0].fence, log[0].phase), (1, TaskPhase::Done));
    assert_eq!(log[0].payload, "echo=first");
}

/// Guards against overcommitment that is neither refused nor recorded.
#[tokio::test]
async fn capacity() {
    for (allow_overcommit, statuses, peak, excess) in [
        (false, [200, 429, 200, 429], 8, 0),
        (true, [200, 200, 200, 200], 19, 3),
    ] {
        let worker = worker(allow_overcommit).await;
        for (index, slots) in [5, 4, 3, 7].into_iter().enumerate() {
            let body = start(&format!("t{index}"), slots, 0, "sleep=5000");
            let status = worker.post("/start", &body).await.status;
            assert_eq!(
                status, statuses[index],
                "allow_overcommit {allow_overcommit}, start {index}"
            );
        }
        let stop = json!({ "id": "t0", "fence": 1, "mode": "stop" });
        assert_eq!(worker.post("/stop", &stop).await.status, 200);
        assert_eq!(
            worker.post("/stop", &stop).await.status,
            200,
            "repeated stop"
        );
        let found: WorkerPeak = worker.get("/peak").await;
        let slots = |slots| Resources {
            slots,
            ..Resources::ZERO
        };
        assert_eq!(found.peak, slots(peak));
        assert_eq!(found.used, slots(peak - 5));
        assert_eq!(
            (found.exceeded, found.excess_starts),
            (allow_overcommit, excess)
        );
        assert_eq!(found.refused_no_room, if allow_overcommit { 0 } else { 2 });
    }
}

/// Guards against a stopped task that goes on, or ends a second time when its run time is over.
#[tokio::test]
async fn stopped_task() {
    let worker = worker(false).await;
    for (mode, phase) in [
        ("throttle", TaskPhase::Done),
        ("checkpoint", TaskPhase::Stopped),
        ("stop", TaskPhase::Stopped),
    ] {
        worker.post("/start", &start(mode, 1, 0, "sleep=100")).await;
        let stop = json!({ "id": mode, "fence": 1, "mode": mode });
        assert_eq!(worker.post("/stop", &stop).await.status, 200, "{mode}");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let path = format!("/tasks/{mode}?wait_ms=2000");
        let reply: StartReply = worker.get(&path).await;
        assert_eq!(reply.task.phase, phase, "{mode}");
    }
    let stop = json!({ "id": "none", "fence": 1, "mode": "stop" });
    assert_eq!(worker.post("/stop", &stop).await.status, 404);
    let found: WorkerPeak = worker.get("/peak").await;
    assert_eq!(found.used, Resources::ZERO);
}
