//! Writes accepted jobs and cancellations to the store, batched into transactions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::sleep;

use crate::port::{ClockPort, PortError, StoreItem, StorePort, StoreTxn, TxnReply};
use crate::store_health::StoreHealth;

/// Maximum number of rows in one transaction. Each takes two entries, a condition and a write, of the
/// store's 32.
const MAX_TXN_ROWS: usize = 15;

/// Maximum number of transactions in flight at a time.
const MAX_IN_FLIGHT_TXNS: usize = 4;

/// Maximum number of rows that may wait for a transaction.
const QUEUE_CAPACITY: usize = 256;

/// Timeout of the first attempt of a write.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// Upper bound of the timeout of a write, which doubles with each attempt without a reply.
const MAX_WRITE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Pause before a refused write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The result of creating a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum IntakeResult {
    /// The row is in the store.
    Stored,
    /// The row already existed, with this value. An earlier attempt without a reply may have written it.
    AlreadyExists(Vec<u8>),
    /// The row is not in the store and will not be written by this call.
    Refused,
    /// The row may have been written, or may still be written later.
    Unknown,
}

/// A row to be created, and where to send the result.
#[derive(Debug)]
struct IntakeRow {
    key: String,
    value: Vec<u8>,
    deadline: Instant,
    reply: oneshot::Sender<IntakeResult>,
}

/// A row that the store already has, with the stored value.
#[derive(Debug)]
struct PresentRow {
    row: IntakeRow,
    value: Vec<u8>,
}

/// Handle of the intake task, which batches rows into transactions.
#[derive(Clone, Debug)]
pub(crate) struct IntakeHandle {
    sender: mpsc::Sender<IntakeRow>,
}

impl IntakeHandle {
    /// Spawns the intake task.
    pub(crate) fn spawn<S: StorePort + ClockPort>(store: S, health: StoreHealth) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(store, health, receiver));
        Self { sender }
    }

    /// Creates an item, with retries until `deadline`.
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
        // A full queue means that the store is overloaded. Nothing has been written yet.
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
            // Two rows with the same key in one transaction would violate each other's condition.
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

/// Writes rows, with retries until the store gives a definite answer or the deadline of each row has
/// passed.
async fn write<S: StorePort + ClockPort>(store: S, health: StoreHealth, mut rows: Vec<IntakeRow>) {
    // Whether the store may still apply an earlier attempt.
    let mut in_doubt = false;
    let mut timeout = FIRST_WRITE_TIMEOUT;
    while !rows.is_empty() {
        let now = store.now();
        // Rows that no earlier attempt can have written are refused at once while the store is down.
        let refuse_all = !in_doubt && health.is_down(now);
        let is_expired = |row: &IntakeRow| refuse_all || now >= row.deadline;
        let (expired, left): (Vec<_>, Vec<_>) = rows.into_iter().partition(is_expired);
        let result = match in_doubt {
            true => IntakeResult::Unknown,
            false => IntakeResult::Refused,
        };
        for row in expired {
            answer(row, result.clone());
        }
        rows = left;
        if rows.is_empty() {
            return;
        }
        let reply = store.transact(&transaction(&rows), timeout).await;
        let error = reply.as_ref().err();
        health.record_call(error.is_none_or(PortError::is_rejected), store.now());
        match reply {
            Ok(TxnReply::Committed(_)) => {
                for row in rows {
                    answer(row, IntakeResult::Stored);
                }
                return;
            }
            Ok(TxnReply::Conflict(items)) => {
                let (present, left) = split_present(rows, items);
                if present.is_empty() {
                    log::warn!(
                        "store reports a conflict without an item, rows={}",
                        left.len()
                    );
                    sleep(RETRY_PAUSE).await;
                }
                for PresentRow { row, value } in present {
                    answer(row, IntakeResult::AlreadyExists(value));
                }
                rows = left;
            }
            Err(error) if error.is_rejected() && !in_doubt => {
                log::debug!("write of {} rows was rejected: {error}", rows.len());
                return write_apart(store, health, rows).await;
            }
            Err(error) if error.is_refused() => {
                log::debug!("write of rows was refused: {error}");
                sleep(RETRY_PAUSE).await;
            }
            Err(error) => {
                log::debug!("write of rows had no reply: {error}");
                in_doubt = true;
                timeout = (timeout * 2).min(MAX_WRITE_TIMEOUT);
            }
        }
    }
}

/// Writes rows one by one, since the store accepts no transaction with all of them. One that is alone is refused.
async fn write_apart<S: StorePort + ClockPort>(
    store: S,
    health: StoreHealth,
    rows: Vec<IntakeRow>,
) {
    let is_alone = rows.len() == 1;
    for row in rows {
        match is_alone {
            true => answer(row, IntakeResult::Refused),
            false => Box::pin(write(store.clone(), health.clone(), vec![row])).await,
        }
    }
}

/// Separates the rows that a conflict shows in the store.
fn split_present(
    rows: Vec<IntakeRow>,
    mut items: Vec<StoreItem>,
) -> (Vec<PresentRow>, Vec<IntakeRow>) {
    let mut present = Vec::new();
    let mut left = Vec::new();
    for row in rows {
        match items.iter_mut().find(|item| item.key == row.key) {
            Some(item) => present.push(PresentRow {
                row,
                value: item.value.take().unwrap_or_default(),
            }),
            None => left.push(row),
        }
    }
    (present, left)
}

fn answer(row: IntakeRow, result: IntakeResult) {
    // The receiver is gone if the client has disconnected; the row stays as it is.
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
