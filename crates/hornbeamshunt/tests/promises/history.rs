//! P4 and P5, checked for linearizability: the replies that concurrent callers get about one key,
//! through several processes and under faults, have to agree with one record that changes only from
//! open to one final outcome.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::{Outcome, Submission, WorkReply};
use serde_json::json;
use todc_utils::Action::{self, Call, Response};
use todc_utils::{History, Specification, WGLChecker};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{
    Caller, EntryNode, TestPlatform, eventually, key_owned_by, partition_owner, run_test,
    submission,
};

const MANIFEST: &str = r#"{
    customers: [{ name: "acme" }],
    workloads: [{ name: "order", class: "order", resources: { cpu_milli: 1000, slots: 1 } }],
}"#;

/// Number of callers of one key. Histories are short, since the check takes exponential time.
const CALLERS: usize = 3;

/// Number of calls of each caller.
const CALLS: usize = 5;

/// Number of keys, each with a history of its own.
const KEYS: usize = 8;

/// What a reply says about a key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum KeyAnswer {
    /// No reply, or an unknown outcome.
    Unclear,
    NoRecord,
    Open,
    Final(Outcome),
}

use KeyAnswer::{Final, NoRecord, Open, Unclear};

/// A call about one key, with its answer once it has one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KeyCall {
    Submit(Option<KeyAnswer>),
    Query(Option<KeyAnswer>),
    Cancel(Option<KeyAnswer>),
}

/// Sequential specification of the record of one key.
struct KeySpec;

impl Specification for KeySpec {
    /// The answer to a query in this state.
    type State = KeyAnswer;
    type Operation = KeyCall;

    fn init() -> KeyAnswer {
        NoRecord
    }

    fn apply(call: &KeyCall, state: &KeyAnswer) -> (bool, KeyAnswer) {
        let (KeyCall::Submit(answer) | KeyCall::Query(answer) | KeyCall::Cancel(answer)) = call;
        match (answer, state) {
            (None, _) => (false, *state),
            // A submission without an answer may have created the record that a later call finds.
            (Some(Unclear), _) => (true, *state),
            (Some(NoRecord), _) => {
                let is_submit = matches!(call, KeyCall::Submit(_));
                (!is_submit && *state == NoRecord, *state)
            }
            (Some(answer), Final(_)) => (answer == state, *state),
            (Some(answer), _) => (true, *answer),
        }
    }
}

type Actions = Vec<(usize, Action<KeyCall>)>;

fn is_linearizable(actions: Actions) -> bool {
    WGLChecker::<KeySpec>::is_linearizable(History::from_actions(actions))
}

fn answer_of(status: u16, reply: Option<&WorkReply>) -> KeyAnswer {
    match reply.map(|reply| reply.outcome) {
        None if status == 404 => NoRecord,
        None | Some(Outcome::Unknown) => Unclear,
        Some(Outcome::Accepted) => Open,
        Some(outcome) => Final(outcome),
    }
}

fn answer_of_submit_or_cancel(reply: Option<WorkReply>) -> KeyAnswer {
    answer_of(0, reply.as_ref())
}

async fn call_key(entry: SocketAddr, work: Submission, call: KeyCall) -> KeyCall {
    let caller = Caller::default();
    match call {
        KeyCall::Submit(_) => KeyCall::Submit(Some(answer_of_submit_or_cancel(
            caller.submit(entry, &work).await,
        ))),
        KeyCall::Query(_) => {
            let found = caller.query(entry, &work).await;
            let answer = found.map_or(Unclear, |(status, reply)| answer_of(status, reply.as_ref()));
            KeyCall::Query(Some(answer))
        }
        KeyCall::Cancel(_) => KeyCall::Cancel(Some(answer_of_submit_or_cancel(
            caller.cancel(entry, &work).await,
        ))),
    }
}

/// Makes the calls of one caller about one key in sequence, at the entry processes in rotation. The
/// last call waits until the fault is over.
async fn run_caller(
    number: usize,
    entries: Vec<SocketAddr>,
    work: Submission,
    history: Arc<Mutex<Actions>>,
    mut fault_cleared: watch::Receiver<bool>,
) {
    let record = |action| history.lock().expect("history").push((number, action));
    for turn in 0..CALLS {
        let call = match (number, turn) {
            (0, 0) | (_, 2) => KeyCall::Submit(None),
            (2, 3) if work.key.ends_with('c') => KeyCall::Cancel(None),
            _ => KeyCall::Query(None),
        };
        if turn + 1 == CALLS {
            let _ = fault_cleared.wait_for(|cleared| *cleared).await;
        }
        let entry = entries[(number + turn) % entries.len()];
        record(Call(call));
        let answered = call_key(entry, work.clone(), call).await;
        record(Response(answered));
        sleep(Duration::from_millis(300 + 130 * number as u64)).await;
    }
}

#[derive(Clone, Copy)]
enum HistoryFault {
    /// The owner of the records is paused until after its takeover, and resumed.
    Paused,
    /// The owner of the records is killed while replies of the store are lost.
    Killed,
}

