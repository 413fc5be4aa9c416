//! Urgent work starts within 1.2 s at full load.

use std::time::{Duration, Instant};

use hs_standin::WorkerOptions;
use hs_wire::Outcome;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{Caller, EntryNode, TestPlatform, eventually, run_test, submission};

/// Maximum time from the submission of urgent work to its end. Its run time is 20 ms.
const URGENT_LIMIT: Duration = Duration::from_millis(1200);

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [
        { name: "long", class: "batch", tasks: 60, resources: { cpu_milli: 1000, slots: 1 } },
        { name: "check", class: "check", resources: { cpu_milli: 1000, slots: 1 } },
        { name: "alarm", class: "check", urgent: true, resources: { cpu_milli: 1000, slots: 1 } },
        { name: "recall", class: "order", urgent: true, resources: { cpu_milli: 1000, slots: 1 } },
    ],
    short_reserve: { resources: { cpu_milli: 1000, slots: 1 } },
}"#;

/// Guards against urgent work that waits behind long tasks, or behind queued checks that share the
/// reserved capacity with it.
#[test]
fn urgent_work_starts_in_time_at_full_load() {
    run_test(async {
        let mut platform = TestPlatform::start(6, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let caller = Caller::default();
        let mut long = submission("long", "long", 120_000, "sleep=60000");
        long.wait_ms = Some(0);
        let reply = caller
            .submit(nodes[0].caller, &long)
            .await
            .expect("a reply");
        assert_eq!(reply.outcome, Outcome::Accepted, "{reply:?}");
        // 42 of 48 slots; the other six are reserved.
        eventually(
            "long work on all its slots",
            Duration::from_secs(10),
            async || {
                let logs = platform.logs().await;
                let starts = logs.iter().flat_map(|log| &log.0);
                let long = starts.filter(|start| start.payload == long.payload);
                (long.count() == 42).then_some(())
            },
        )
        .await;
        let mut checks = JoinSet::new();
        for number in 0..240 {
            let work = submission(&format!("c{number}"), "check", 20_000, "sleep=150");
            let (caller, entry) = (caller.clone(), nodes[number % nodes.len()].caller);
            checks.spawn(async move { caller.submit(entry, &work).await });
        }
        sleep(Duration::from_millis(300)).await;
        for number in 0..9 {
            let workload = if number % 3 == 0 { "recall" } else { "alarm" };
            let work = submission(&format!("u{number}"), workload, 10_000, "sleep=20");
            let begin = Instant::now();
            let reply = caller
                .submit(nodes[number % nodes.len()].caller, &work)
                .await;
            let took = begin.elapsed();
            let reply = reply.expect("a reply");
            assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
            assert!(took <= URGENT_LIMIT, "{workload} took {took:?}: {reply:?}");
        }
        assert!(
            !checks.is_empty(),
            "the load was over before the urgent work"
        );
        let still_waiting = nodes[0].status().await.expect("status")["queued"].as_u64();
        assert!(still_waiting > Some(0), "no queue beside the urgent work");
        platform.assert_within_capacity().await;
    });
}
