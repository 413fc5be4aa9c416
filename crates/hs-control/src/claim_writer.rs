//! The task that writes to the store for the owner.
//!
//! It writes one transaction at a time, each conditional on the claim. While the owner has nothing to write,
//! it confirms the claim by itself, so that the confirmation does not wait for the owner task.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{CellBatch, LogWrites};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::chunk_portions::ChunkPortions;
use crate::claim::{self, ClaimChange, ClaimConfirmation, ClaimError, HeldClaim};
use crate::commits::{OwnerWrites, RefusedWrites};
use crate::port::Platform;

/// Time after the last confirmation of the claim at which it is confirmed again. A follower
/// considers the owner cut off from the store once the last confirmation is 600 ms old.
const CLAIM_CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after a write that the store never accepts.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// Time without a round of the owner task after which the claim is no longer confirmed, so that another process takes the
/// cell over. It covers the reading and restoring of a large state on a slow VM.
const MAX_OWNER_SILENCE: Duration = Duration::from_secs(30);

/// A transaction that the owner wants to have written.
#[derive(Debug, Default)]
pub(crate) struct WriteOrder {
    pub writes: OwnerWrites,
    pub change: ClaimChange,
}

/// A transaction that is in the store.
#[derive(Debug)]
pub(crate) struct WriteEnd {
    pub batch: CellBatch,
    pub log: LogWrites,
    /// What the transaction has done to the claim.
    pub change: ClaimChange,
    /// Time that the write took.
    pub duration: Duration,
    /// Bytes of the keys and values written and deleted, without the claim.
    pub bytes: usize,
}

/// What the writer tells the owner.
#[derive(Debug)]
pub(crate) enum WriterEvent {
    /// An order has been carried out.
    Written(Box<WriteEnd>),
    /// The store never accepts the writes of an order, although it has accepted a transaction with the claim alone since.
    Refused(Box<RefusedWrites>),
    /// The claim is lost. No further order is carried out.
    Lost(ClaimError),
}

/// The claim of this process, and where its confirmations are published.
#[derive(Debug)]
pub(crate) struct ClaimKeeper {
    pub held: HeldClaim,
    /// Publishes the last confirmation of the claim.
    pub confirmation: watch::Sender<ClaimConfirmation>,
    pub owner_last_seen: Arc<watch::Sender<Option<Instant>>>,
}

/// Writes the transactions of an owner.
#[derive(Debug)]
pub(crate) struct ClaimWriter<P> {
    pub platform: P,
    pub keeper: ClaimKeeper,
    pub orders: mpsc::Receiver<WriteOrder>,
    /// Size of the portions in which large records are written.
    pub chunk_portions: ChunkPortions,
    /// Time of the last round of the owner task.
    pub last_round: watch::Receiver<Instant>,
    pub events: mpsc::Sender<WriterEvent>,
}

impl<P: Platform> ClaimWriter<P> {
    /// Carries out orders and confirms the claim, until it is released or lost or the owner task has ended.
    pub(crate) async fn run(mut self) {
        let mut last_written_at = self.platform.now();
        loop {
            let since = self
                .platform
                .now()
                .saturating_duration_since(last_written_at);
            let until_due = CLAIM_CONFIRM_INTERVAL.saturating_sub(since);
            let order = match timeout(until_due, self.orders.recv()).await {
                Ok(Some(order)) => Some(order),
                Ok(None) => return,
                Err(_) if self.is_owner_silent() => {
                    last_written_at = self.platform.now();
                    continue;
                }
                Err(_) => None,
            };
            let event = self.write(order).await;
            last_written_at = self.platform.now();
            let is_last = match &event {
                Some(WriterEvent::Written(end)) => end.change != ClaimChange::Confirm,
                Some(WriterEvent::Lost(_)) => true,
                Some(WriterEvent::Refused(_)) | None => false,
            };
            if let Some(event) = event {
                // The receiver is gone if the owner task has ended.
                let _ = self.events.send(event).await;
            }
            if is_last {
                return;
            }
        }
    }

