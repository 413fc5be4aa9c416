//! The work of the demonstration.

use hs_http::{CallError, CallReply};
use hs_wire::{Outcome, Submission, WorkClass, WorkReply};
use tokio::task::JoinSet;

use super::audit::DemoAudit;
use super::cluster::DemoEntry;
use crate::exit::CommandError;
use crate::work_call::{WorkClient, WorkPath};

/// Deadline and wait in milliseconds; the demonstration ends before it passes.
const DEADLINE_MS: u64 = 15_000;

/// Customers of the sample manifest, in turn.
const CUSTOMERS: [&str; 4] = ["north", "south", "east", "surge"];

/// Work of one class.
#[derive(Clone, Copy)]
struct DemoKind {
    class: WorkClass,
    workload: &'static str,
    count: usize,
    tasks: usize,
    run_ms: u64,
}

/// More orders and batch tasks than the workers have slots for, so that some of them wait.
const KINDS: [DemoKind; 4] = [
    DemoKind {
        class: WorkClass::Check,
        workload: "check",
        count: 600,
        tasks: 1,
        run_ms: 5,
    },
    DemoKind {
        class: WorkClass::Order,
        workload: "order",
        count: 100,
        tasks: 1,
        run_ms: 20,
    },
    DemoKind {
        class: WorkClass::Batch,
        workload: "reconcile",
        count: 80,
        tasks: 1,
        run_ms: 300,
    },
    DemoKind {
        class: WorkClass::Gang,
        workload: "train",
        count: 1,
        tasks: 4,
        run_ms: 300,
    },
];

/// Tries to open a connection for a piece of work. Each takes up to 500 ms.
const CONNECT_TRIES: u32 = 8;

/// Sends all work at once, each piece through another entry process than the one before.
pub(super) async fn send_all(entries: &[DemoEntry]) -> Result<Vec<DemoAudit>, CommandError> {
    let mut calls = JoinSet::new();
    let clients: Vec<_> = entries
        .iter()
        .map(|entry| std::sync::Arc::new(WorkClient::new(entry.caller)))
        .collect();
    for kind in KINDS {
        for number in 0..kind.count {
            let first = clients[number % clients.len()].clone();
            let second = clients[(number + 1) % clients.len()].clone();
            calls.spawn(async move { send(kind, number, &first, &second).await });
        }
    }
    let mut audits = Vec::with_capacity(calls.len());
    while let Some(audit) = calls.join_next().await {
        audits.push(audit.map_err(|error| CommandError::failed(format!("caller: {error}")))?);
    }
    Ok(audits)
}

/// Submits one piece of work, and asks for a durable one again at another entry process.
async fn send(kind: DemoKind, number: usize, first: &WorkClient, second: &WorkClient) -> DemoAudit {
    let key = format!("demo-{}-{number}", kind.workload);
    let customer = CUSTOMERS[number % CUSTOMERS.len()];
    let work = Submission {
        key: key.clone(),
        customer: customer.to_owned(),
        workload: kind.workload.to_owned(),
        deadline_ms: DEADLINE_MS,
        wait_ms: None,
        issued_at_ms: None,
        payload: format!("sleep={} echo={key}", kind.run_ms),
    };
    let reply = read(
        submit(first, &work)
            .await
            .map_err(|error| error.to_string()),
    );
    let fault = match &reply {
        Ok(reply) => own_answer(kind, &key, reply).err(),
        Err(error) => Some(format!("{key}: {error}")),
    };
    let fault = match fault {
        None if kind.class.is_durable() => match WorkPath::new(customer, &key) {
            Ok(path) => {
                let asked = second.result(&path).await;
                let asked = read(asked.map_err(|error| error.to_string()));
                let same = asked.and_then(|reply| own_answer(kind, &key, &reply));
                same.err().map(|fault| format!("asked again: {fault}"))
            }
            Err(error) => Some(error.to_string()),
        },
        fault => fault,
    };
    DemoAudit::new(kind.class, reply.ok(), fault)
}

/// Submits work, again if it was certainly not sent: all callers connect at once, and on a busy machine
/// some connections take longer than a connection may.
async fn submit(client: &WorkClient, work: &Submission) -> Result<CallReply, CallError> {
    let mut left = CONNECT_TRIES;
    loop {
        left -= 1;
        match client.submit(work).await {
            Err(error) if error.is_not_sent() && left > 0 => {}
            reply => return reply,
        }
    }
}

fn read(call: Result<CallReply, String>) -> Result<WorkReply, String> {
    call?.json().map_err(|error| error.to_string())
}

/// Checks that a reply is the answer to this key and no other.
fn own_answer(kind: DemoKind, key: &str, reply: &WorkReply) -> Result<(), String> {
    if reply.key != key {
        return Err(format!("{key} got the reply to {}", reply.key));
    }
    if reply.outcome != Outcome::Done {
        return Err(format!("{key} is {}: {}", reply.outcome, reply.detail));
    }
    match reply.results.len() == kind.tasks && reply.results.iter().all(|result| result == key) {
        true => Ok(()),
        false => Err(format!("{key} got the results {:?}", reply.results)),
    }
}
