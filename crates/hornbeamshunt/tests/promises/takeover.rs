//! Takeover: the workers of a killed owner accept work again within 3 s.

use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::Resources;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{
    Caller, EntryNode, TestPlatform, owned_workers, run_test, submission, unix_time_ms,
};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [{ name: "check", class: "check", resources: { connections: 1 } }],
}"#;

/// Maximum time until the workers of a dead owner accept work again.
const TAKEOVER_LIMIT_MS: u64 = 3000;

/// Guards against workers that stay without an owner, and against a takeover that takes too long.
/// After the second kill one process owns all workers.
#[test]
fn workers_of_a_killed_owner() {
    run_test(async {
        let options = WorkerOptions {
            // So small that the load of the test uses every worker.
            capacity: Resources {
                connections: 2,
                ..WorkerOptions::default().capacity
            },
            ..WorkerOptions::default()
        };
        let mut platform = TestPlatform::start(6, options).await;
        let mut nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let mut loads = JoinSet::new();
        for name in 0..40 {
            let entry = nodes[0].caller;
            loads.spawn(async move {
                let caller = Caller::default();
                for turn in 0.. {
                    let key = format!("c{name}-{turn}");
                    caller
                        .submit(entry, &submission(&key, "check", 2000, "sleep=30"))
                        .await;
                }
            });
        }
        sleep(Duration::from_secs(1)).await;
        for killed in [1, 2] {
            let status = nodes[killed].status().await.expect("status");
            let workers = owned_workers(&status);
            assert!(!workers.is_empty(), "e{killed} owns no worker: {status}");
            let fences: Vec<u64> = status["workers"]
                .as_array()
                .into_iter()
                .flatten()
                .map(|worker| worker["fence"].as_u64().expect("fence"))
                .collect();
            let killed_ms = unix_time_ms();
            nodes[killed].kill();
            sleep(Duration::from_millis(TAKEOVER_LIMIT_MS + 300)).await;
            let logs = platform.logs().await;
            for (name, fence) in workers.iter().zip(fences) {
                let number: usize = name[1..].parse().expect("number of the worker");
                // A start under the old fencing token was granted before the kill.
                let first = logs[number].0.iter().find(|start| start.fence > fence);
                let first_ms = first.map(|start| start.started_ms - killed_ms);
                assert!(
                    first_ms.is_some_and(|first_ms| first_ms <= TAKEOVER_LIMIT_MS),
                    "{name} of e{killed} started new work after {first_ms:?} ms"
                );
            }
        }
        loads.shutdown().await;
    });
}
