//! Tests of starts that are delayed past the deadline of their work.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hs_peer::message::{Grant, ReserveReply};
use hs_standin::WorkerOptions;
use hs_wire::{NotRunReason, Outcome, Resources, TaskPhase};
use serde_json::{Value, json};

use crate::fake_peer::{FakePeer, PeerReplies};
use crate::harness::{
    Harness, HarnessOptions, STATE_LIMIT, listen, name_owned_by_e0, start_worker,
};

/// Guards against durable work that starts after its deadline because the record of its placement
/// took long to reach the store, as after an outage.
#[tokio::test]
async fn a_slow_record_does_not_start_work_after_its_deadline() {
    let harness = Harness::start(HarnessOptions::default()).await;
    let slow = json!({ "delay_ms": 700 });
    let set: Option<Value> = harness.post(harness.store, "/fault", &slow).await;
    assert!(set.is_some(), "fault switch of the store");
    let begin = Instant::now();
    let reply = loop {
        let reply = harness.submit("k", "order", 500, "").await;
        if !matches!(reply.outcome, Outcome::Accepted | Outcome::Unknown) {
            break reply;
        }
        assert!(begin.elapsed() < STATE_LIMIT, "{reply:?}");
    };
    let log = harness.worker_log(&harness.vms[0].addr).await;
    assert_eq!(reply.outcome, Outcome::NotRun, "{reply:?}");
    assert_eq!(reply.reason, Some(NotRunReason::DeadlinePassed));
    assert!(log.0.is_empty(), "{log:?}");
}

/// Guards against a check that starts after its deadline because the grant for it arrived late.
#[tokio::test]
async fn a_late_grant_does_not_start_a_check_after_its_deadline() {
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    let name = name_owned_by_e0("w", str::to_owned);
    let options = WorkerOptions {
        capacity: Resources {
            connections: 1,
            ..WorkerOptions::default().capacity
        },
        // The worker accepts the start, so that only the process can prevent it.
        allow_overcommit: true,
        ..WorkerOptions::default()
    };
    let worker = start_worker(&name, options, stopped).await;
    let mut peer = FakePeer::start(listen().await.0, PeerReplies::default());
    let (listener, address) = listen().await;
    peer.send_heartbeats(address);
    let options = HarnessOptions {
        workers: vec![worker.clone()],
        peers: vec![peer.vm()],
        peer_listener: Some(listener),
        ..HarnessOptions::default()
    };
    let harness = Harness::start(options).await;
    let status = harness
        .wait_status("the peer", |status| status["members"][1] == "e1")
        .await;
    let grant = Grant {
        worker: name,
        address: worker.addr.clone(),
        fence: status["workers"][0]["fence"].as_u64().expect("fence"),
        incarnation: 0,
    };
    peer.set(|replies| {
        replies.delay = Duration::from_millis(150);
        replies.reserve = Some(ReserveReply {
            grants: vec![grant],
            refusal: String::new(),
        });
    });
    let filler = harness.submit("filler", "check", 5000, "sleep=1500");
    let late = async {
        while harness.running(&worker.addr).await == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        harness.submit("late", "check", 100, "").await
    };
    let (_, reply) = tokio::join!(filler, late);
    let log = harness.worker_log(&worker.addr).await;
    let late = log.0.iter().filter(|it| it.payload.ends_with("echo=late"));
    assert_eq!(late.count(), 0, "starts of the late check");
    assert_eq!(reply.outcome, Outcome::NotRun, "{reply:?}");
    assert_eq!(reply.reason, Some(NotRunReason::DeadlinePassed));
}

/// Guards against repeatable work that is given up because its worker stopped it after the deadline:
/// the deadline is one for the first start.
#[tokio::test]
async fn stopped_work_starts_again_after_its_deadline() {
    let harness = Harness::start(HarnessOptions::default()).await;
    let worker = harness.vms[0].addr.clone();
    let first = harness.submit("k", "batch", 500, "sleep=3000").await;
    assert_eq!(first.outcome, Outcome::Accepted, "{first:?}");
    let status = harness.status().await;
    let log = harness.worker_log(&worker).await;
    let stop = json!({
        "id": log.0[0].id, "fence": status["workers"][0]["fence"], "mode": "stop",
    });
    let address: SocketAddr = worker.parse().expect("address");
    let stopped: Option<Value> = harness.post(address, "/stop", &stop).await;
    assert!(stopped.is_some(), "the worker stops the task");
    let begin = Instant::now();
    let reply = loop {
        let reply = harness.submit("k", "batch", 500, "sleep=3000").await;
        if !matches!(reply.outcome, Outcome::Accepted | Outcome::Unknown) {
            break reply;
        }
        assert!(begin.elapsed() < STATE_LIMIT, "{reply:?}");
    };
    assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    let phases: Vec<TaskPhase> = harness
        .worker_log(&worker)
        .await
        .0
        .iter()
        .map(|start| start.phase)
        .collect();
    assert_eq!(phases, [TaskPhase::Stopped, TaskPhase::Done]);
}
