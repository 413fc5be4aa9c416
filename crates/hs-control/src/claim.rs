//! The owner's claim on the cell, and the transactions that are conditional on it.
//!
//! Every transaction of the owner expects the claim at the revision of the previous transaction and
//! rewrites it. A write by an owner that has lost the claim therefore fails, and so does a duplicate of
//! an earlier write that the store applies late.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;

use crate::keys;
use crate::port::{ClockPort, PortError, StoreItem, StorePort, StoreTxn, TxnReply};

/// Timeout of the first attempt of a write. A healthy store answers within milliseconds.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// Upper bound of the timeout of a write, which doubles with each attempt without a reply.
const MAX_WRITE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause before a refused write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Value of the claim's item in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ClaimValue {
    /// Fencing token; workers reject orders with a lower one than they have seen.
    pub fence: u64,
    /// Sequence number of the owner's last transaction.
    pub sequence: u64,
    /// Name of the owner.
    pub node: String,
    /// Start of the owner's process in Unix milliseconds, which distinguishes its incarnations.
    pub started_ms: u64,
    /// Address of the owner's peer listener.
    pub address: String,
    /// Whether the owner has released the cell.
    pub released: bool,
    /// Name of the process that should take over a released cell, if the owner has chosen one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor: Option<String>,
    /// Number of owners in a row, up to the one that has released the cell, that could not load its state.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed_loads: u32,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// What a write does to the claim.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum ClaimChange {
    /// The owner keeps the cell.
    #[default]
    Confirm,
    /// The owner releases the cell, for any other process.
    Release,
    /// The owner releases the cell, for the process on this VM in the first place.
    HandOver(Arc<str>),
    /// The owner releases the cell because it could not load its state.
    GiveUp {
        /// Name of a better process, if one is known.
        successor: Option<Arc<str>>,
        /// Number of owners in a row that could not load the state, with this one.
        failed_loads: u32,
    },
}

/// A permanent failure of a write under the claim.
#[derive(Clone, Debug, Error)]
pub(crate) enum ClaimError {
    /// Another process holds the claim.
    #[error("the claim is held by {node} with fence {fence}")]
    Lost {
        /// Name of the process that holds the claim.
        node: String,
        /// Fencing token of that process.
        fence: u64,
    },
    /// The claim no longer exists or can't be decoded.
    #[error("the claim is unreadable")]
    Unreadable,
    /// The store does not accept the write, however often it is repeated. The claim is still held.
    #[error("{0}")]
    Rejected(String),
}

/// The claim of this process and its revision in the store, which the next transaction expects.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    pub value: ClaimValue,
    pub revision: u64,
}

/// Last write that has confirmed the claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ClaimConfirmation {
    /// Time at which the claim was certainly held.
    pub at: Instant,
    /// Revision of the claim in the store.
    pub revision: u64,
}

/// The claim as it was read from the store.
#[derive(Clone, Debug)]
pub(crate) struct ObservedClaim {
    /// `None` if the claim does not exist or can't be decoded.
    pub value: Option<ClaimValue>,
    pub revision: u64,
}

impl ObservedClaim {
    fn from_item(item: Option<&StoreItem>) -> Self {
        let value = item.and_then(|item| item.value.as_deref());
        Self {
            value: value.and_then(|value| serde_json::from_slice(value).ok()),
            revision: item.map_or(0, |item| item.revision),
        }
    }
}

/// Reads the claim from the store.
///
/// # Errors
///
/// Returns the store's error.
pub(crate) async fn read_claim<S: StorePort>(
    store: &S,
    timeout: Duration,
) -> Result<ObservedClaim, PortError> {
    let item = store.read(keys::CLAIM, timeout).await?;
    Ok(ObservedClaim::from_item(item.as_ref()))
}

