//! Calls about durable work, routed to the owner of the ledger partition.

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

/// Delay before the candidates are called again when none of them owns the partition.
const CANDIDATE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Number of owner hints in a row after which the last one is followed only after
/// [`CANDIDATE_RETRY_DELAY`].
const MAX_REDIRECTS: u32 = 3;

/// Minimum wait of a call, so that a caller that requests no wait still learns that its work is
/// recorded. A group commit takes at most two flush intervals and two store calls.
const MIN_WAIT: Duration = Duration::from_millis(1500);

/// Margin for the reply of the owner, relative to the remaining wait of the caller: the wait in the
/// submission is shorter by it, and the timeout of a forwarded call is longer.
const REPLY_MARGIN: Duration = Duration::from_millis(300);

/// Timeout of a call to a process of the local data centre that is suspected to be dead. A paused
/// process still accepts connections and would delay the call until the end of its wait.
const SUSPECTED_PEER_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time after its arrival in which a submission may still be admitted.
const MAX_ADMISSION_WINDOW: Duration = Duration::from_secs(600);

/// `retry_after_ms` of the reply when the owner of the record cannot be reached.
const OWNER_RETRY_AFTER_MS: u64 = 1000;

/// A call about durable work, as a caller made it.
#[derive(Clone, Debug)]
pub enum DurableCall {
    /// Submits work, or returns the state of work that was submitted before under the same key.
    Submit(Submission),
    /// Returns the state of work.
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
    fn customer_and_key(&self) -> (&str, &str) {
        match self {
            Self::Submit(submission) => (&submission.customer, &submission.key),
            Self::Query { customer, key } | Self::Cancel { customer, key } => (customer, key),
        }
    }

    fn wait_limit(&self) -> Duration {
        match self {
            Self::Submit(submission) => {
                Duration::from_millis(submission.wait_limit_ms()).max(MIN_WAIT)
            }
            Self::Query { .. } | Self::Cancel { .. } => MIN_WAIT,
        }
    }
}

/// Answer of a process that may own the partition.
enum OwnerAnswer {
    Reply(WorkReply),
    NoRecord,
    /// The process does not own the partition, or its reply was missing or invalid. Holds the
    /// address of the owner if the process named one.
    NotOwner(Option<String>),
}

/// Routes a call to the owner of its partition, which may be this process. Returns `None` if the
/// owner has no record of the key.
///
/// If no owner answers within the wait of the caller, the outcome is "unknown", because only the
/// owner knows whether an earlier submission of the same key ran.
pub async fn call_partition_owner<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    call: DurableCall,
    arrived_at: Instant,
) -> Option<WorkReply> {
    let (customer, key) = call.customer_and_key();
    let key = key.to_owned();
    let partition = partition_of(customer, &key, PARTITION_COUNT);
    let clock = shared.platform.clock();
    let wait_until = deadline_of(clock, arrived_at, call.wait_limit().as_millis() as u64);
    let expires_at_ms = clock.wall_ms() + admission_window(&call).as_millis() as u64;
    let mut hint: Option<String> = None;
    let mut redirects = 0;
    while clock.now() < wait_until {
        let suspected = suspected_peers(shared);
        for (peer, is_self) in targets(shared, partition, hint.take(), &suspected) {
            let mut remaining = wait_until.saturating_duration_since(clock.now());
            if suspected.contains(&peer) {
                remaining = remaining.min(SUSPECTED_PEER_TIMEOUT);
            }
            let answer = match is_self {
                true => call_local_ledger(shared, partition, &call, expires_at_ms, remaining).await,
                false => {
                    forward_to_peer(shared, partition, &call, expires_at_ms, remaining, &peer).await
                }
            };
            match answer {
                OwnerAnswer::Reply(reply) => return Some(reply),
                OwnerAnswer::NoRecord => return None,
                OwnerAnswer::NotOwner(owner) => {
                    hint = owner.filter(|owner| *owner != peer && !suspected.contains(owner));
                }
            }
            if hint.is_some() {
                break;
            }
        }
        redirects += 1;
        // During a takeover two processes may name each other as the owner.
        if hint.is_none() || redirects >= MAX_REDIRECTS {
            sleep(CANDIDATE_RETRY_DELAY).await;
            redirects = 0;
        }
    }
    sleep_until(wait_until.into()).await;
    let mut reply = WorkReply::unknown(&key, "the owner of the record did not answer");
    reply.retry_after_ms = Some(OWNER_RETRY_AFTER_MS);
    Some(reply)
}

