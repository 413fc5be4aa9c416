//! P3: every check receives its own complete response.

use std::collections::HashSet;
use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::Outcome;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::cluster::{Caller, EntryNode, TestPlatform, run_test, submission};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [{ name: "check", class: "check", resources: { cpu_milli: 100, connections: 1 } }],
}"#;

const CHECKS: usize = 600;

#[derive(Clone, Copy)]
struct AnswerCase {
    /// Delay that each worker adds to every call, in milliseconds.
    delays_ms: [u64; 3],
    /// For one check in so many, the wait of the caller ends before the answer; 0 for none.
    late_every: usize,
    /// For one check in so many, the caller disconnects before the answer; 0 for none.
    disconnect_every: usize,
}

/// Submits one check and verifies the reply. Returns whether the caller got its answer.
async fn check(entry: std::net::SocketAddr, number: usize, case: AnswerCase) -> bool {
    let is_one_in = |every: usize| every > 0 && number.is_multiple_of(every);
    // Run times vary, so that responses arrive out of order.
    let run_ms = (number * 37) % 300;
    let key = format!("c{number}");
    // The result is longer than one segment, so that a truncated one would be noticed.
    let body = format!("{key}{}", ".x".repeat(2000));
    let mut work = submission(&key, "check", 10_000, &format!("sleep={run_ms}"));
    work.payload = format!("sleep={run_ms} echo={body}");
    if is_one_in(case.late_every) {
        work.wait_ms = Some(run_ms as u64 / 2);
    }
    let caller = Caller::default();
    if is_one_in(case.disconnect_every) {
        let wait = Duration::from_millis(run_ms as u64 / 2);
        let _ = timeout(wait, caller.submit(entry, &work)).await;
        return false;
    }
    let reply = caller.submit(entry, &work).await.expect("a reply");
    assert_eq!(reply.key, key);
    match reply.outcome {
        Outcome::Done => assert_eq!(reply.results, [body], "{key}"),
        Outcome::Unknown | Outcome::NotRun if is_one_in(case.late_every) => {
            assert!(reply.results.is_empty(), "{reply:?}");
        }
        _ => panic!("{reply:?}"),
    }
    reply.outcome == Outcome::Done
}

async fn run_case(case: AnswerCase) {
    let mut platform = TestPlatform::start(3, WorkerOptions::default()).await;
    let nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
    for (worker, delay_ms) in platform.workers.iter().zip(case.delays_ms) {
        worker.set_faults(json!({ "delay_ms": delay_ms })).await;
    }
    let mut calls = JoinSet::new();
    for number in 0..CHECKS {
        calls.spawn(check(nodes[number % 3].caller, number, case));
        sleep(Duration::from_millis(2)).await;
    }
    let mut answered = 0;
    while let Some(call) = calls.join_next().await {
        answered += usize::from(call.expect("a caller's own answer"));
    }
    let share = |every: usize| CHECKS.checked_div(every).map_or(0, |count| count + 1);
    let min_answered = CHECKS - share(case.late_every) - share(case.disconnect_every);
    assert!(
        answered >= min_answered,
        "{answered} of {min_answered} answers"
    );
    let mut ids = HashSet::new();
    for start in platform.logs().await.iter().flat_map(|log| &log.0) {
        assert!(ids.insert(start.id.clone()), "{} ran twice", start.id);
        let words: Vec<&str> = start.payload.split(' ').collect();
        assert_eq!(words.len(), 2, "{}", start.payload);
    }
    platform.assert_within_capacity().await;
}

macro_rules! answer_tests {
    ($($(#[$doc:meta])* $name:ident: $case:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { run_test(run_case($case)); })*
    };
}

answer_tests! {
    /// Guards against answers that reach another caller when they arrive out of order.
    out_of_order: AnswerCase { delays_ms: [0, 0, 0], late_every: 0, disconnect_every: 0 };
    /// Guards against a late answer that reaches the caller of a later check.
    late_and_slow_workers: AnswerCase { delays_ms: [0, 20, 60], late_every: 5, disconnect_every: 0 };
    /// Guards against the answer of a disconnected caller that reaches another one.
    disconnected_callers: AnswerCase { delays_ms: [0, 20, 60], late_every: 7, disconnect_every: 3 };
}
