//! Durable work: calls to the owner of a ledger partition.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_ledger::partition_of;
use hs_peer::message::forward_request::Call;
use hs_peer::message::{ForwardRequest, WorkName};
use hs_wire::{Submission, VmRole, WorkReply};
use tokio::time::{sleep, sleep_until};

use super::reserve::deadline_of;
use crate::ledger::{LedgerAnswer, LedgerCall, PARTITION_COUNT};
use crate::port::{ClockPort, Platform};
use crate::shared::NodeShared;

/// Pause before the candidates are asked again, when none of them owns the partition.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Most hints that are followed without a pause.
const MAX_HOPS: u32 = 3;

/// Shortest time for a call, so that a caller that does not wait still learns that its work is
/// recorded: a group commit takes two flush intervals and two store calls at most.
const SHORTEST_WAIT: Duration = Duration::from_millis(1500);

/// Time beyond the caller's wait that a peer's reply may take.
const REPLY_SLACK: Duration = Duration::from_millis(300);

/// Longest time for a call to a process of the own data centre that counts as dead. A paused process
/// still takes connections, and would hold the call up to the end of its wait.
const SUSPECT_LIMIT: Duration = Duration::from_millis(200);

/// Longest time after its arrival at which a submission may still be admitted.
const LONGEST_EXPIRY: Duration = Duration::from_secs(600);

/// Retry hint where the owner of the record can't be reached, in milliseconds.
const OWNER_RETRY_MS: u64 = 1000;

/// A caller's call about durable work.
#[derive(Clone, Debug)]
pub enum DurableCall {
    /// Submits work, or finds out about it.
    Submit(Submission),
    /// Asks what became of work.
    Query {
        /// Customer of the work.
        customer: String,
        /// Key of the work.
        key: String,
    },
    /// Cancels work.
    Cancel {
        /// Customer of the work.
        customer: String,
        /// Key of the work.
        key: String,
    },
}

impl DurableCall {
    fn name(&self) -> (&str, &str) {
        match self {
            Self::Submit(submission) => (&submission.customer, &submission.key),
            Self::Query { customer, key } | Self::Cancel { customer, key } => (customer, key),
        }
    }

    fn wait(&self) -> Duration {
        match self {
            Self::Submit(submission) => {
                Duration::from_millis(submission.wait_limit_ms()).max(SHORTEST_WAIT)
            }
            Self::Query { .. } | Self::Cancel { .. } => SHORTEST_WAIT,
        }
    }
}

enum OwnerAnswer {
    Reply(WorkReply),
    NoRecord,
    Elsewhere(Option<String>),
}

/// Passes a call to the owner of its partition, which may be this process. Returns `None` if the
/// owner has no record of the key.
///
/// If no owner answers before the caller's wait ends, the answer is "unknown": only the owner knows
/// whether an earlier submission of the same key ran.
pub async fn call_partition_owner<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    call: DurableCall,
    arrived: Instant,
) -> Option<WorkReply> {
    let (customer, key) = call.name();
    let key = key.to_owned();
    let partition = partition_of(customer, &key, PARTITION_COUNT);
    let clock = shared.platform.clock();
    let until = deadline_of(clock, arrived, call.wait().as_millis() as u64);
    let expires_at_ms = clock.wall_ms() + expiry(&call).as_millis() as u64;
    let mut hint: Option<String> = None;
    let mut hops = 0;
    while clock.now() < until {
        let suspects = suspects(shared);
        for (peer, is_self) in targets(shared, partition, hint.take(), &suspects) {
            let mut left = until.saturating_duration_since(clock.now());
            if suspects.contains(&peer) {
                left = left.min(SUSPECT_LIMIT);
            }
            let answer = match is_self {
                true => ask_self(shared, partition, &call, expires_at_ms, left).await,
                false => ask_peer(shared, partition, &call, expires_at_ms, left, &peer).await,
            };
            match answer {
                OwnerAnswer::Reply(reply) => return Some(reply),
                OwnerAnswer::NoRecord => return None,
                OwnerAnswer::Elsewhere(owner) => {
                    hint = owner.filter(|owner| *owner != peer && !suspects.contains(owner));
                }
            }
            if hint.is_some() {
                break;
            }
        }
        hops += 1;
        // During a takeover two processes may name each other as the owner.
        if hint.is_none() || hops >= MAX_HOPS {
            sleep(RETRY_PAUSE).await;
            hops = 0;
        }
    }
    sleep_until(until.into()).await;
    let mut reply = WorkReply::unknown(&key, "the owner of the record did not answer");
    reply.retry_after_ms = Some(OWNER_RETRY_MS);
    Some(reply)
}

