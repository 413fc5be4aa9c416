//! P1: no worker is ever overcommitted, not even during a burst of one customer.

use std::time::Duration;

use hs_standin::{WorkerOptions, WorkerPeak};
use hs_wire::{Outcome, Resources};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{
    Caller, EntryNode, KeyAudit, TestPlatform, run_test, submission, submit_until_final,
    worker_owner,
};

/// Each workload exhausts a different dimension of the capacity first.
const MANIFEST: &str = r#"{
    customers: [{ name: "acme", queue_limit: 10000 }],
    workloads: [
        { name: "cpu", class: "order", resources: { cpu_milli: 5000, memory_mib: 100 } },
        { name: "memory", class: "order", resources: { cpu_milli: 100, memory_mib: 6000 } },
        { name: "accelerator", class: "order", resources: { accelerators: 1, cpu_milli: 100 } },
        { name: "slot", class: "order", resources: { slots: 1, cpu_milli: 100 } },
        { name: "gang", class: "gang", tasks: 3, resources: { slots: 1, connections: 1 } },
        { name: "check", class: "check", resources: { connections: 2, cpu_milli: 100 } },
    ],
}"#;

const WORKLOADS: [&str; 6] = ["cpu", "memory", "accelerator", "slot", "gang", "check"];

const FINAL_OUTCOME_LIMIT: Duration = Duration::from_secs(40);

/// Returns options of workers that accept and record a start over capacity, so that a refusal by the
/// worker does not hide a wrong reservation.
fn workers() -> WorkerOptions {
    WorkerOptions {
        capacity: Resources {
            cpu_milli: 16_000,
            memory_mib: 16_000,
            accelerators: 2,
            slots: 3,
            connections: 8,
        },
        allow_overcommit: true,
        ..WorkerOptions::default()
    }
}

fn audit(number: usize) -> KeyAudit {
    let workload = WORKLOADS[number % WORKLOADS.len()];
    // The long tasks keep running while the owner of their worker changes, and the short ones queue
    // behind them.
    let run_ms = if number.is_multiple_of(5) { 5000 } else { 150 };
    let mut work = submission(
        &format!("k{number}"),
        workload,
        40_000,
        &format!("sleep={run_ms}"),
    );
    work.wait_ms = Some(if workload == "check" { 20_000 } else { 2000 });
    KeyAudit {
        work,
        at_most_once: workload != "check",
        tasks: if workload == "gang" { 3 } else { 1 },
        replies: Vec::new(),
    }
}

/// Guards against two reservations of the same capacity, against capacity that is released while its
/// task runs, and against an owner that does not know the tasks on a worker that it takes over.
#[test]
fn burst_of_one_customer_with_a_killed_owner() {
    run_test(async {
        let mut platform = TestPlatform::start(6, workers()).await;
        let mut nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let killed = worker_owner(&nodes, "w0").await;
        let entries: Vec<_> = (0..3)
            .filter(|node| *node != killed)
            .map(|node| nodes[node].caller)
            .collect();
        let mut calls = JoinSet::new();
        for number in 0..240 {
            let caller = Caller::default();
            calls.spawn(submit_until_final(
                caller,
                entries.clone(),
                number,
                audit(number),
                FINAL_OUTCOME_LIMIT,
            ));
        }
        sleep(Duration::from_millis(1500)).await;
        nodes[killed].kill();
        let audits = calls.join_all().await;
        platform.assert_consistent(&audits).await;
        let done = audits
            .iter()
            .filter(|audit| audit.outcome() == Some(Outcome::Done))
            .count();
        assert!(
            done * 10 >= audits.len() * 9,
            "only {done} done: {audits:?}"
        );
        let mut reached = Resources::ZERO;
        for worker in &platform.workers {
            let peak: WorkerPeak = worker.get("/peak").await.json().expect("peak");
            let peaks = peak.peak.dimensions().into_iter().zip(reached.dimensions());
            let highest: Vec<u32> = peaks.map(|(left, right)| left.max(right)).collect();
            reached = Resources::from_dimensions(highest.try_into().expect("five dimensions"));
        }
        // The test proves nothing about a dimension without contention.
        let pairs = reached
            .dimensions()
            .into_iter()
            .zip(workers().capacity.dimensions());
        for (dimension, (peak, capacity)) in pairs.enumerate() {
            assert!(
                peak * 4 >= capacity * 3,
                "dimension {dimension}: {peak} of {capacity}"
            );
        }
    });
}
