//! Mixed work through three entry processes, in one test with every part as a process.

use std::net::SocketAddr;
use std::process::{Child, Command};
use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::{Outcome, VmEntry, VmRole, VmState};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::cluster::{
    Caller, EntryNode, NodeSpec, TestPlatform, eventually, free_address, publish, run_test,
    submission, wait_until_owned,
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

/// Guards against answers that reach the wrong caller, and against work that one entry process
/// accepts and another has no record of.
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
        let queried = submission("order-1", "order", 15_000, "sleep=10");
        for node in &nodes {
            let (status, reply) = caller.query(node.caller, &queried).await.expect("a reply");
            assert_eq!(
                (status, reply.expect("a record").outcome),
                (200, Outcome::Done)
            );
        }
        platform.assert_within_capacity().await;
    });
}

/// A child process that is killed when it is dropped.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against parts that only work inside the test process. Here three entry processes, the
/// store, the VM list and a worker all run as processes.
#[test]
fn every_part_as_its_own_process() {
    run_test(async {
        let mut platform = TestPlatform::start(0, WorkerOptions::default()).await;
        let (store, vms, worker) = (free_address(), free_address(), free_address());
        let start = |kind: &str, address: SocketAddr| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_hornbeamshunt"));
            command.args(["standin", kind, "--listen", &address.to_string()]);
            ChildGuard(command.spawn().expect("stand-in"))
        };
        let _parts = [
            start("store", store),
            start("vms", vms),
            start("worker", worker),
        ];
        platform.store.address = store;
        platform.vms.address = vms;
        platform.entries.push(VmEntry {
            id: "w0".to_owned(),
            addr: worker.to_string(),
            data_centre: "dc1".to_owned(),
            rack: "r0".to_owned(),
            role: VmRole::Worker,
            state: VmState::Live,
            capacity: WorkerOptions::default().capacity,
        });
        for address in [store, vms, worker] {
            eventually("stand-ins", Duration::from_secs(5), async || {
                TcpStream::connect(address).await.ok()
            })
            .await;
        }
        assert!(publish(&platform, MANIFEST).status.success());
        let mut nodes = Vec::new();
        for number in 0..3 {
            nodes.push(EntryNode::prepare(&mut platform, number, NodeSpec::default()).await);
        }
        platform.publish_vms().await;
        for node in &mut nodes {
            node.spawn();
        }
        wait_until_owned(&nodes, 1).await;
        let cases = [("check", 1), ("order", 1), ("batch", 3), ("gang", 4)];
        for (turn, (workload, results)) in cases.into_iter().cycle().take(12).enumerate() {
            let key = format!("{workload}-{turn}");
            let work = submission(&key, workload, 10_000, "sleep=10");
            let reply = Caller::default()
                .submit(nodes[turn % 3].caller, &work)
                .await;
            let reply = reply.expect("a reply");
            assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
            assert_eq!(reply.results, vec![key; results], "the caller's own answer");
        }
    });
}
