//! Writes accepted jobs and cancellations to the store, several in one transaction.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::sleep;

use crate::port::{ClockPort, StorePort, StoreTxn, TxnReply};
use crate::store_health::StoreHealth;

/// Rows that one transaction may write; each has a condition too, and the store takes 32 entries.
const MAX_TXN_ROWS: usize = 15;

/// Transactions that may be on their way.
const MAX_IN_FLIGHT_TXNS: usize = 4;

/// Rows that may wait for a transaction.
const QUEUE_CAPACITY: usize = 256;

/// Time after which a write is sent again.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time that a write is waited for, when the store is slow.
const MAX_WRITE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Pause after a refused write.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What became of a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IntakeResult {
    /// The row is in the store.
    Stored,
    /// The row was there before.
    AlreadyExists,
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
    deadline: Instant,
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
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(store, health, receiver));
        Self { sender }
    }

    /// Creates an item, and tries that until `deadline`.
    pub(crate) async fn create(
        &self,
        key: String,
        value: Vec<u8>,
        deadline: Instant,
    ) -> IntakeResult {
        let (reply, answer) = oneshot::channel();
        let row = IntakeRow {
            key,
            value,
            deadline,
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
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT_TXNS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Some(row) = receiver.recv().await else {
            return;
        };
        let mut rows = vec![row];
        while rows.len() < MAX_TXN_ROWS
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
    let mut timeout = FIRST_WRITE_TIMEOUT;
    while !rows.is_empty() {
        let now = store.now();
        // A row that was never sent is refused at once while the store is away.
        let refuse_all = !in_doubt && health.is_down(now);
        let is_expired = |row: &IntakeRow| refuse_all || now >= row.deadline;
        let (expired, left): (Vec<_>, Vec<_>) = rows.into_iter().partition(is_expired);
        let result = match in_doubt {
            true => IntakeResult::Unknown,
            false => IntakeResult::Refused,
        };
        for row in expired {
            answer(row, result);
        }
        rows = left;
        if rows.is_empty() {
            return;
        }
        let reply = store.transact(&transaction(&rows), timeout).await;
        health.record_call(reply.is_ok(), store.now());
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
                    answer(row, IntakeResult::AlreadyExists);
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
                timeout = (timeout * 2).min(MAX_WRITE_TIMEOUT);
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