/// Returns whom to ask for the owner, in order, and whether it is this process: a process that was named
/// as the owner, then the candidates, and last those that count as dead.
fn targets<P: Platform>(
    shared: &NodeShared<P>,
    partition: u32,
    hint: Option<String>,
    suspects: &[String],
) -> Vec<(String, bool)> {
    let own = shared.settings.peer_address().to_string();
    let mut targets: Vec<(String, bool)> = Vec::new();
    if shared.ledger.is_owned(partition) {
        targets.push((own.clone(), true));
    }
    targets.extend(hint.filter(|hint| *hint != own).map(|hint| (hint, false)));
    targets.extend(shared.members.borrow().candidates(partition));
    targets.sort_by_key(|(peer, _)| suspects.contains(peer));
    targets
}

/// Returns the addresses of the listed entry processes of the own data centre that count as dead.
fn suspects<P: Platform>(shared: &NodeShared<P>) -> Vec<String> {
    let own = shared.settings.peer_address().to_string();
    let live = shared.members.borrow().local_peers();
    let list = shared.vms.borrow().clone();
    let entries = list.vms.iter().filter(|vm| {
        vm.role == VmRole::Entry
            && vm.data_centre == shared.settings.data_centre
            && vm.addr != own
            && !live.contains(&vm.addr)
    });
    entries.map(|vm| vm.addr.clone()).collect()
}

fn expiry(call: &DurableCall) -> Duration {
    match call {
        DurableCall::Submit(submission) => {
            Duration::from_millis(submission.deadline_ms).min(LONGEST_EXPIRY)
        }
        DurableCall::Query { .. } | DurableCall::Cancel { .. } => Duration::ZERO,
    }
}

async fn ask_self<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    partition: u32,
    call: &DurableCall,
    expires_at_ms: u64,
    left: Duration,
) -> OwnerAnswer {
    let call = match call.clone() {
        DurableCall::Submit(submission) => LedgerCall::Submit {
            submission: with_wait(submission, left),
            expires_at_ms,
        },
        DurableCall::Query { customer, key } => LedgerCall::Query { customer, key },
        DurableCall::Cancel { customer, key } => LedgerCall::Cancel { customer, key },
    };
    match shared.ledger.call(partition, call).await {
        LedgerAnswer::Reply(reply) => OwnerAnswer::Reply(reply),
        LedgerAnswer::NoRecord => OwnerAnswer::NoRecord,
        LedgerAnswer::NotOwned { owner } => OwnerAnswer::Elsewhere(owner),
    }
}

async fn ask_peer<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    partition: u32,
    call: &DurableCall,
    expires_at_ms: u64,
    left: Duration,
    peer: &str,
) -> OwnerAnswer {
    let name = |customer, key| WorkName { customer, key };
    let call = match call.clone() {
        DurableCall::Submit(submission) => {
            match serde_json::to_string(&with_wait(submission, left)) {
                Ok(json) => Call::SubmissionJson(json),
                Err(_) => return OwnerAnswer::Elsewhere(None),
            }
        }
        DurableCall::Query { customer, key } => Call::Query(name(customer, key)),
        DurableCall::Cancel { customer, key } => Call::Cancel(name(customer, key)),
    };
    let request = ForwardRequest {
        partition,
        expires_at_ms,
        call: Some(call),
    };
    let Ok(reply) = shared
        .peers
        .forward(peer, request, left + REPLY_SLACK)
        .await
    else {
        return OwnerAnswer::Elsewhere(None);
    };
    if !reply.owned {
        let owner = (!reply.owner.is_empty()).then_some(reply.owner);
        return OwnerAnswer::Elsewhere(owner);
    }
    match serde_json::from_str(&reply.reply_json) {
        Ok(reply) => OwnerAnswer::Reply(reply),
        Err(_) if reply.reply_json.is_empty() => OwnerAnswer::NoRecord,
        Err(_) => OwnerAnswer::Elsewhere(None),
    }
}

/// The owner waits a little less than this process, so that its answer arrives in time.
fn with_wait(mut submission: Submission, left: Duration) -> Submission {
    submission.wait_ms = Some(left.saturating_sub(REPLY_SLACK).as_millis() as u64);
    submission
}
