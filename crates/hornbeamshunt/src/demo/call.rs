//! Submits the work of the demonstration and checks the replies.

use hs_http::{CallError, CallReply};
use hs_wire::{Outcome, Submission, WorkClass, WorkReply};
use tokio::task::JoinSet;

use super::audit::DemoAudit;
use super::cluster::DemoEntry;
use crate::exit::CommandError;
use crate::work_call::{WorkClient, WorkPath};

/// Deadline and wait of every submission, in milliseconds. The demonstration ends before the
/// deadline.
const DEADLINE_MS: u64 = 15_000;

/// Customers of the sample manifest, used in rotation.
const CUSTOMERS: [&str; 4] = ["north", "south", "east", "surge"];

/// The work of one class: `count` submissions to a workload of the sample manifest.
#[derive(Clone, Copy)]
struct DemoWorkload {
    class: WorkClass,
    name: &'static str,
    count: usize,
    tasks: usize,
    run_ms: u64,
}

/// There are more orders and batch tasks than the workers have slots, so that some of them wait.
const WORKLOADS: [DemoWorkload; 4] = [
    DemoWorkload {
        class: WorkClass::Check,
        name: "check",
        count: 600,
        tasks: 1,
        run_ms: 5,
    },
    DemoWorkload {
        class: WorkClass::Order,
        name: "order",
        count: 100,
        tasks: 1,
        run_ms: 20,
    },
    DemoWorkload {
        class: WorkClass::Batch,
        name: "reconcile",
        count: 80,
        tasks: 1,
        run_ms: 300,
    },
    DemoWorkload {
        class: WorkClass::Gang,
        name: "train",
        count: 1,
        tasks: 4,
        run_ms: 300,
    },
];

/// Maximum number of attempts to connect for a piece of work. Each takes up to 500 ms.
const MAX_CONNECT_ATTEMPTS: u32 = 8;

/// Submits all work concurrently, and distributes it over the entry processes in rotation.
pub(super) async fn send_all(entries: &[DemoEntry]) -> Result<Vec<DemoAudit>, CommandError> {
    let mut calls = JoinSet::new();
    let clients: Vec<_> = entries
        .iter()
        .map(|entry| std::sync::Arc::new(WorkClient::new(entry.caller)))
        .collect();
    for workload in WORKLOADS {
        for number in 0..workload.count {
            let first = clients[number % clients.len()].clone();
            let second = clients[(number + 1) % clients.len()].clone();
            calls.spawn(async move { send(workload, number, &first, &second).await });
        }
    }
    let mut audits = Vec::with_capacity(calls.len());
    while let Some(audit) = calls.join_next().await {
        audits.push(audit.map_err(|error| CommandError::failed(format!("caller: {error}")))?);
    }
    Ok(audits)
}

/// Submits one piece of work. Queries the result of durable work at another entry process too.
async fn send(
    workload: DemoWorkload,
    number: usize,
    first: &WorkClient,
    second: &WorkClient,
) -> DemoAudit {
    let key = format!("demo-{}-{number}", workload.name);
    let customer = CUSTOMERS[number % CUSTOMERS.len()];
    let work = Submission {
        key: key.clone(),
        customer: customer.to_owned(),
        workload: workload.name.to_owned(),
        deadline_ms: DEADLINE_MS,
        wait_ms: None,
        issued_at_ms: None,
        payload: format!("sleep={} echo={key}", workload.run_ms),
    };
    let reply = parse_reply(
        submit(first, &work)
            .await
            .map_err(|error| error.to_string()),
    );
    let fault = match &reply {
        Ok(reply) => check_reply(workload, &key, reply).err(),
        Err(error) => Some(format!("{key}: {error}")),
    };
    let fault = match fault {
        None if workload.class.is_durable() => match WorkPath::new(customer, &key) {
            Ok(path) => {
                let queried = second.result(&path).await;
                let queried = parse_reply(queried.map_err(|error| error.to_string()));
                let checked = queried.and_then(|reply| check_reply(workload, &key, &reply));
                checked.err().map(|fault| format!("asked again: {fault}"))
            }
            Err(error) => Some(error.to_string()),
        },
        fault => fault,
    };
    DemoAudit::new(workload.class, reply.ok(), fault)
}

/// Submits work, and retries if it was certainly not sent. All callers connect at the same time,
/// and on a busy machine some connections take longer than the connect timeout.
async fn submit(client: &WorkClient, work: &Submission) -> Result<CallReply, CallError> {
    let mut attempts_left = MAX_CONNECT_ATTEMPTS;
    loop {
        attempts_left -= 1;
        match client.submit(work).await {
            Err(error) if error.is_not_sent() && attempts_left > 0 => {}
            reply => return reply,
        }
    }
}

fn parse_reply(call: Result<CallReply, String>) -> Result<WorkReply, String> {
    call?.json().map_err(|error| error.to_string())
}

/// Checks that a reply belongs to this key, that the work is done, and that every task returned the
/// key as its result.
fn check_reply(workload: DemoWorkload, key: &str, reply: &WorkReply) -> Result<(), String> {
    if reply.key != key {
        return Err(format!("{key} got the reply to {}", reply.key));
    }
    if reply.outcome != Outcome::Done {
        return Err(format!("{key} is {}: {}", reply.outcome, reply.detail));
    }
    match reply.results.len() == workload.tasks && reply.results.iter().all(|result| result == key)
    {
        true => Ok(()),
        false => Err(format!("{key} got the results {:?}", reply.results)),
    }
}
