//! P4: "not run" is reported only for work that did not run and cannot run later.

use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::{NotRunReason, Outcome, Resources, Submission, WorkReply};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{
    Caller, EntryNode, KeyAudit, TestPlatform, eventually, find_key_owned_by, key_owned_by,
    move_all_partitions_to, partition_owner, publish, run_test, submission, submit_until_final,
};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme", queue_limit: 2 }],
    workloads: [
        { name: "order", class: "order", resources: { cpu_milli: 1000, slots: 1 } },
        { name: "check", class: "check", resources: { connections: 1 } },
        { name: "once", class: "check", repeatable: false, resources: { connections: 1 } },
    ],
}"#;

/// Maximum time until every caller has a final outcome, far above a takeover (3.5 s).
const FINAL_OUTCOME_LIMIT: Duration = Duration::from_secs(20);

fn order(key: &str, deadline_ms: u64, payload: &str) -> KeyAudit {
    let mut work = submission(key, "order", deadline_ms, payload);
    work.wait_ms = Some(work.deadline_ms.min(2000));
    KeyAudit {
        work,
        at_most_once: true,
        tasks: 1,
        replies: Vec::new(),
    }
}

fn slots(slots: u32) -> WorkerOptions {
    let capacity = Resources {
        slots,
        ..WorkerOptions::default().capacity
    };
    WorkerOptions {
        capacity,
        ..WorkerOptions::default()
    }
}

async fn submit_all(nodes: &[EntryNode], audits: Vec<KeyAudit>) -> Vec<KeyAudit> {
    let mut calls = JoinSet::new();
    for (number, mut audit) in audits.into_iter().enumerate() {
        let entry = nodes[number % nodes.len()].caller;
        calls.spawn(async move {
            let reply = Caller::default().submit(entry, &audit.work).await;
            audit.replies.extend(reply);
            audit
        });
    }
    calls.join_all().await
}

/// Submits every key again until its outcome is final, then checks that no outcome has changed.
async fn assert_final(platform: &TestPlatform, nodes: &[&EntryNode], audits: Vec<KeyAudit>) {
    let entries: Vec<_> = nodes.iter().map(|node| node.caller).collect();
    let mut calls = JoinSet::new();
    for (turn, audit) in audits.into_iter().enumerate() {
        let caller = Caller::default();
        let call = submit_until_final(caller, entries.clone(), turn, audit, FINAL_OUTCOME_LIMIT);
        let entries = entries.clone();
        calls.spawn(async move {
            let mut audit = call.await;
            let again = KeyAudit {
                work: audit.work.clone(),
                replies: Vec::new(),
                ..audit
            };
            let caller = Caller::default();
            let again =
                submit_until_final(caller, entries, turn + 1, again, FINAL_OUTCOME_LIMIT).await;
            assert!(again.outcome().is_some(), "no final outcome: {again:?}");
            audit.replies.extend(again.replies);
            audit
        });
    }
    let audits = calls.join_all().await;
    platform.assert_consistent(&audits).await;
}

struct StoreCase {
    before: serde_json::Value,
    outage: serde_json::Value,
    /// Whether all workers are occupied, so that the orders wait, and the owner of their records is
    /// killed during the outage.
    kills_owner: bool,
}

async fn run_store_case(case: StoreCase) {
    let options = if case.kills_owner { slots(1) } else { slots(8) };
    let mut platform = TestPlatform::start(3, options).await;
    let mut nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
    if case.kills_owner {
        for number in 0..3 {
            occupy(&platform, &nodes[0], &format!("busy{number}"), 5000).await;
        }
    }
    let owner = partition_owner(&nodes, "k0").await;
    platform.store.set_faults(case.before).await;
    let audits: Vec<_> = (0..40)
        .map(|number| order(&format!("k{number}"), 30_000, "sleep=20"))
        .collect();
    let mut audits = audits.into_iter();
    // Half of the orders arrive before the outage, and half during it.
    let early: Vec<_> = audits.by_ref().take(20).collect();
    let outage = async {
        sleep(Duration::from_millis(150)).await;
        platform.store.set_faults(case.outage).await;
        sleep(Duration::from_millis(150)).await;
        submit_all(&nodes, audits.collect()).await
    };
    let (mut answered, late) = tokio::join!(submit_all(&nodes, early), outage);
    answered.extend(late);
    if case.kills_owner {
        nodes[owner].kill();
    }
    platform.store.set_faults(json!({})).await;
    let killed = case.kills_owner.then_some(owner);
    let live: Vec<_> = (0..3)
        .filter(|node| Some(*node) != killed)
        .map(|node| &nodes[node])
        .collect();
    assert_final(&platform, &live, answered).await;
}

