//! P5: a durable task that is not repeatable runs at most once.

use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::Outcome;
use serde_json::json;
use tokio::task::JoinSet;

use crate::cluster::{
    Caller, EntryNode, FaultyLink, HoldKind, KeyAudit, NodeSpec, TestPlatform, eventually,
    find_key_owned_by, move_all_partitions_to, partition_owner, publish, run_test, submission,
    submit_until_final, wait_until_owned, worker_owner,
};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [{ name: "order", class: "order", resources: { cpu_milli: 1000, slots: 1 } }],
}"#;

/// Maximum time until every caller has a final outcome, far above two takeovers (3.5 s each).
const FINAL_OUTCOME_LIMIT: Duration = Duration::from_secs(25);

fn audit(key: &str, payload: &str) -> KeyAudit {
    let mut work = submission(key, "order", 25_000, payload);
    // A call to a paused process would otherwise use up the time of the test.
    work.wait_ms = Some(2000);
    KeyAudit {
        work,
        at_most_once: true,
        tasks: 1,
        replies: Vec::new(),
    }
}

async fn assert_each_done_once(platform: &TestPlatform, audits: &[KeyAudit]) {
    platform.assert_consistent(audits).await;
    for audit in audits {
        let starts = platform.starts_of(&audit.work.key).await;
        assert_eq!(audit.outcome(), Some(Outcome::Done), "{audit:?}");
        assert_eq!(starts.len(), 1, "{audit:?} {starts:?}");
    }
}

