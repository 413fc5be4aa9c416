//! Gangs that need more slots than the workers of one entry process have.

use hs_standin::{WorkerOptions, WorkerStart};
use hs_wire::Outcome;
use tokio::task::JoinSet;

use crate::cluster::{Caller, EntryNode, TestPlatform, run_test, submission};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [
        { name: "wide", class: "gang", tasks: 30, resources: { cpu_milli: 1000, slots: 1 } },
        { name: "wider", class: "gang", tasks: 60, resources: { cpu_milli: 1000, slots: 1 } },
    ],
}"#;

/// Guards against gangs that start only in part, and against a deadlock of two gangs that hold
/// reservations. Each needs more slots than any owner has, and two need more than the 48 of the
/// cluster.
#[test]
fn wide_gangs_start_together_and_do_not_block_each_other() {
    run_test(async {
        let mut platform = TestPlatform::start(6, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let mut calls = JoinSet::new();
        for number in 0..4 {
            let work = submission(&format!("g{number}"), "wide", 20_000, "sleep=600");
            let entry = nodes[number % nodes.len()].caller;
            calls.spawn(async move {
                let reply = Caller::default()
                    .submit(entry, &work)
                    .await
                    .expect("a reply");
                assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
                assert_eq!(reply.results.len(), 30);
                work.payload
            });
        }
        let payloads = calls.join_all().await;
        let logs = platform.logs().await;
        for payload in payloads {
            let starts = logs.iter().flat_map(|log| &log.0);
            let starts: Vec<&WorkerStart> =
                starts.filter(|start| start.payload == payload).collect();
            assert_eq!(starts.len(), 30, "starts of {payload}");
            let last_start = starts.iter().map(|start| start.started_ms).max();
            let first_end = starts.iter().filter_map(|start| start.ended_ms).min();
            assert!(last_start < first_end, "{payload} did not run together");
        }
        platform.assert_within_capacity().await;
        let work = submission("g-wider", "wider", 5000, "");
        let reply = Caller::default()
            .submit(nodes[0].caller, &work)
            .await
            .expect("a reply");
        assert_eq!(
            reply.outcome,
            Outcome::NotRun,
            "60 tasks never fit 48 slots: {reply:?}"
        );
    });
}
