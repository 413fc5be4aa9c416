//! Services: the number of replicas follows the manifest.

use std::collections::BTreeMap;
use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::{TaskPhase, VmState};

use crate::cluster::{EntryNode, TestPlatform, eventually, publish, run_test};

fn manifest(replicas: u16) -> String {
    format!(
        r#"{{
        customers: [{{ name: "acme" }}],
        workloads: [
            {{ name: "pricing", class: "service", customer: "acme", tasks: {replicas},
              resources: {{ cpu_milli: 1000, slots: 1 }}, payload: "sleep=600000" }},
        ],
    }}"#
    )
}

/// Returns the number of running starts of each replica, by replica number.
async fn running(platform: &TestPlatform) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for log in platform.logs().await {
        for start in log
            .0
            .iter()
            .filter(|start| start.phase == TaskPhase::Running)
        {
            let number = start.id.0.split(':').nth(2).unwrap_or_default();
            *counts.entry(number.to_owned()).or_insert(0) += 1;
        }
    }
    counts
}

/// Returns the index of the process that owns the service: the only one that stops surplus replicas.
fn service_owner(nodes: &[EntryNode]) -> usize {
    let stopped = |node: &EntryNode| node.log().matches("E7002").count();
    let owners: Vec<usize> = (0..nodes.len())
        .filter(|index| stopped(&nodes[*index]) > 0)
        .collect();
    assert_eq!(
        owners.len(),
        1,
        "processes that stopped replicas: {owners:?}"
    );
    owners[0]
}

/// Waits until exactly one start of each replica runs.
async fn wait_for(platform: &TestPlatform, replicas: u16, limit: Duration) {
    let wanted: BTreeMap<String, usize> =
        (0..replicas).map(|index| (index.to_string(), 1)).collect();
    eventually(&format!("{replicas} replicas"), limit, async || {
        (running(platform).await == wanted).then_some(())
    })
    .await;
}

/// Guards against replicas that are missing or duplicated after a change of the count, the death of
/// the owner of the service, and a worker that leaves.
#[test]
fn replicas_follow_the_manifest_and_survive_their_owner() {
    run_test(async {
        let mut platform = TestPlatform::start(6, WorkerOptions::default()).await;
        let mut nodes = EntryNode::start_all(&mut platform, 3, &manifest(7)).await;
        let limit = Duration::from_secs(15);
        wait_for(&platform, 7, limit).await;
        assert!(publish(&platform, &manifest(4)).status.success());
        wait_for(&platform, 4, limit).await;
        let before = platform.logs().await;
        let owner = service_owner(&nodes);
        nodes[owner].kill();
        // Longer than the takeover of the workers and of the service together, in which no replica
        // may be duplicated.
        tokio::time::sleep(Duration::from_secs(9)).await;
        wait_for(&platform, 4, Duration::from_secs(1)).await;
        let started =
            |logs: &[hs_standin::WorkerLog]| logs.iter().map(|log| log.0.len()).sum::<usize>();
        let after = platform.logs().await;
        assert_eq!(
            started(&after),
            started(&before),
            "a running replica was replaced"
        );
        assert!(publish(&platform, &manifest(5)).status.success());
        wait_for(&platform, 5, limit).await;
        let after = platform.logs().await;
        let busy = after
            .iter()
            .position(|log| log.0.iter().any(|start| start.phase == TaskPhase::Running));
        let busy = busy.expect("a worker with replicas");
        platform.entries[busy].state = VmState::Leaving;
        platform.publish_vms().await;
        eventually("an empty worker", limit, async || {
            let logs = platform.logs().await;
            let is_empty = logs[busy]
                .0
                .iter()
                .all(|start| start.phase != TaskPhase::Running);
            is_empty.then_some(())
        })
        .await;
        wait_for(&platform, 5, limit).await;
        platform.assert_within_capacity().await;
    });
}