/// Guards against two entry processes that both create a record for the same key.
#[test]
fn same_key_at_every_process_at_once() {
    run_test(async {
        let mut platform = TestPlatform::start(6, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let mut calls = JoinSet::new();
        for number in 0..30 {
            for node in &nodes {
                let audit = audit(&format!("k{number}"), "sleep=20");
                let call = submit_until_final(
                    Caller::default(),
                    vec![node.caller],
                    0,
                    audit,
                    FINAL_OUTCOME_LIMIT,
                );
                calls.spawn(call);
            }
        }
        let audits = calls.join_all().await;
        assert_each_done_once(&platform, &audits).await;
    });
}

/// Guards against a task that is started again, on the same or another worker, because the reply to
/// its start was lost.
#[test]
fn lost_reply_of_a_start() {
    run_test(async {
        let mut platform = TestPlatform::start(3, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let entries: Vec<_> = nodes.iter().map(|node| node.caller).collect();
        for worker in &platform.workers {
            let lost =
                json!({ "lose_replies": { "next": 4 }, "lose_lease_replies": { "next": 1 } });
            worker.set_faults(lost).await;
        }
        let mut calls = JoinSet::new();
        for number in 0..24 {
            let audit = audit(&format!("k{number}"), "sleep=20");
            let caller = Caller::default();
            calls.spawn(submit_until_final(
                caller,
                entries.clone(),
                number,
                audit,
                FINAL_OUTCOME_LIMIT,
            ));
        }
        let audits = calls.join_all().await;
        assert_each_done_once(&platform, &audits).await;
    });
}

/// Point at which the owner of the partition is paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PausePoint {
    /// Its commit of the placed state is in transit to the store.
    BeforeCommit,
    /// The commit is confirmed and the start is in transit to the worker. The number says how many
    /// owners in a row are paused there.
    BeforeStart(usize),
}

struct LateStartCase {
    point: PausePoint,
    /// Whether the first process that is paused owns a worker.
    owns_worker: bool,
}

/// Part of a store value that has a placed first attempt.
const PLACED: &str = r#""s":"p","w""#;

/// Parts of the start requests of a first and a second attempt. Queries about a task lack them.
const STARTS: [&str; 2] = [r#".0.0","fence""#, r#".0.1","fence""#];

/// Returns a key whose partition is owned by a process that owns a worker, or by one that owns none.
async fn key_for_case(nodes: &mut [EntryNode], workers: usize, owns_worker: bool) -> String {
    // Workers move between the processes until these have discovered each other.
    for _ in 0..3 {
        let mut owners = Vec::new();
        for worker in 0..workers {
            owners.push(worker_owner(nodes, &format!("w{worker}")).await);
        }
        let accepts = |node: usize| owners.contains(&node) == owns_worker;
        if let Some(key) = find_key_owned_by(nodes, "k", accepts).await {
            return key;
        }
        let wanted = (0..nodes.len()).find(|node| accepts(*node));
        let wanted = wanted.expect("a process that fits the case");
        move_all_partitions_to(nodes, wanted, workers).await;
    }
    panic!("no key has an accepted owner");
}

async fn run_late_start_case(case: LateStartCase) {
    let (workers, starts) = match case.point {
        // With several workers the second process chooses another worker than the first. The worker
        // of the first would recognise the task by its id.
        PausePoint::BeforeCommit => (6, 0),
        PausePoint::BeforeStart(starts) => (1, starts),
    };
    let mut platform = TestPlatform::start(workers, WorkerOptions::default()).await;
    let worker_link = FaultyLink::open(platform.workers[0].address).await;
    platform.entries[0].addr = worker_link.address.to_string();
    let mut nodes = Vec::new();
    let mut store_links = Vec::new();
    for number in 0..3 {
        let link = FaultyLink::open(platform.store.address).await;
        let spec = NodeSpec {
            store: Some(link.address),
            ..NodeSpec::default()
        };
        nodes.push(EntryNode::prepare(&mut platform, number, spec).await);
        store_links.push(link);
    }
    platform.publish_vms().await;
    publish(&platform, MANIFEST);
    for node in &mut nodes {
        node.spawn();
    }
    wait_until_owned(&nodes, workers).await;
    let key = key_for_case(&mut nodes, workers, case.owns_worker).await;
    let first = partition_owner(&nodes, &key).await;
    for start in &STARTS[..starts] {
        worker_link.hold(HoldKind::Request, start);
    }
    if case.point == PausePoint::BeforeCommit {
        store_links[first].hold(HoldKind::Request, PLACED);
    }
    // Long enough that the placed state is written before a task ends that was started too early.
    let mut audit = audit(&key, "sleep=500");
    let (work, entry) = (audit.work.clone(), nodes[(first + 1) % 3].caller);
    let call = tokio::spawn(async move { Caller::default().submit(entry, &work).await });
    let mut paused = Vec::new();
    for stop in 0..starts.max(1) {
        eventually("a message in transit", FINAL_OUTCOME_LIMIT, async || {
            let held = worker_link.held_count() + store_links[first].held_count();
            (held > stop).then_some(())
        })
        .await;
        let owner = partition_owner(&nodes, &key).await;
        nodes[owner].signal("STOP");
        paused.push(owner);
    }
    let running = (0..nodes.len()).find(|node| !paused.contains(node));
    let entries = vec![nodes[running.expect("a running process")].caller];
    audit = submit_until_final(Caller::default(), entries, 0, audit, FINAL_OUTCOME_LIMIT).await;
    let refused = platform.refused_fences().await;
    worker_link.remove_holds();
    store_links[first].remove_holds();
    eventually(
        "refusal of late starts",
        Duration::from_secs(3),
        async || (platform.refused_fences().await >= refused + starts as u64).then_some(()),
    )
    .await;
    for node in paused {
        nodes[node].signal("CONT");
    }
    audit.replies.extend(call.await.expect("the first call"));
    // Time in which a resumed process could send a forbidden start.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_each_done_once(&platform, &[audit]).await;
}

macro_rules! late_tests {
    ($($(#[$doc:meta])* $name:ident: $point:expr, $owns_worker:literal;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            run_test(run_late_start_case(LateStartCase { point: $point, owns_worker: $owns_worker }));
        })*
    };
}

late_tests! {
    /// Guards against a start that is sent before its record is durable.
    stopped_before_commit: PausePoint::BeforeCommit, true;
    /// Guards against the late start of a paused owner on a worker that it owned.
    late_start_on_own_worker: PausePoint::BeforeStart(1), true;
    /// Guards against the late start of a paused owner on a worker whose owner stays the same.
    late_start_on_peers_worker: PausePoint::BeforeStart(1), false;
    /// Guards against the late starts of two paused owners, one after the other.
    late_start_twice: PausePoint::BeforeStart(2), false;
}