/// Returns the addresses of the processes to call, in order, and for each whether it is this
/// process: the known or hinted owner, then the candidates, and suspected processes last.
fn targets<P: Platform>(
    shared: &NodeShared<P>,
    partition: u32,
    hint: Option<String>,
    suspected: &[String],
) -> Vec<(String, bool)> {
    let own = shared.settings.peer_address().to_string();
    let mut targets: Vec<(String, bool)> = Vec::new();
    if shared.ledger.is_owned(partition) {
        targets.push((own.clone(), true));
    }
    targets.extend(hint.filter(|hint| *hint != own).map(|hint| (hint, false)));
    targets.extend(shared.members.borrow().candidates(partition));
    targets.sort_by_key(|(peer, _)| suspected.contains(peer));
    targets
}

/// Returns the addresses of the entry processes of the local data centre that are in the VM list
/// but are not live members.
fn suspected_peers<P: Platform>(shared: &NodeShared<P>) -> Vec<String> {
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

/// Returns how long the owner may still admit the call as a new submission.
fn admission_window(call: &DurableCall) -> Duration {
    match call {
        DurableCall::Submit(submission) => {
            Duration::from_millis(submission.deadline_ms).min(MAX_ADMISSION_WINDOW)
        }
        DurableCall::Query { .. } | DurableCall::Cancel { .. } => Duration::ZERO,
    }
}

async fn call_local_ledger<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    partition: u32,
    call: &DurableCall,
    expires_at_ms: u64,
    remaining: Duration,
) -> OwnerAnswer {
    let call = ledger_call(call, expires_at_ms, remaining);
    match shared.ledger.call(partition, call).await {
        LedgerAnswer::Reply(reply) => OwnerAnswer::Reply(reply),
        LedgerAnswer::NoRecord => OwnerAnswer::NoRecord,
        LedgerAnswer::NotOwned { owner } => OwnerAnswer::NotOwner(owner),
    }
}

async fn forward_to_peer<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    partition: u32,
    call: &DurableCall,
    expires_at_ms: u64,
    remaining: Duration,
    peer: &str,
) -> OwnerAnswer {
    let name = |customer, key| WorkName { customer, key };
    let call = match ledger_call(call, expires_at_ms, remaining) {
        LedgerCall::Submit { submission, .. } => match serde_json::to_string(&submission) {
            Ok(json) => Call::SubmissionJson(json),
            Err(_) => return OwnerAnswer::NotOwner(None),
        },
        LedgerCall::Query { customer, key } => Call::Query(name(customer, key)),
        LedgerCall::Cancel { customer, key } => Call::Cancel(name(customer, key)),
    };
    let request = ForwardRequest {
        partition,
        expires_at_ms,
        call: Some(call),
    };
    let Ok(reply) = shared
        .peers
        .forward(peer, request, remaining + REPLY_MARGIN)
        .await
    else {
        return OwnerAnswer::NotOwner(None);
    };
    if !reply.owned {
        let owner = (!reply.owner.is_empty()).then_some(reply.owner);
        return OwnerAnswer::NotOwner(owner);
    }
    match serde_json::from_str(&reply.reply_json) {
        Ok(reply) => OwnerAnswer::Reply(reply),
        Err(_) if reply.reply_json.is_empty() => OwnerAnswer::NoRecord,
        Err(_) => OwnerAnswer::NotOwner(None),
    }
}

/// Returns the call for the owner of the partition. The wait of a submission is [`REPLY_MARGIN`]
/// shorter than `remaining`, so that the answer of the owner arrives in time.
fn ledger_call(call: &DurableCall, expires_at_ms: u64, remaining: Duration) -> LedgerCall {
    match call.clone() {
        DurableCall::Submit(mut submission) => {
            submission.wait_ms = Some(remaining.saturating_sub(REPLY_MARGIN).as_millis() as u64);
            LedgerCall::Submit {
                submission,
                expires_at_ms,
            }
        }
        DurableCall::Query { customer, key } => LedgerCall::Query { customer, key },
        DurableCall::Cancel { customer, key } => LedgerCall::Cancel { customer, key },
    }
}
