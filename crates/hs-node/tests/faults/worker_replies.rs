//! Tests of malformed replies of a worker.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hs_http::{HttpClient, HttpReply, HttpRequest, ServeLimits, serve};
use hs_node::WorkerPort;
use hs_node::port::HttpWorkers;
use hs_peer::message::ResolveRequest;
use hs_standin::WorkerOptions;
use hs_wire::{Outcome, VmEntry, VmRole, WorkId};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::damage::mutate;
use crate::fake_peer::connect;
use crate::harness::{CALL_TIMEOUT, Harness, HarnessOptions, listen, start_worker, vm};
use crate::log_lines;

/// Time for which the worker sends malformed replies: about ten lease calls.
const FAULT_TIME: Duration = Duration::from_millis(1500);

/// How a worker damages its replies.
#[derive(Clone)]
enum Damage {
    /// Merges these fields into the replies to lease calls.
    Lease(Value),
    /// Removes the incarnation and the tasks from the replies to lease calls.
    OptionalFields,
    /// Adds this JSON text to the tasks in the replies to lease calls.
    ExtraTask(String),
    /// Replaces the phase of each task in the replies to lease calls.
    TaskPhases,
    /// Damages every reply at random.
    Random,
}

/// Starts a worker whose replies pass through a proxy that can damage them. Returns its entry in the
/// VM list, and the address of the worker itself.
async fn damaging_worker(
    damage: Damage,
    is_on: Arc<AtomicBool>,
    stopped: watch::Receiver<bool>,
) -> (VmEntry, String) {
    let inner = start_worker("w0", WorkerOptions::default(), stopped.clone()).await;
    let (listener, address) = listen().await;
    let entry = vm("w0", address, VmRole::Worker, inner.capacity);
    let inner_address = inner.addr.clone();
    let client = HttpClient::default();
    let seed = Arc::new(AtomicU64::new(20_261_205));
    let handler = move |request: HttpRequest| {
        let (client, peer) = (client.clone(), inner.addr.clone());
        let (damage, is_on, seed) = (damage.clone(), is_on.clone(), seed.clone());
        async move {
            let target = match request.query.as_str() {
                "" => request.path.clone(),
                query => format!("{}?{query}", request.path),
            };
            let method = request.method.clone();
            let call = client.call("proxy", method, &peer, &target, request.body, CALL_TIMEOUT);
            let Ok(reply) = call.await else {
                return HttpReply::text(500, "no reply");
            };
            let mut body = reply.body.to_vec();
            if is_on.load(Ordering::Relaxed) {
                match &damage {
                    Damage::Random => {
                        let random = seed.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
                        let random = (random ^ (random >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
                        body = mutate(&body, random ^ (random >> 32));
                    }
                    Damage::Lease(fields) if request.path == "/lease" => {
                        let mut value: Value = serde_json::from_slice(&body).unwrap_or_default();
                        for (name, field) in fields.as_object().expect("fields") {
                            value[name] = field.clone();
                        }
                        body = value.to_string().into_bytes();
                    }
                    Damage::OptionalFields if request.path == "/lease" => {
                        let mut value: Value = serde_json::from_slice(&body).unwrap_or_default();
                        if let Some(fields) = value.as_object_mut() {
                            fields.retain(|name, _| name != "incarnation" && name != "tasks");
                        }
                        body = value.to_string().into_bytes();
                    }
                    Damage::ExtraTask(task) if request.path == "/lease" => {
                        let text = String::from_utf8_lossy(&body);
                        let text = text.replacen("\"tasks\":[", &format!("\"tasks\":[{task},"), 1);
                        body = text.replacen(",]", "]", 1).into_bytes();
                    }
                    Damage::TaskPhases if request.path == "/lease" => {
                        let text = String::from_utf8_lossy(&body);
                        body = text.replace("\"phase\":\"", "\"phase\":\"odd").into_bytes();
                    }
                    Damage::Lease(_)
                    | Damage::OptionalFields
                    | Damage::ExtraTask(_)
                    | Damage::TaskPhases => {}
                }
            }
            HttpReply::bytes(reply.status, "application/json", body)
        }
    };
    tokio::spawn(serve(listener, ServeLimits::default(), stopped, handler));
    (entry, inner_address)
}

struct DamageCase {
    name: &'static str,
    damage: Damage,
}

/// Guards against a malformed reply of a worker that ends a task of the process, so that the worker
/// is never used again.
#[tokio::test]
async fn malformed_replies_end_with_their_cause() {
    let huge = json!({
        "cpu_milli": u32::MAX, "memory_mib": u32::MAX, "slots": u32::MAX, "connections": u32::MAX,
    });
    let lease = |name, fields| DamageCase {
        name,
        damage: Damage::Lease(fields),
    };
    let task = json!({ "id": "t", "phase": "running", "resources": huge, "ran_ms": u64::MAX });
    let cases = [
        lease("endless lease", json!({ "ttl_ms": u64::MAX })),
        lease("no lease time", json!({ "ttl_ms": 0 })),
        lease("highest fence", json!({ "fence": u64::MAX })),
        lease("highest incarnation", json!({ "incarnation": u64::MAX })),
        lease("no capacity", json!({ "capacity": {} })),
        lease("highest capacity", json!({ "capacity": huge })),
        lease("unknown tasks", json!({ "tasks": [task.clone(), task] })),
        lease("other types", json!({ "tasks": "none", "fence": "one" })),
        DamageCase {
            name: "random damage",
            damage: Damage::Random,
        },
    ];
    let mut runs = tokio::task::JoinSet::new();
    for case in cases {
        runs.spawn(run_case(case));
    }
    runs.join_all().await;
}

/// Guards against a worker that stays in use after it has stopped answering, because it granted a
/// longer lease than was requested.
#[tokio::test]
async fn a_lease_lasts_at_most_as_long_as_requested() {
    let (_stop, stopped) = watch::channel(false);
    let is_on = Arc::new(AtomicBool::new(true));
    let damage = Damage::Lease(json!({ "ttl_ms": u64::MAX }));
    let (worker, inner) = damaging_worker(damage, is_on, stopped).await;
    let options = HarnessOptions {
        workers: vec![worker],
        ..HarnessOptions::default()
    };
    let harness = Harness::start(options).await;
    let inner: std::net::SocketAddr = inner.parse().expect("address");
    let down: Option<Value> = harness
        .post(inner, "/fault", &json!({ "down": "drop" }))
        .await;
    assert!(down.is_some(), "fault switch of the worker");
    harness
        .wait_status("no worker", |status| {
            status["workers"].as_array().is_some_and(Vec::is_empty)
        })
        .await;
}

/// Guards against a worker that stays out of use because one reply to the acquisition of its lease
/// had a wrong capacity.
#[tokio::test]
async fn a_wrong_capacity_is_corrected() {
    let (_stop, stopped) = watch::channel(false);
    let is_on = Arc::new(AtomicBool::new(true));
    let damage = Damage::Lease(json!({ "capacity": {} }));
    let (worker, _) = damaging_worker(damage, is_on.clone(), stopped).await;
    let options = HarnessOptions {
        workers: vec![worker],
        ..HarnessOptions::default()
    };
    let harness = Harness::start(options).await;
    let status = harness.status().await;
    assert_eq!(status["workers"][0]["capacity"]["slots"], 0, "{status}");
    is_on.store(false, Ordering::Relaxed);
    harness
        .wait_status("the capacity", |status| {
            status["workers"][0]["capacity"]["slots"] == 8
        })
        .await;
    harness.assert_serves("afterwards").await;
}

/// Guards against a fencing token that overflows when it is raised, which ends the link to the worker.
#[tokio::test]
async fn the_highest_fencing_token_can_be_raised() {
    let (_stop, stopped) = watch::channel(false);
    let is_on = Arc::new(AtomicBool::new(true));
    let damage = Damage::Lease(json!({ "fence": u64::MAX }));
    let (worker, _) = damaging_worker(damage, is_on, stopped).await;
    let options = HarnessOptions {
        workers: vec![worker],
        ..HarnessOptions::default()
    };
    let harness = Harness::start(options).await;
    let request = ResolveRequest {
        worker: "w0".to_owned(),
        task_id: "t".to_owned(),
    };
    let reply = connect(harness.peer).resolve(request).await;
    assert!(reply.expect("a reply").into_inner().owned);
}

/// Guards against a running task that is started again because a lease reply lacked the incarnation,
/// as if the worker had restarted.
#[tokio::test]
async fn a_reply_without_incarnation_is_no_restart() {
    let (_stop, stopped) = watch::channel(false);
    let is_on = Arc::new(AtomicBool::new(false));
    let (worker, inner) = damaging_worker(Damage::OptionalFields, is_on.clone(), stopped).await;
    let options = HarnessOptions {
        workers: vec![worker],
        ..HarnessOptions::default()
    };
    let harness = Harness::start(options).await;
    harness
        .switches
        .hides_start_replies
        .store(true, Ordering::Relaxed);
    harness
        .switches
        .fails_task_queries
        .store(true, Ordering::Relaxed);
    let submit = harness.submit("k", "batch", 9000, "sleep=3000");
    let damage = async {
        while harness.running(&inner).await == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        is_on.store(true, Ordering::Relaxed);
        tokio::time::sleep(FAULT_TIME).await;
        is_on.store(false, Ordering::Relaxed);
    };
    let (reply, ()) = tokio::join!(submit, damage);
    assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    let log = harness.worker_log(&inner).await;
    assert_eq!(log.0.len(), 1, "{log:?}");
}

/// Guards against one odd task in the list of a worker that keeps the whole worker out of use: each
/// reply to a lease call failed to decode.
#[tokio::test]
async fn an_odd_task_does_not_hide_the_others() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let task = |resources: &str| {
        format!("{{\"id\":\"t\",\"phase\":\"running\",\"resources\":{resources}}}")
    };
    let cases = [
        ("nested", deep),
        ("number", "1e400".to_owned()),
        ("negative amount", task("{\"slots\":-1}")),
        ("amount out of range", task("{\"slots\":4294967296}")),
        ("unknown resource", task("{\"tickets\":1}")),
        (
            "unknown phase",
            "{\"id\":\"t\",\"phase\":\"odd\",\"resources\":{}}".to_owned(),
        ),
    ];
    log_lines::keep();
    for (name, odd) in cases {
        let (_stop, stopped) = watch::channel(false);
        let is_on = Arc::new(AtomicBool::new(true));
        let (worker, _) = damaging_worker(Damage::ExtraTask(odd), is_on, stopped).await;
        let options = HarnessOptions {
            workers: vec![worker],
            ..HarnessOptions::default()
        };
        let harness = Harness::start(options).await;
        let fence = harness.status().await["workers"][0]["fence"].clone();
        tokio::time::sleep(FAULT_TIME).await;
        harness.assert_serves(name).await;
        let status = harness.status().await;
        assert_eq!(status["workers"][0]["fence"], fence, "{name}: {status}");
    }
    let lines = log_lines::with(&["E3007", "part=\"task t\""]);
    assert_eq!(lines.len(), 4, "one line for each worker: {lines:?}");
}

/// Guards against a running task that is started again because the worker's entry about it can't be
/// decoded, as if the worker did not know the task.
#[tokio::test]
async fn a_task_that_cant_be_decoded_is_not_absent() {
    let (_stop, stopped) = watch::channel(false);
    let is_on = Arc::new(AtomicBool::new(false));
    let (worker, inner) = damaging_worker(Damage::TaskPhases, is_on.clone(), stopped).await;
    let options = HarnessOptions {
        workers: vec![worker],
        ..HarnessOptions::default()
    };
    let harness = Harness::start(options).await;
    let switches = &harness.switches;
    switches.hides_start_replies.store(true, Ordering::Relaxed);
    switches.fails_task_queries.store(true, Ordering::Relaxed);
    is_on.store(true, Ordering::Relaxed);
    let submit = harness.submit("k", "batch", 9000, "sleep=3000");
    let repair = async {
        tokio::time::sleep(FAULT_TIME).await;
        is_on.store(false, Ordering::Relaxed);
    };
    let (reply, ()) = tokio::join!(submit, repair);
    assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    let log = harness.worker_log(&inner).await;
    assert_eq!(log.0.len(), 1, "{log:?}");
}

/// Guards against work that stays open because its worker reports an odd run time, which no decision
/// depends on.
#[tokio::test]
async fn an_odd_run_time_does_not_hide_a_result() {
    for ran_ms in ["-1", "1e400", "18446744073709551616", "null"] {
        let text = format!(
            "{{\"id\":\"t\",\"phase\":\"done\",\"resources\":{{}},\"result\":\"r\",\"ran_ms\":{ran_ms}}}"
        );
        let view: hs_wire::TaskView = serde_json::from_str(&text).expect(ran_ms);
        assert_eq!((view.result.as_str(), view.ran_ms), ("r", 0), "{ran_ms}");
    }
}

/// Guards against the outcome of one task that is taken for that of another, because a worker
/// answers a query with the wrong task.
#[tokio::test]
async fn an_answer_about_another_task_is_unreadable() {
    let (_stop, stopped) = watch::channel(false);
    let (listener, address) = listen().await;
    let task = json!({ "id": "other", "phase": "done", "resources": {} });
    let body = json!({ "task": task });
    let handler = move |_: HttpRequest| {
        let body = body.clone();
        async move { HttpReply::json(200, &body) }
    };
    tokio::spawn(serve(listener, ServeLimits::default(), stopped, handler));
    let workers = HttpWorkers::new(HttpClient::default());
    let (address, wait) = (address.to_string(), Duration::ZERO);
    for (id, is_own) in [("t", false), ("other", true)] {
        let id = WorkId(id.to_owned());
        let answer = workers.task(&address, &id, wait, CALL_TIMEOUT).await;
        assert_eq!(answer.is_ok(), is_own, "{id}: {answer:?}");
    }
}

async fn run_case(case: DamageCase) {
    let (_stop, stopped) = watch::channel(false);
    let is_on = Arc::new(AtomicBool::new(false));
    let (worker, _) = damaging_worker(case.damage, is_on.clone(), stopped).await;
    let options = HarnessOptions {
        workers: vec![worker],
        ..HarnessOptions::default()
    };
    let harness = Harness::start(options).await;
    harness.assert_serves("before").await;
    is_on.store(true, Ordering::Relaxed);
    let begin = tokio::time::Instant::now();
    for number in 0.. {
        if begin.elapsed() > FAULT_TIME {
            break;
        }
        harness
            .submit(&format!("f{number}"), "check", 200, "")
            .await;
    }
    is_on.store(false, Ordering::Relaxed);
    harness
        .wait_status(case.name, |status| {
            let workers = status["workers"].as_array().cloned().unwrap_or_default();
            workers
                .iter()
                .any(|worker| worker["ejected"] == false && worker["capacity"]["slots"] == 8)
        })
        .await;
    harness.assert_serves(case.name).await;
}
