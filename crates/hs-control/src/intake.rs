//! Writes accepted jobs and cancellations to the store, several in one transaction.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::sleep;

use crate::port::{ClockPort, StorePort, StoreTxn, TxnReply};
use crate::store_health::StoreHealth;

/// Rows that one transaction may write; each has a condition too, and the store takes 32 entries.
const MAX_ROWS: usize = 15;

/// Transactions that may be on their way.
const MAX_IN_FLIGHT: usize = 4;

/// Rows that may wait for a transaction.
const QUEUE_ROWS: usize = 256;

/// Time after which a write is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(300);

/// Longest time that a write is waited for, when the store is slow.
const MAX_RESEND_AFTER: Duration = Duration::from_millis(1200);

/// Pause after a refused write.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What became of a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IntakeResult {
    /// The row is in the store.
    Stored,
    /// The row was there before.
    Present,
    /// The row is not in the store and will not be written by this call.
    Refused,
    /// The row may be written, now or later.
    Unknown,
}

/// A row to be created.
#[derive(Debug)]
struct IntakeRow {
    key: String,
    value: Vec<u8>,
    give_up_at: Instant,
    reply: oneshot::Sender<IntakeResult>,
}

/// Sends rows to the intake task.
#[derive(Clone, Debug)]
pub(crate) struct IntakeHandle {
    sender: mpsc::Sender<IntakeRow>,
}

impl IntakeHandle {
    /// Starts the task.
    pub(crate) fn spawn<S: StorePort + ClockPort>(store: S, health: StoreHealth) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_ROWS);
        tokio::spawn(run(store, health, receiver));
        Self { sender }
    }

    /// Creates an item, and tries that until `give_up_at`.
    pub(crate) async fn create(
        &self,
        key: String,
        value: Vec<u8>,
        give_up_at: Instant,
    ) -> IntakeResult {
        let (reply, answer) = oneshot::channel();
        let row = IntakeRow {
            key,
            value,
            give_up_at,
            reply,
        };
        // A full queue means that the store is far behind: nothing was written.
        if self.sender.try_send(row).is_err() {
            return IntakeResult::Refused;
        }
        answer.await.unwrap_or(IntakeResult::Unknown)
    }
}

async fn run<S: StorePort + ClockPort>(
    store: S,
    health: StoreHealth,
    mut receiver: mpsc::Receiver<IntakeRow>,
) {
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Some(row) = receiver.recv().await else {
            return;
        };
        let mut rows = vec![row];
        while rows.len() < MAX_ROWS
            && let Ok(row) = receiver.try_recv()
        {
            // Two rows of one key in a transaction would contradict each other.
            if rows.iter().any(|other| other.key == row.key) {
                write(store.clone(), health.clone(), std::mem::take(&mut rows)).await;
            }
            rows.push(row);
        }
        let store = store.clone();
        let health = health.clone();
        tokio::spawn(async move {
            write(store, health, rows).await;
            drop(permit);
        });
    }
}

/// Writes rows, and repeats that until the store has answered for certain or their time is over.
async fn write<S: StorePort + ClockPort>(store: S, health: StoreHealth, mut rows: Vec<IntakeRow>) {
    // Whether an earlier copy of a write may still be carried out.
    let mut in_doubt = false;
    let mut limit = RESEND_AFTER;
    while !rows.is_empty() {
        let now = store.now();
        // A row that was never sent is refused at once while the store is away.
        let give_up = !in_doubt && health.is_away(now);
        let over = |row: &IntakeRow| give_up || now >= row.give_up_at;
        let (over, left): (Vec<_>, Vec<_>) = rows.into_iter().partition(over);
        let result = match in_doubt {
            true => IntakeResult::Unknown,
            false => IntakeResult::Refused,
        };
        for row in over {
            answer(row, result);
        }
        rows = left;
        if rows.is_empty() {
            return;
        }
        let reply = store.transact(&transaction(&rows), limit).await;
        health.note(reply.is_ok(), store.now());
        match reply {
            Ok(TxnReply::Committed(_)) => {
                for row in rows {
                    answer(row, IntakeResult::Stored);
                }
                return;
            }
            Ok(TxnReply::Conflict(items)) => {
                let found = |row: &IntakeRow| items.iter().any(|item| item.key == row.key);
                let (present, left): (Vec<_>, Vec<_>) = rows.into_iter().partition(found);
                if present.is_empty() {
                    log::warn!(
                        "store reports a conflict without an item, rows={}",
                        left.len()
                    );
                    sleep(RETRY_PAUSE).await;
                }
                for row in present {
                    answer(row, IntakeResult::Present);
                }
                rows = left;
            }
            Err(error) if error.is_refused() => {
                log::debug!("rows not written: {error}");
                sleep(RETRY_PAUSE).await;
            }
            Err(error) => {
                log::debug!("rows in doubt: {error}");
                in_doubt = true;
                limit = (limit * 2).min(MAX_RESEND_AFTER);
            }
        }
    }
}

fn answer(row: IntakeRow, result: IntakeResult) {
    // The client may have left; its row stays as it is.
    let _ = row.reply.send(result);
}

fn transaction(rows: &[IntakeRow]) -> StoreTxn {
    StoreTxn {
        expect: rows.iter().map(|row| (row.key.clone(), 0)).collect(),
        writes: rows
            .iter()
            .map(|row| (row.key.clone(), row.value.clone()))
            .collect(),
        deletes: Vec::new(),
    }
}
