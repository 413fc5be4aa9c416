//! P6: a leaving worker receives no new work later than 3 s after it is listed as leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::{Resources, VmState};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{
    Caller, EntryNode, TestPlatform, eventually, publish, run_test, submission, unix_time_ms,
    worker_owner,
};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [
        { name: "check", class: "check", resources: { connections: 1 } },
        { name: "order", class: "order", resources: { slots: 1 } },
    ],
    draining: [DRAINING],
}"#;

/// Time after which a leaving worker receives no new work.
const LEAVE_LIMIT_MS: u64 = 3000;

#[derive(Clone, Copy)]
struct LeavingCase {
    /// Whether the VM list marks the worker as leaving. Otherwise the manifest drains it.
    is_listed: bool,
    /// Whether the owner of the worker is killed right afterwards, so that the next owner has to
    /// find out.
    kills_owner: bool,
}

fn workers() -> WorkerOptions {
    WorkerOptions {
        // So small that the load of the test uses every worker.
        capacity: Resources {
            slots: 2,
            connections: 2,
            ..WorkerOptions::default().capacity
        },
        ..WorkerOptions::default()
    }
}

/// Submits work in sequence until `stop` is set.
async fn submit_until_stopped(entry: SocketAddr, name: usize, stop: Arc<AtomicBool>) {
    let workload = if name.is_multiple_of(2) {
        "check"
    } else {
        "order"
    };
    let caller = Caller::default();
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let key = format!("{workload}{name}-{turn}");
        caller
            .submit(entry, &submission(&key, workload, 3000, "sleep=30"))
            .await;
        turn += 1;
    }
}

async fn run_case(case: LeavingCase) {
    let mut platform = TestPlatform::start(4, workers()).await;
    let mut nodes = EntryNode::start_all(&mut platform, 3, &MANIFEST.replace("DRAINING", "")).await;
    let owner = worker_owner(&nodes, "w0").await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut loads = JoinSet::new();
    let live: Vec<_> = (0..3)
        .filter(|node| !case.kills_owner || *node != owner)
        .collect();
    for name in 0..36 {
        let entry = nodes[live[name % live.len()]].caller;
        loads.spawn(submit_until_stopped(entry, name, stop.clone()));
    }
    eventually("load on the worker", Duration::from_secs(5), async || {
        (platform.logs().await[0].0.len() > 20).then_some(())
    })
    .await;
    let listed_ms = unix_time_ms();
    if case.is_listed {
        platform.entries[0].state = VmState::Leaving;
        platform.publish_vms().await;
    } else {
        let output = publish(&platform, &MANIFEST.replace("DRAINING", "\"w0\""));
        assert!(output.status.success(), "{output:?}");
    }
    if case.kills_owner {
        nodes[owner].kill();
    }
    sleep(Duration::from_millis(LEAVE_LIMIT_MS + 2000)).await;
    stop.store(true, Ordering::Relaxed);
    loads.join_all().await;
    let logs = platform.logs().await;
    let before = logs[0]
        .0
        .iter()
        .filter(|start| start.started_ms < listed_ms)
        .count();
    assert!(before > 20, "only {before} starts before it was listed");
    let limit_ms = listed_ms + LEAVE_LIMIT_MS;
    let late: Vec<_> = logs[0]
        .0
        .iter()
        .filter(|start| start.started_ms > limit_ms)
        .collect();
    assert!(
        late.is_empty(),
        "{} late starts, last {:?}",
        late.len(),
        late.last()
    );
    let others: usize = logs[1..]
        .iter()
        .map(|log| {
            log.0
                .iter()
                .filter(|start| start.started_ms > limit_ms)
                .count()
        })
        .sum();
    assert!(others > 100, "only {others} starts on the other workers");
}

macro_rules! leaving_tests {
    ($($(#[$doc:meta])* $name:ident: $is_listed:literal, $kills_owner:literal;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            run_test(run_case(LeavingCase { is_listed: $is_listed, kills_owner: $kills_owner }));
        })*
    };
}

leaving_tests! {
    /// Guards against an owner that places work on a worker that the VM list shows as leaving.
    listed_as_leaving: true, false;
    /// Guards against an owner that places work on a worker that the manifest drains.
    draining_in_the_manifest: false, false;
    /// Guards against a new owner that treats a leaving worker as live.
    listed_as_leaving_then_owner_killed: true, true;
}
