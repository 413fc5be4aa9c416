//! P2: a batch task never runs on two workers at the same time.

use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::Outcome;
use serde_json::json;
use tokio::time::sleep;

use crate::cluster::{
    Caller, EntryNode, FaultyLink, KeyAudit, TestPlatform, eventually, owned_workers,
    partition_owner, run_test, submission, submit_until_final, worker_owner,
};

pub(crate) const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [
        { name: "batch", class: "batch", tasks: 3, resources: { cpu_milli: 1000, slots: 1 } },
    ],
}"#;

pub(crate) const TASKS: usize = 3;

const FINAL_OUTCOME_LIMIT: Duration = Duration::from_secs(30);

struct SingleCase {
    /// Makes the workers unreachable for 6 s, twice the time of a takeover.
    is_unreachable: bool,
    kills_worker_owner: bool,
    kills_ledger_owner: bool,
}

pub(crate) fn audit(key: &str, payload: &str) -> KeyAudit {
    let mut work = submission(key, "batch", 60_000, payload);
    work.wait_ms = Some(1000);
    KeyAudit {
        work,
        at_most_once: false,
        tasks: TASKS,
        replies: Vec::new(),
    }
}

/// Puts a link in front of each worker. Cutting it also breaks the calls that wait for the end of a
/// task.
pub(crate) async fn link_workers(platform: &mut TestPlatform) -> Vec<FaultyLink> {
    let mut links = Vec::new();
    for (worker, entry) in platform.workers.iter().zip(&mut platform.entries) {
        let link = FaultyLink::open(worker.address).await;
        entry.addr = link.address.to_string();
        links.push(link);
    }
    links
}

/// Waits until every task of the key runs, and returns the numbers of the workers.
pub(crate) async fn wait_running(platform: &TestPlatform, key: &str) -> Vec<usize> {
    eventually("start of every task", Duration::from_secs(5), async || {
        let starts = platform.starts_of(key).await;
        let workers = starts.iter().map(|(worker, _)| *worker);
        (starts.len() == TASKS).then(|| workers.collect())
    })
    .await
}

async fn run_case(case: SingleCase) {
    let mut platform = TestPlatform::start(4, WorkerOptions::default()).await;
    let links = link_workers(&mut platform).await;
    let mut nodes = EntryNode::start_all(&mut platform, 4, MANIFEST).await;
    // Longer than the fault and the takeover that follows.
    let run_ms = if case.is_unreachable { 9000 } else { 5000 };
    let audit = audit("k", &format!("sleep={run_ms}"));
    let caller = Caller::default();
    let reply = caller.submit(nodes[0].caller, &audit.work).await;
    assert_eq!(reply.expect("a reply").outcome, Outcome::Accepted);
    let workers = wait_running(&platform, "k").await;
    let ledger_owner = partition_owner(&nodes, "k").await;
    let mut killed = Vec::new();
    if case.kills_ledger_owner {
        killed.push(ledger_owner);
    }
    if case.kills_worker_owner {
        killed.push(worker_owner(&nodes, &format!("w{}", workers[0])).await);
    }
    if case.is_unreachable {
        links.iter().for_each(|link| link.set_cut(true));
    }
    for node in &killed {
        nodes[*node].kill();
    }
    if case.is_unreachable {
        sleep(Duration::from_secs(6)).await;
        links.iter().for_each(|link| link.set_cut(false));
    }
    let live = nodes
        .iter()
        .enumerate()
        .filter(|(node, _)| !killed.contains(node));
    let entries = live.map(|(_, node)| node.caller).collect();
    let audit = submit_until_final(caller, entries, 0, audit, FINAL_OUTCOME_LIMIT).await;
    assert_eq!(audit.outcome(), Some(Outcome::Done), "{audit:?}");
    platform
        .assert_consistent(std::slice::from_ref(&audit))
        .await;
    // No task was lost, so none may have been started again.
    let starts = platform.starts_of("k").await;
    assert_eq!(starts.len(), TASKS, "{starts:?}");
}

macro_rules! single_tests {
    ($($(#[$doc:meta])* $name:ident: $unreachable:literal, $worker_owner:literal, $ledger_owner:literal;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            run_test(run_case(SingleCase {
                is_unreachable: $unreachable,
                kills_worker_owner: $worker_owner,
                kills_ledger_owner: $ledger_owner,
            }));
        })*
    };
}

single_tests! {
    /// Guards against a task that is placed again because its worker is unreachable for a while.
    unreachable_worker: true, false, false;
    /// Guards against a task that is placed again because the owner of its worker changes.
    killed_worker_owner: false, true, false;
    /// Guards against a new ledger owner that starts tasks that already run.
    killed_ledger_owner: false, false, true;
    /// Guards against a new ledger owner that treats the task of an unreachable worker as lost.
    all_faults_combined: true, true, true;
}

/// Guards against tasks that are started again or given up because their workers answer every call
/// too late for a while: later than the timeout of a lease call, so that all leases are lost.
#[test]
fn slow_workers() {
    run_test(async {
        let mut platform = TestPlatform::start(3, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 2, MANIFEST).await;
        let audit = audit("k", "sleep=8000");
        let caller = Caller::default();
        caller.submit(nodes[0].caller, &audit.work).await;
        wait_running(&platform, "k").await;
        for worker in &platform.workers {
            worker.set_faults(json!({ "delay_ms": 700 })).await;
        }
        sleep(Duration::from_secs(6)).await;
        let mut owned = 0;
        for node in &nodes {
            owned += owned_workers(&node.status().await.expect("status")).len();
        }
        assert_eq!(owned, 0, "the workers are too slow to be leased");
        for worker in &platform.workers {
            worker.set_faults(json!({})).await;
        }
        let entries = vec![nodes[1].caller];
        let audit = submit_until_final(caller, entries, 0, audit, FINAL_OUTCOME_LIMIT).await;
        assert_eq!(audit.outcome(), Some(Outcome::Done), "{audit:?}");
        let audits = std::slice::from_ref(&audit);
        platform.assert_consistent(audits).await;
        let starts = platform.starts_of("k").await;
        assert_eq!(starts.len(), TASKS, "{starts:?}");
    });
}
