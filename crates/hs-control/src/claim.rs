//! Conditional writes of the owner, one after the other.
//!
//! Each transaction expects the claim as the previous one left it and writes it anew. So a write of an
//! owner that lost the claim, and a copy of an earlier write that the store carries out late, both fail.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;

use crate::keys;
use crate::port::{ClockPort, PortError, StoreItem, StorePort, StoreTxn, TxnReply};

/// Time after which a write is sent again. The store answers within milliseconds if it is well.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time that a write is waited for, when the store is slow.
const MAX_WRITE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause after a refused write.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Value of the claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ClaimValue {
    /// Fence that workers compare.
    pub fence: u64,
    /// Number of the last write of the owner.
    pub sequence: u64,
    /// Name of the owner.
    pub node: String,
    /// Start of the owner's process, which tells its lives apart.
    pub started_ms: u64,
    /// Address of the owner's peer listener.
    pub address: String,
    /// Whether the owner has given the cell up.
    pub released: bool,
}

/// Why a write of the owner failed for good.
#[derive(Clone, Debug, Error)]
pub(crate) enum ClaimError {
    /// Another process holds the claim.
    #[error("the claim is held by {node} with fence {fence}")]
    Lost {
        /// The other process.
        node: String,
        /// Its fence.
        fence: u64,
    },
    /// The claim has vanished or can't be read.
    #[error("the claim is unreadable")]
    Unreadable,
}

/// The owner's claim and the revision that its next write expects.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    pub value: ClaimValue,
    pub revision: u64,
}

/// A claim as it was read.
#[derive(Clone, Debug)]
pub(crate) struct ObservedClaim {
    /// `None` if there is none.
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

/// Reads the claim.
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

/// Tries to take the claim over from its state `observed`. Returns `None` if another process was faster.
///
/// # Errors
///
/// Returns the store's error if the write was refused or its fate stays unknown.
pub(crate) async fn acquire_claim<S: StorePort>(
    store: &S,
    observed: &ObservedClaim,
    mut claim: ClaimValue,
    max_attempts: u32,
) -> Result<Option<HeldClaim>, PortError> {
    // The revision of an item only rises, so the fence is higher than that of any earlier owner.
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
                // An earlier copy of this write may have been carried out.
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
    // A struct of strings and numbers always serialises.
    let value = serde_json::to_vec(claim).unwrap_or_default();
    StoreTxn {
        expect: vec![(keys::CLAIM.to_owned(), revision)],
        writes: vec![(keys::CLAIM.to_owned(), value)],
        deletes: Vec::new(),
    }
}

/// Writes rows under the claim, and repeats that until the store has answered for certain.
///
/// Returns the new chain and a time at or after which the claim was certainly held.
///
/// # Errors
///
/// Returns [`ClaimError`] if the claim is lost. Then none of the rows was written by this call, unless
/// an earlier copy of it was carried out before the claim was lost.
pub(crate) async fn write_with_claim<P: StorePort + ClockPort>(
    port: &P,
    held: &HeldClaim,
    writes: Vec<(String, Vec<u8>)>,
    deletes: Vec<String>,
    released: bool,
) -> Result<(HeldClaim, Instant), ClaimError> {
    let mut claim = held.value.clone();
    claim.sequence += 1;
    claim.released = released;
    let mut txn = claim_txn(&claim, held.revision);
    txn.writes.extend(writes);
    txn.deletes = deletes;
    let mut timeout = FIRST_WRITE_TIMEOUT;
    let first_sent_at = port.now();
    loop {
        match port.transact(&txn, timeout).await {
            Ok(TxnReply::Committed(revision)) => {
                return Ok((
                    HeldClaim {
                        value: claim,
                        revision,
                    },
                    first_sent_at,
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
                            first_sent_at,
                        ))
                    }
                    Some(value) => Err(ClaimError::Lost {
                        node: value.node,
                        fence: value.fence,
                    }),
                    None => Err(ClaimError::Unreadable),
                };
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