async fn run_case(fault: HistoryFault) {
    let mut platform = TestPlatform::start(4, WorkerOptions::default()).await;
    let mut nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
    let owner = partition_owner(&nodes, "k").await;
    let entries: Vec<_> = nodes.iter().map(|node| node.caller).collect();
    let mut calls = JoinSet::new();
    let mut histories = Vec::new();
    let (cleared_sender, fault_cleared) = watch::channel(false);
    for number in 0..KEYS {
        let suffix = if number % 4 == 0 { "c" } else { "" };
        let prefix = format!("k{number}-");
        let key = key_owned_by(&nodes, &prefix, |node| node == owner).await;
        let mut work = submission(&format!("{key}{suffix}"), "order", 30_000, "sleep=2500");
        work.wait_ms = Some(700);
        let history = Arc::new(Mutex::new(Vec::new()));
        for caller in 0..CALLERS {
            let (entries, work, history) = (entries.clone(), work.clone(), history.clone());
            let fault_cleared = fault_cleared.clone();
            calls.spawn(async move {
                // Spreads the calls over the duration of the fault.
                sleep(Duration::from_millis(number as u64 * 500)).await;
                run_caller(caller, entries, work, history, fault_cleared).await;
            });
        }
        histories.push((work, history));
    }
    sleep(Duration::from_millis(1500)).await;
    match fault {
        HistoryFault::Paused => {
            nodes[owner].signal("STOP");
            sleep(Duration::from_secs(5)).await;
            nodes[owner].signal("CONT");
        }
        HistoryFault::Killed => {
            let lost = json!({ "lose_replies": { "probability": 0.3 } });
            platform.store.set_faults(lost).await;
            nodes[owner].kill();
            sleep(Duration::from_secs(5)).await;
            platform.store.set_faults(json!({})).await;
        }
    }
    // Longer than a takeover and a task that starts after it.
    sleep(Duration::from_secs(4)).await;
    cleared_sender.send_replace(true);
    calls.join_all().await;
    let mut finals = 0;
    for (work, history) in histories {
        let actions = history.lock().expect("history").clone();
        assert!(
            is_linearizable(actions.clone()),
            "{}: {actions:?}",
            work.key
        );
        let is_final = |(_, action): &(usize, Action<KeyCall>)| {
            matches!(
                action,
                Response(KeyCall::Submit(Some(Final(_))) | KeyCall::Query(Some(Final(_))))
            )
        };
        finals += usize::from(actions.iter().any(is_final));
        let starts = platform.starts_of(&work.key).await;
        assert!(starts.len() <= 1, "{starts:?} {actions:?}");
    }
    assert!(
        finals * 4 >= KEYS * 3,
        "only {finals} keys have a final answer"
    );
}

/// Guards against a resumed owner that replies with an outdated state after a newer one was reported.
#[test]
fn calls_around_a_paused_owner() {
    run_test(run_case(HistoryFault::Paused));
}

/// Guards against a new owner that lacks a state that was reported before its takeover.
#[test]
fn calls_around_a_killed_owner() {
    run_test(run_case(HistoryFault::Killed));
}

/// Guards against a resumed owner that answers a query from outdated memory.
#[test]
fn query_at_a_resumed_owner() {
    run_test(async {
        let mut platform = TestPlatform::start(2, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 3, MANIFEST).await;
        let owner = partition_owner(&nodes, "k").await;
        let other = nodes[(owner + 1) % 3].caller;
        let mut work = submission("k", "order", 30_000, "sleep=2500");
        work.wait_ms = Some(0);
        let caller = Caller::default();
        assert_eq!(
            answer_of_submit_or_cancel(caller.submit(other, &work).await),
            Open
        );
        nodes[owner].signal("STOP");
        let query = async |entry| {
            let found = caller.query(entry, &work).await;
            found.map(|(status, reply)| answer_of(status, reply.as_ref()))
        };
        let limit = Duration::from_secs(15);
        eventually("the end of the order", limit, async || {
            (query(other).await == Some(Final(Outcome::Done))).then_some(())
        })
        .await;
        // The queries wait in the listener of the paused process.
        let mut queries = JoinSet::new();
        for _ in 0..4 {
            let (entry, work) = (nodes[owner].caller, work.clone());
            queries.spawn(call_key(entry, work, KeyCall::Query(None)));
        }
        sleep(Duration::from_millis(200)).await;
        nodes[owner].signal("CONT");
        for answer in queries.join_all().await {
            let (KeyCall::Submit(answer) | KeyCall::Query(answer) | KeyCall::Cancel(answer)) =
                answer;
            let answer = answer.expect("an answer");
            assert!(
                [Final(Outcome::Done), Unclear].contains(&answer),
                "{answer:?}"
            );
        }
    });
}

/// Guards against a checker that accepts every history.
#[test]
fn checker_rejects_invalid_histories() {
    let cases = [
        ("open after done", Final(Outcome::Done), Open),
        ("no record after open", Open, NoRecord),
        (
            "not run after done",
            Final(Outcome::Done),
            Final(Outcome::NotRun),
        ),
        (
            "done after not run",
            Final(Outcome::NotRun),
            Final(Outcome::Done),
        ),
    ];
    for (name, first, second) in cases {
        let history = |process| {
            let submit = (0, Call(KeyCall::Submit(None)));
            let submitted = (0, Response(KeyCall::Submit(Some(first))));
            let query = (process, Call(KeyCall::Query(None)));
            let found = (process, Response(KeyCall::Query(Some(second))));
            vec![submit, submitted, query, found]
        };
        assert!(!is_linearizable(history(1)), "{name}");
    }
}