macro_rules! store_tests {
    ($($(#[$doc:meta])* $name:ident: $case:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { run_test(run_store_case($case)); })*
    };
}

store_tests! {
    /// Guards against work that is refused because the store is down, and runs once it is up again.
    store_refuses: StoreCase {
        before: json!({}),
        outage: json!({ "down": "refuse" }),
        kills_owner: false,
    };
    /// Guards against a write without a reply that is treated as one without effect.
    store_drops_connections: StoreCase {
        before: json!({}),
        outage: json!({ "down": "drop" }),
        kills_owner: false,
    };
    /// Guards against a refusal that is only in the memory of the owner, and is lost when the owner
    /// dies.
    store_refuses_then_takeover: StoreCase {
        before: json!({}),
        outage: json!({ "down": "refuse" }),
        kills_owner: true,
    };
    /// Guards against "not run" for a record whose write took effect without a reply. The next
    /// owner of the partition would find the record and run the work.
    lost_write_reply_then_takeover: StoreCase {
        before: json!({ "lose_replies": { "probability": 1.0 } }),
        outage: json!({ "down": "refuse" }),
        kills_owner: true,
    };
}

/// Guards against "not run" for a check whose start took effect while its reply was lost.
#[test]
fn lost_replies_to_checks() {
    run_test(async {
        let mut platform = TestPlatform::start(2, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 2, MANIFEST).await;
        for worker in &platform.workers {
            let lost = json!({ "lose_replies": { "probability": 1.0 } });
            worker.set_faults(lost).await;
        }
        for workload in ["check", "once"] {
            let audits = (0..20).map(|number| {
                let mut audit = order(&format!("{workload}{number}"), 800, "sleep=20");
                audit.work.workload = workload.to_owned();
                audit.at_most_once = workload == "once";
                audit
            });
            let audits = submit_all(&nodes, audits.collect()).await;
            platform.assert_consistent(&audits).await;
            let unknown = |audit: &&KeyAudit| audit.replies[0].outcome == Outcome::Unknown;
            let unknown = audits.iter().filter(unknown).count();
            assert!(unknown >= audits.len() / 2, "{unknown}: {audits:?}");
        }
    });
}

fn reason(audit: &KeyAudit) -> Option<NotRunReason> {
    audit.replies.first().and_then(|reply| reply.reason)
}

/// Guards against rejected work that stays in a queue, and against work that runs after "not run".
#[test]
fn full_queue_and_passed_deadline() {
    run_test(async {
        let mut platform = TestPlatform::start(1, slots(1)).await;
        let nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let cases = [
            (NotRunReason::QueueFull, 10_000, "sleep=300"),
            (NotRunReason::DeadlinePassed, 400, "sleep=1000"),
        ];
        let mut answered = Vec::new();
        for (expected, deadline_ms, payload) in cases {
            let audits = (0..20)
                .map(|number| order(&format!("{deadline_ms}-{number}"), deadline_ms, payload));
            let audits = submit_all(&nodes, audits.collect()).await;
            assert!(
                audits.iter().any(|audit| reason(audit) == Some(expected)),
                "{expected:?}: {audits:?}"
            );
            answered.extend(audits);
        }
        sleep(Duration::from_secs(2)).await;
        assert_final(&platform, &nodes.iter().collect::<Vec<_>>(), answered).await;
    });
}

/// Occupies one slot for `run_ms`, and returns once the order runs.
async fn occupy(platform: &TestPlatform, node: &EntryNode, key: &str, run_ms: u64) {
    let work = order(key, 30_000, &format!("sleep={run_ms}")).work;
    let entry = node.caller;
    tokio::spawn(async move { Caller::default().submit(entry, &work).await });
    eventually(
        "start of the occupying order",
        FINAL_OUTCOME_LIMIT,
        async || (!platform.starts_of(key).await.is_empty()).then_some(()),
    )
    .await;
}

/// Guards against cancelled work that starts when it reaches the head of the queue.
#[test]
fn cancelled_before_its_start() {
    run_test(async {
        let mut platform = TestPlatform::start(1, slots(1)).await;
        let nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let caller = Caller::default();
        occupy(&platform, &nodes[0], "busy", 5000).await;
        // One order for each process, so that no queue is full.
        let audits = (0..3).map(|number| order(&format!("k{number}"), 30_000, "sleep=20"));
        let mut answered = submit_all(&nodes, audits.collect()).await;
        for audit in &answered {
            assert_eq!(audit.replies[0].outcome, Outcome::Accepted, "{audit:?}");
        }
        for (number, audit) in answered.iter_mut().enumerate() {
            let entry = nodes[(number + 1) % nodes.len()].caller;
            let reply = caller.cancel(entry, &audit.work).await.expect("a reply");
            assert_eq!(reply.outcome, Outcome::Cancelled, "{reply:?}");
            audit.replies.push(reply);
        }
        sleep(Duration::from_secs(4)).await;
        for audit in &answered {
            let starts = platform.starts_of(&audit.work.key).await;
            assert!(starts.is_empty(), "{audit:?} {starts:?}");
        }
        assert_final(&platform, &nodes.iter().collect::<Vec<_>>(), answered).await;
    });
}

/// Submits work that has to be refused, and returns the reply.
async fn refused_at(entry: &EntryNode, work: &Submission) -> WorkReply {
    let reply = Caller::default()
        .submit(entry.caller, work)
        .await
        .expect("a reply");
    assert_eq!(reply.outcome, Outcome::NotRun, "{reply:?}");
    reply
}

/// Returns a key whose partition is owned by a process other than `node`. On a busy machine the process
/// that starts first owns all partitions, and keeps them; they are then moved to the process `other`.
async fn key_not_owned_by(
    nodes: &mut [EntryNode],
    node: usize,
    other: usize,
    prefix: &str,
) -> String {
    let accepts = |owner: usize| owner != node;
    if let Some(key) = find_key_owned_by(nodes, prefix, accepts).await {
        return key;
    }
    move_all_partitions_to(nodes, other, 1).await;
    key_owned_by(nodes, prefix, accepts).await
}

/// Guards against a duplicate that a paused entry process forwards after another process has replied
/// "not run" to the caller.
#[test]
fn late_duplicate_of_a_paused_process() {
    run_test(async {
        let mut platform = TestPlatform::start(1, slots(1)).await;
        let mut nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let (paused, other) = (0, 1);
        let mut answered = Vec::new();
        for turn in 0..2 {
            let prefix = format!("late{turn}-");
            let key = key_not_owned_by(&mut nodes, paused, other, &prefix).await;
            let mut audit = order(&key, 300, "sleep=20");
            occupy(&platform, &nodes[other], &format!("busy{turn}"), 1500).await;
            // The first submission waits in the listener of the paused process.
            nodes[paused].signal("STOP");
            let (entry, work) = (nodes[paused].caller, audit.work.clone());
            let late = tokio::spawn(async move { Caller::default().submit(entry, &work).await });
            sleep(Duration::from_millis(50)).await;
            audit
                .replies
                .push(refused_at(&nodes[other], &audit.work).await);
            sleep(Duration::from_millis(1500)).await;
            nodes[paused].signal("CONT");
            audit.replies.extend(late.await.expect("the late call"));
            answered.push(audit);
        }
        sleep(Duration::from_secs(1)).await;
        assert_final(&platform, &nodes.iter().collect::<Vec<_>>(), answered).await;
    });
}

/// Publishes a manifest and waits until it is in effect on every process.
async fn publish_and_wait(platform: &TestPlatform, nodes: &[EntryNode], text: &str, revision: u64) {
    let output = publish(platform, text);
    assert!(output.status.success(), "{output:?}");
    for node in nodes {
        eventually("the manifest in effect", FINAL_OUTCOME_LIMIT, async || {
            let status = node.status().await?;
            (status["manifest_revision"] == revision).then_some(())
        })
        .await;
    }
}

/// Guards against "not run" under the current manifest for a key that ran under an earlier one.
#[test]
fn workload_changed_after_the_run() {
    run_test(async {
        let mut platform = TestPlatform::start(1, slots(2)).await;
        let nodes = EntryNode::start_all(&mut platform, 2, MANIFEST).await;
        let entry =
            r#"{ name: "order", class: "order", resources: { cpu_milli: 1000, slots: 1 } }"#;
        let service = entry.replace(r#"class: "order""#, r#"class: "service", customer: "acme""#);
        let other = entry.replace(r#"name: "order""#, r#"name: "other""#);
        let mut answered = Vec::new();
        for (number, workload) in [service, other].into_iter().enumerate() {
            let mut audit = order(&format!("k{number}"), 5000, "sleep=20");
            let caller = Caller::default();
            audit
                .replies
                .extend(caller.submit(nodes[0].caller, &audit.work).await);
            assert_eq!(audit.outcome(), Some(Outcome::Done), "{audit:?}");
            let changed = MANIFEST.replace(entry, &workload);
            publish_and_wait(&platform, &nodes, &changed, 2 * number as u64 + 2).await;
            for node in &nodes {
                audit
                    .replies
                    .extend(caller.submit(node.caller, &audit.work).await);
            }
            answered.push(audit);
            publish_and_wait(&platform, &nodes, MANIFEST, 2 * number as u64 + 3).await;
        }
        platform.assert_consistent(&answered).await;
    });
}