/// Tries to acquire the claim, provided that it is still as `observed`. Returns `None` if another process
/// has changed it.
///
/// # Errors
///
/// Returns the store's last error if all attempts fail. The claim may have been written, unless each of
/// them was refused.
pub(crate) async fn acquire_claim<S: StorePort>(
    store: &S,
    observed: &ObservedClaim,
    mut claim: ClaimValue,
    max_attempts: u32,
) -> Result<Option<HeldClaim>, PortError> {
    // Revisions of an item only increase, so this fencing token is higher than any earlier owner's. Those are
    // revisions of its own writes at most, see `WorkerFences`.
    claim.fence = observed.revision + 1;
    let txn = claim_txn(&claim, observed.revision);
    let mut attempts_left = max_attempts;
    loop {
        let error = match store.transact(&txn, FIRST_WRITE_TIMEOUT).await {
            Ok(TxnReply::Committed(revision)) => {
                return Ok(Some(HeldClaim {
                    value: claim,
                    revision,
                }));
            }
            Ok(TxnReply::Conflict(items)) => {
                let current = ObservedClaim::from_item(items.first());
                // An earlier attempt of this write may have been applied.
                let is_own = current.value.as_ref() == Some(&claim);
                let revision = current.revision;
                return Ok(is_own.then_some(HeldClaim {
                    value: claim,
                    revision,
                }));
            }
            Err(error) => error,
        };
        attempts_left = attempts_left.saturating_sub(1);
        if attempts_left == 0 {
            return Err(error);
        }
    }
}

fn claim_txn(claim: &ClaimValue, revision: u64) -> StoreTxn {
    // Serialising a struct of strings and numbers can't fail.
    let value = serde_json::to_vec(claim).unwrap_or_default();
    StoreTxn {
        expect: vec![(keys::CLAIM.to_owned(), revision)],
        writes: vec![(keys::CLAIM.to_owned(), value)],
        deletes: Vec::new(),
    }
}

/// Writes and deletes items in one transaction that is conditional on the claim, and retries it until the
/// store gives a definite answer.
///
/// Returns the new claim, and a time at or after which the claim was certainly held.
///
/// # Errors
///
/// Returns [`ClaimError::Rejected`] if the store never accepts the write. The claim is still held, and nothing is written.
/// Any other error means that the claim is lost. Then this call has written nothing, unless an earlier attempt was applied
/// before the claim was lost.
pub(crate) async fn write_with_claim<P: StorePort + ClockPort>(
    port: &P,
    held: &HeldClaim,
    writes: Vec<(String, Vec<u8>)>,
    deletes: Vec<String>,
    change: &ClaimChange,
) -> Result<(HeldClaim, Instant), ClaimError> {
    let mut claim = held.value.clone();
    claim.sequence += 1;
    claim.released = *change != ClaimChange::Confirm;
    claim.successor = match change {
        ClaimChange::Confirm | ClaimChange::Release => None,
        ClaimChange::HandOver(node) => Some(node.to_string()),
        ClaimChange::GiveUp { successor, .. } => successor.as_ref().map(ToString::to_string),
    };
    claim.failed_loads = match change {
        ClaimChange::GiveUp { failed_loads, .. } => *failed_loads,
        _ => 0,
    };
    let mut txn = claim_txn(&claim, held.revision);
    txn.writes.extend(writes);
    txn.deletes = deletes;
    let mut timeout = FIRST_WRITE_TIMEOUT;
    loop {
        // The store has processed the attempt that it answers after this time, and the claim was held then.
        let sent_at = port.now();
        match port.transact(&txn, timeout).await {
            Ok(TxnReply::Committed(revision)) => {
                return Ok((
                    HeldClaim {
                        value: claim,
                        revision,
                    },
                    sent_at,
                ));
            }
            Ok(TxnReply::Conflict(items)) => {
                let current = ObservedClaim::from_item(items.first());
                return match current.value {
                    Some(value) if value == claim => {
                        let revision = current.revision;
                        Ok((
                            HeldClaim {
                                value: claim,
                                revision,
                            },
                            sent_at,
                        ))
                    }
                    Some(value) => Err(ClaimError::Lost {
                        node: value.node,
                        fence: value.fence,
                    }),
                    None => Err(ClaimError::Unreadable),
                };
            }
            // The same holds for earlier attempts without an answer, which were the same transaction.
            Err(error) if error.is_rejected() => {
                return Err(ClaimError::Rejected(error.to_string()));
            }
            Err(error) => {
                log::debug!("write sequence={} failed: {error}", claim.sequence);
                if error.is_refused() {
                    sleep(RETRY_PAUSE).await;
                } else {
                    timeout = (timeout * 2).min(MAX_WRITE_TIMEOUT);
                }
            }
        }
    }
}