    fn is_owner_silent(&self) -> bool {
        let last_round = *self.last_round.borrow();
        self.platform.now().saturating_duration_since(last_round) >= MAX_OWNER_SILENCE
    }

    /// Writes a transaction, which only confirms the claim if there is no order. Returns what the owner has to
    /// be told.
    async fn write(&mut self, order: Option<WriteOrder>) -> Option<WriterEvent> {
        let is_ordered = order.is_some();
        let WriteOrder { writes, change } = order.unwrap_or_default();
        let OwnerWrites {
            batch,
            log,
            chunks,
            writes,
            deletes,
            ..
        } = writes;
        let began_at = self.platform.now();
        let written = chunks.iter().chain(&writes);
        let written = written.map(|(key, value)| key.len() + value.len());
        let bytes = written.chain(deletes.iter().map(String::len)).sum();
        let result = match self.write_chunks(chunks).await {
            Ok(()) => {
                let held = &self.keeper.held;
                claim::write_with_claim(&self.platform, held, writes, deletes, &change).await
            }
            Err(error) => Err(error),
        };
        let (held, confirmed_at) = match result {
            Ok(confirmed) => confirmed,
            Err(ClaimError::Rejected(cause)) if is_ordered => {
                let refused = RefusedWrites {
                    batch,
                    log,
                    cause,
                    is_conclusive: true,
                };
                return Some(self.confirm_after(refused).await);
            }
            // The store accepts nothing at all. The claim is confirmed again after the usual interval.
            Err(ClaimError::Rejected(_)) => return None,
            Err(error) => return Some(WriterEvent::Lost(error)),
        };
        let now = self.platform.now();
        self.keeper.record_confirmation(held, confirmed_at, now);
        is_ordered.then(|| {
            WriterEvent::Written(Box::new(WriteEnd {
                batch,
                log,
                change,
                duration: now.saturating_duration_since(began_at),
                bytes,
            }))
        })
    }

    /// Writes the chunks of a large record in portions, each of which confirms the claim.
    async fn write_chunks(&mut self, mut chunks: Vec<(String, Vec<u8>)>) -> Result<(), ClaimError> {
        let confirm = ClaimChange::Confirm;
        while !chunks.is_empty() {
            let portion = self.chunk_portions.take(&mut chunks);
            let began_at = self.platform.now();
            let held = &self.keeper.held;
            let (held, confirmed_at) =
                claim::write_with_claim(&self.platform, held, portion, Vec::new(), &confirm)
                    .await?;
            let now = self.platform.now();
            self.keeper.record_confirmation(held, confirmed_at, now);
            let duration = now.saturating_duration_since(began_at);
            self.chunk_portions.record(duration);
        }
        Ok(())
    }

    /// Confirms the claim after refused writes, which shows that it is the writes that the store doesn't accept.
    async fn confirm_after(&mut self, mut refused: RefusedWrites) -> WriterEvent {
        let confirm = ClaimChange::Confirm;
        // Writes that are refused again and again must not take the store's rate of calls.
        sleep(REFUSAL_PAUSE).await;
        loop {
            let held = &self.keeper.held;
            let (writes, deletes) = (Vec::new(), Vec::new());
            match claim::write_with_claim(&self.platform, held, writes, deletes, &confirm).await {
                Ok((held, confirmed_at)) => {
                    let now = self.platform.now();
                    self.keeper.record_confirmation(held, confirmed_at, now);
                    return WriterEvent::Refused(Box::new(refused));
                }
                Err(ClaimError::Rejected(_)) => {
                    refused.is_conclusive = false;
                    sleep(CLAIM_CONFIRM_INTERVAL).await;
                }
                Err(error) => return WriterEvent::Lost(error),
            }
        }
    }
}

impl ClaimKeeper {
    /// Records that a write conditional on the claim has been committed, by an answer to the attempt sent at `confirmed_at`.
    fn record_confirmation(&mut self, held: HeldClaim, confirmed_at: Instant, now: Instant) {
        self.confirmation.send_replace(ClaimConfirmation {
            at: confirmed_at,
            revision: held.revision,
        });
        self.held = held;
        self.owner_last_seen.send_replace(Some(now));
    }
}
