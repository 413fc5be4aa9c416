//! All promises with mixed work, under each fault alone and under repeated combinations of them.

use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::{Outcome, Resources};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{
    Caller, EntryNode, KeyAudit, TestPlatform, run_test, submission, submit_until_final,
};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [
        { name: "check", class: "check", resources: { cpu_milli: 100, connections: 1 } },
        { name: "order", class: "order", resources: { cpu_milli: 1000, slots: 1 } },
        { name: "batch", class: "batch", tasks: 2, resources: { cpu_milli: 1000, slots: 1 } },
    ],
}"#;

/// Maximum time until every caller has a final outcome, far above a takeover (3.5 s) and the
/// deadline.
const FINAL_OUTCOME_LIMIT: Duration = Duration::from_secs(40);

enum FaultStep {
    Wait(u64),
    Kill(usize),
    Restart(usize),
    Stop(usize),
    Continue(usize),
    Store(serde_json::Value),
    Worker(usize, serde_json::Value),
}

struct FaultCase {
    name: &'static str,
    /// Minimum number of the 90 pieces of durable work that have to be done rather than refused.
    min_done: usize,
    steps: Vec<FaultStep>,
}

fn workers() -> WorkerOptions {
    WorkerOptions {
        capacity: Resources {
            cpu_milli: 16_000,
            memory_mib: 65_536,
            accelerators: 0,
            slots: 4,
            connections: 16,
        },
        // A start over capacity is accepted and recorded, so that a refusal by the worker does not
        // hide a wrong reservation.
        allow_overcommit: true,
        ..WorkerOptions::default()
    }
}

async fn run_case(case: FaultCase) {
    let mut platform = TestPlatform::start(6, workers()).await;
    let mut nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
    let entries: Vec<_> = nodes.iter().map(|node| node.caller).collect();
    let mut calls = JoinSet::new();
    let mut checks = JoinSet::new();
    let caller = Caller::default();
    for number in 0..90 {
        let (workload, tasks) = if number % 6 == 0 {
            ("batch", 2)
        } else {
            ("order", 1)
        };
        let audit = KeyAudit {
            work: submission(&format!("k{number}"), workload, 30_000, "sleep=150"),
            at_most_once: workload == "order",
            tasks,
            replies: Vec::new(),
        };
        let call = submit_until_final(
            caller.clone(),
            entries.clone(),
            number,
            audit,
            FINAL_OUTCOME_LIMIT,
        );
        calls.spawn(async move {
            sleep(Duration::from_millis(number as u64 * 50)).await;
            call.await
        });
        for turn in 0..3 {
            let work = submission(&format!("c{number}-{turn}"), "check", 3000, "sleep=5");
            let (caller, entry) = (caller.clone(), entries[(number + turn) % entries.len()]);
            checks.spawn(async move {
                sleep(Duration::from_millis(number as u64 * 50)).await;
                let reply = caller.submit(entry, &work).await;
                let replies = reply.into_iter().collect();
                KeyAudit {
                    work,
                    at_most_once: false,
                    tasks: 1,
                    replies,
                }
            });
        }
    }
    for step in case.steps {
        match step {
            FaultStep::Wait(millis) => sleep(Duration::from_millis(millis)).await,
            FaultStep::Kill(node) => nodes[node].kill(),
            FaultStep::Restart(node) => nodes[node].spawn(),
            FaultStep::Stop(node) => nodes[node].signal("STOP"),
            FaultStep::Continue(node) => nodes[node].signal("CONT"),
            FaultStep::Store(fault) => platform.store.set_faults(fault).await,
            FaultStep::Worker(worker, fault) => platform.workers[worker].set_faults(fault).await,
        }
    }
    let audits = calls.join_all().await;
    let checks = checks.join_all().await;
    platform.assert_consistent(&audits).await;
    for audit in &audits {
        let outcome = audit.outcome();
        assert!(
            outcome.is_some(),
            "{}: {} has no final outcome: {audit:?}",
            case.name,
            audit.work.key
        );
    }
    let done = audits
        .iter()
        .filter(|audit| audit.outcome() == Some(Outcome::Done))
        .count();
    assert!(
        done >= case.min_done,
        "{}: only {done} of 90 pieces of durable work are done",
        case.name
    );
    let is_done = |audit: &KeyAudit| audit.outcome() == Some(Outcome::Done);
    let (done, others): (Vec<_>, Vec<_>) = checks.into_iter().partition(is_done);
    assert!(!done.is_empty(), "{}: no check is done", case.name);
    let logs = platform.logs().await;
    for audit in &done {
        audit.assert_done_check(&logs);
    }
    platform.assert_consistent(&others).await;
}

macro_rules! fault_tests {
    ($($(#[$doc:meta])* $name:ident, $min_done:literal: $steps:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            run_test(run_case(FaultCase {
                name: stringify!($name),
                min_done: $min_done,
                steps: $steps,
            }));
        })*
    };
}

use FaultStep::{Continue, Kill, Restart, Stop, Store, Wait, Worker};

fault_tests! {
    /// Guards against work lost or repeated when an entry process dies.
    killed_process, 60: vec![Wait(1500), Kill(0), Wait(5000), Restart(0)];
    /// Guards against a resumed owner that still uses workers and partitions that were taken over.
    paused_owner, 60: vec![Wait(1500), Stop(0), Wait(6000), Continue(0), Wait(500), Stop(1), Wait(5000), Continue(1)];
    /// Guards against starts without a durable record, and false "not run", while the store is down.
    store_outage, 60: vec![Wait(1500), Store(json!({ "down": "refuse" })), Wait(4000), Store(json!({}))];
    /// Guards against a write that is treated as failed because its reply was lost.
    lost_store_replies, 60: vec![
        Wait(1000), Store(json!({ "lose_replies": { "next": 3 } })),
        Wait(2500), Store(json!({ "lose_replies": { "next": 2 } })),
    ];
    /// Guards against a start that is repeated because its reply was lost.
    lost_worker_replies, 60: vec![
        Wait(500),
        Worker(0, json!({ "lose_replies": { "probability": 0.3 } })),
        Worker(1, json!({ "lose_replies": { "probability": 0.3 } })),
        Wait(3000), Worker(0, json!({})), Worker(1, json!({})),
    ];
    /// Guards against defects that only show when several faults coincide and repeat.
    combined_and_repeated_faults, 60: vec![
        Wait(1000), Kill(2), Store(json!({ "delay_ms": 200, "lose_replies": { "next": 2 } })),
        Wait(1500), Stop(1), Wait(4500), Continue(1), Restart(2),
        Wait(1500), Store(json!({ "down": "drop" })), Wait(1500), Store(json!({})),
        Stop(0), Wait(4500), Continue(0),
    ];
}
