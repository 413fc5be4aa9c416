//! P7: a graceful shutdown interrupts no check or order in flight.

use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::{Outcome, TaskPhase, VmState, WorkReply};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::cluster::{
    Caller, EntryNode, KeyAudit, TestPlatform, eventually, publish, run_test, submission,
    submit_until_final, wait_until_owned,
};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [
        { name: "check", class: "check", resources: { connections: 1 } },
        { name: "order", class: "order", resources: { cpu_milli: 100 } },
        { name: "batch", class: "batch", resources: { slots: 1 } },
    ],
    draining: [DRAINING],
}"#;

fn manifest(draining: &str) -> String {
    MANIFEST.replace("DRAINING", draining)
}

fn audit(key: &str, workload: &str, payload: &str) -> KeyAudit {
    KeyAudit {
        work: submission(key, workload, 30_000, payload),
        at_most_once: true,
        tasks: 1,
        replies: Vec::new(),
    }
}

async fn submit(entry: std::net::SocketAddr, mut audit: KeyAudit) -> KeyAudit {
    let reply = Caller::default().submit(entry, &audit.work).await;
    audit.replies.extend(reply);
    audit
}

fn is_done(reply: &WorkReply) -> bool {
    reply.outcome == Outcome::Done
}

/// Guards against calls that are interrupted when an entry process shuts down, at the process
/// itself and at processes that forwarded to it or have reservations on its workers. The second
/// shutdown affects what the first process released.
#[test]
fn entry_processes_end_with_calls_in_flight() {
    run_test(async {
        let mut platform = TestPlatform::start(4, WorkerOptions::default()).await;
        let mut nodes = EntryNode::start_all(&mut platform, 3, &manifest("")).await;
        let long = audit("long", "batch", "sleep=9000");
        let live = vec![nodes[2].caller];
        let long = tokio::spawn(submit_until_final(
            Caller::default(),
            live,
            0,
            long,
            Duration::from_secs(30),
        ));
        let mut audits = Vec::new();
        for ended in [0, 1] {
            wait_until_owned(&nodes[ended..], 4).await;
            let mut calls = JoinSet::new();
            for number in 0..60 {
                let (workload, payload) = match number % 2 {
                    0 => ("check", "sleep=1500"),
                    _ => ("order", "sleep=2500"),
                };
                let audit = audit(&format!("{workload}{ended}-{number}"), workload, payload);
                let entries = &nodes[ended..];
                calls.spawn(submit(entries[number % entries.len()].caller, audit));
            }
            eventually("start of all calls", Duration::from_secs(1), async || {
                let status = nodes[ended].status().await?;
                let logs = platform.logs().await;
                let running = logs.iter().flat_map(|log| &log.0);
                let running = running.filter(|start| start.phase == TaskPhase::Running);
                (status["ready"] == true && running.count() == 61).then_some(())
            })
            .await;
            let end = end_process(nodes[ended].caller, &mut nodes[ended]);
            let (exited_cleanly, answered) = tokio::join!(end, calls.join_all());
            assert!(exited_cleanly, "exit of e{ended}: {}", nodes[ended].log());
            for audit in &answered {
                assert!(audit.replies.iter().any(is_done), "interrupted: {audit:?}");
            }
            audits.extend(answered);
        }
        audits.push(long.await.expect("the long task's caller"));
        platform.assert_consistent(&audits).await;
        let starts = platform.starts_of("long").await;
        assert_eq!(starts.len(), 1, "{starts:?}");
        assert_eq!(starts[0].1.phase, TaskPhase::Done, "{starts:?}");
    });
}

/// Terminates a process, and checks that it serves no new caller during the shutdown.
async fn end_process(entry: std::net::SocketAddr, node: &mut EntryNode) -> bool {
    let refused: JoinHandle<KeyAudit> = tokio::spawn(async move {
        sleep(Duration::from_millis(500)).await;
        submit(entry, audit("late", "check", "sleep=5")).await
    });
    let exited_cleanly = node.terminate().await;
    let late = refused.await.expect("the late caller");
    assert!(
        !late.replies.iter().any(is_done),
        "served during the shutdown: {late:?}"
    );
    exited_cleanly
}

/// Where the workers are marked as draining.
#[derive(Clone, Copy)]
enum DrainSource {
    VmList,
    Manifest,
}

async fn run_worker_case(source: DrainSource) {
    let options = WorkerOptions {
        // Shorter than the tasks, so that a worker without lease renewals would stop them.
        task_lease_ms: 3000,
        ..WorkerOptions::default()
    };
    let mut platform = TestPlatform::start(2, options).await;
    let nodes = EntryNode::start_all(&mut platform, 2, &manifest("")).await;
    let entries: Vec<_> = nodes.iter().map(|node| node.caller).collect();
    let mut calls = JoinSet::new();
    for number in 0..16 {
        let (workload, payload) = [
            ("batch", "sleep=6000"),
            ("check", "sleep=5000"),
            ("order", "sleep=6000"),
        ][number % 3];
        let audit = audit(&format!("k{number}"), workload, payload);
        calls.spawn(submit(entries[number % 2], audit));
    }
    eventually("start of every task", Duration::from_secs(2), async || {
        let logs = platform.logs().await;
        let count: usize = logs.iter().map(|log| log.0.len()).sum();
        (count == 16).then_some(())
    })
    .await;
    match source {
        DrainSource::VmList => {
            platform.entries[0].state = VmState::Leaving;
            platform.entries[1].state = VmState::Leaving;
            platform.publish_vms().await;
        }
        DrainSource::Manifest => {
            let output = publish(&platform, &manifest(r#""w0", "w1""#));
            assert!(output.status.success(), "{output:?}");
        }
    }
    let audits = calls.join_all().await;
    for audit in &audits {
        assert!(audit.replies.iter().any(is_done), "interrupted: {audit:?}");
    }
    platform.assert_consistent(&audits).await;
    for start in platform.logs().await.iter().flat_map(|log| &log.0) {
        assert_eq!(start.phase, TaskPhase::Done, "{start:?}");
    }
}

/// Guards against tasks that are stopped when the VM list shows their worker as leaving.
#[test]
fn leaving_worker_finishes_its_tasks() {
    run_test(run_worker_case(DrainSource::VmList));
}

/// Guards against tasks that are stopped when the manifest drains their worker.
#[test]
fn drained_worker_finishes_its_tasks() {
    run_test(run_worker_case(DrainSource::Manifest));
}
