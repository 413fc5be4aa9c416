//! Mixed work through three entry processes, with store, VM list and workers as processes too.

use std::process::{Child, Command};
use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::Outcome;
use tokio::task::JoinSet;

use crate::cluster::{
    Caller, EntryNode, NodeSpec, TestPlatform, eventually, free_address, publish, run_test,
    submission, wait_owned,
};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [
        { name: "check", class: "check", resources: { cpu_milli: 100, connections: 1 } },
        { name: "order", class: "order", resources: { cpu_milli: 1000, slots: 1 } },
        { name: "batch", class: "batch", tasks: 3, resources: { cpu_milli: 1000, slots: 1 } },
        { name: "gang", class: "gang", tasks: 4, resources: { cpu_milli: 1000, slots: 1 } },
    ],
}"#;

struct MixedCase {
    workload: &'static str,
    count: usize,
    results: usize,
}

/// Guards against answers that go to the wrong caller, and against work that one entry process
/// accepts and another does not know.
#[test]
fn mixed_work_through_any_entry_process() {
    run_test(async {
        let mut platform = TestPlatform::start(6, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let cases = [
            MixedCase {
                workload: "check",
                count: 200,
                results: 1,
            },
            MixedCase {
                workload: "order",
                count: 30,
                results: 1,
            },
            MixedCase {
                workload: "batch",
                count: 5,
                results: 3,
            },
            MixedCase {
                workload: "gang",
                count: 5,
                results: 4,
            },
        ];
        let mut calls = JoinSet::new();
        let caller = Caller::default();
        for case in &cases {
            for number in 0..case.count {
                let key = format!("{}-{number}", case.workload);
                let work = submission(&key, case.workload, 15_000, "sleep=10");
                let entry = nodes[number % nodes.len()].caller;
                let (caller, results) = (caller.clone(), case.results);
                calls.spawn(async move {
                    let reply = caller.submit(entry, &work).await.expect("a reply");
                    assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
                    assert_eq!(reply.key, key);
                    assert_eq!(reply.results, vec![key; results]);
                });
            }
        }
        while let Some(call) = calls.join_next().await {
            call.expect("an answer of the caller's own");
        }
        let asked = submission("order-1", "order", 15_000, "sleep=10");
        for node in &nodes {
            let (status, reply) = caller.query(node.caller, &asked).await.expect("a reply");
            assert_eq!(
                (status, reply.expect("a record").outcome),
                (200, Outcome::Done)
            );
        }
        platform.assert_within_capacity().await;
    });
}

struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against stand-ins that only work inside a test: the platform runs as processes here.
#[test]
fn every_part_as_its_own_process() {
    run_test(async {
        let mut platform = TestPlatform::start(0, WorkerOptions::default()).await;
        let worker = free_address().to_string();
        let start = |words: &[&str]| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_hornbeamshunt"));
            ChildGuard(
                command
                    .arg("standin")
                    .args(words)
                    .spawn()
                    .expect("stand-in"),
            )
        };
        let store = free_address().to_string();
        let _worker = start(&["worker", "--listen", &worker]);
        let _store = start(&["store", "--listen", &store]);
        platform.entries.push(hs_wire::VmEntry {
            id: "w0".to_owned(),
            addr: worker,
            data_centre: "dc1".to_owned(),
            rack: String::new(),
            role: hs_wire::VmRole::Worker,
            state: hs_wire::VmState::Live,
            capacity: WorkerOptions::default().capacity,
        });
        platform.store.address = store.parse().expect("address");
        eventually("store", Duration::from_secs(5), async || {
            let output = publish(&platform, MANIFEST);
            output.status.success().then_some(())
        })
        .await;
        let mut node = EntryNode::prepare(&mut platform, 0, NodeSpec::default()).await;
        platform.publish_vms().await;
        node.spawn();
        wait_owned(std::slice::from_ref(&node), 1).await;
        let work = submission("k", "order", 5000, "sleep=10");
        let reply = Caller::default()
            .submit(node.caller, &work)
            .await
            .expect("a reply");
        assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    });
}
