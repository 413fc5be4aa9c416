//! Handle to the partition tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::{LedgerAnswer, LedgerCall, PARTITION_COUNT, PartitionMessage, PartitionStatus};

/// Maximum time that a query or a cancellation waits for its commit.
const QUERY_COMMIT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Sends messages to the partition tasks.
#[derive(Clone, Debug)]
pub struct LedgerHandle {
    senders: Vec<mpsc::UnboundedSender<PartitionMessage>>,
    owned_flags: Arc<Vec<AtomicBool>>,
}

impl LedgerHandle {
    /// Creates a handle and the receivers, one for each partition in order.
    pub fn channels() -> (Self, Vec<mpsc::UnboundedReceiver<PartitionMessage>>) {
        let channels = (0..PARTITION_COUNT).map(|_| mpsc::unbounded_channel());
        let (senders, receivers) = channels.unzip();
        let owned_flags = Arc::new(
            (0..PARTITION_COUNT)
                .map(|_| AtomicBool::new(false))
                .collect(),
        );
        (
            Self {
                senders,
                owned_flags,
            },
            receivers,
        )
    }

    /// Returns whether this process owns a partition, to its current knowledge.
    pub fn is_owned(&self, partition: u32) -> bool {
        let flag = self.owned_flags.get(partition as usize);
        flag.is_some_and(|flag| flag.load(Ordering::Relaxed))
    }

    /// Records whether this process owns a partition.
    pub(super) fn set_owned(&self, partition: u32, is_owned: bool) {
        if let Some(flag) = self.owned_flags.get(partition as usize) {
            flag.store(is_owned, Ordering::Relaxed);
        }
    }

    /// Sends a call to a partition and waits for its outcome, at most for the wait of the caller.
    pub async fn call(&self, partition: u32, call: LedgerCall) -> LedgerAnswer {
        let (wait, customer, key) = match &call {
            LedgerCall::Submit { submission, .. } => (
                Duration::from_millis(submission.wait_limit_ms()),
                submission.customer.clone(),
                submission.key.clone(),
            ),
            LedgerCall::Query { customer, key } | LedgerCall::Cancel { customer, key } => {
                (QUERY_COMMIT_TIMEOUT, customer.clone(), key.clone())
            }
        };
        let (reply, mut answer) = oneshot::channel();
        self.send(partition, PartitionMessage::Call { call, reply });
        if let Ok(answer) = timeout(wait, &mut answer).await {
            return answer.unwrap_or(LedgerAnswer::NotOwned { owner: None });
        }
        let (reply, state_answer) = oneshot::channel();
        let message = PartitionMessage::WaitExpired {
            customer,
            key,
            reply,
        };
        self.send(partition, message);
        // The outcome may have arrived between the two messages.
        match (state_answer.await, answer.try_recv()) {
            (_, Ok(answer)) | (Ok(answer), Err(_)) => answer,
            (Err(_), Err(_)) => LedgerAnswer::NotOwned { owner: None },
        }
    }

    /// Releases every partition, and returns when all are released.
    pub async fn release_all(&self) {
        for partition in 0..PARTITION_COUNT {
            let (done, result) = oneshot::channel();
            self.send(partition, PartitionMessage::Release { done });
            let _ = result.await;
        }
    }

    /// Returns the status of every partition whose task still runs.
    pub async fn status(&self) -> Vec<PartitionStatus> {
        let mut statuses = Vec::with_capacity(self.senders.len());
        for partition in 0..PARTITION_COUNT {
            let (reply, result) = oneshot::channel();
            self.send(partition, PartitionMessage::Status { reply });
            statuses.extend(result.await);
        }
        statuses
    }

    /// Sends a message to a partition task. It is dropped if the task has ended.
    pub fn send(&self, partition: u32, message: PartitionMessage) {
        if let Some(sender) = self.senders.get(partition as usize) {
            let _ = sender.send(message);
        }
    }
}
