//! Handle to the partition tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::{LedgerAnswer, LedgerCall, PARTITION_COUNT, PartitionMessage, PartitionStatus};

/// Longest time that a query or a cancellation waits for its commit.
const QUERY_WAIT: Duration = Duration::from_millis(1200);

/// Sends messages to the partition tasks.
#[derive(Clone, Debug)]
pub struct LedgerHandle {
    senders: Vec<mpsc::UnboundedSender<PartitionMessage>>,
    owned: Arc<Vec<AtomicBool>>,
}

impl LedgerHandle {
    /// Builds a handle and the receivers, one for each partition in order.
    pub fn channels() -> (Self, Vec<mpsc::UnboundedReceiver<PartitionMessage>>) {
        let channels = (0..PARTITION_COUNT).map(|_| mpsc::unbounded_channel());
        let (senders, receivers) = channels.unzip();
        let owned = Arc::new(
            (0..PARTITION_COUNT)
                .map(|_| AtomicBool::new(false))
                .collect(),
        );
        (Self { senders, owned }, receivers)
    }

    /// Returns whether this process owns a partition, as far as it knows.
    pub fn is_owned(&self, partition: u32) -> bool {
        let flag = self.owned.get(partition as usize);
        flag.is_some_and(|flag| flag.load(Ordering::Relaxed))
    }

    /// Notes whether this process owns a partition.
    pub(super) fn set_owned(&self, partition: u32, is_owned: bool) {
        if let Some(flag) = self.owned.get(partition as usize) {
            flag.store(is_owned, Ordering::Relaxed);
        }
    }

    /// Passes a call to a partition and waits for its outcome, at most for the caller's wait.
    pub async fn call(&self, partition: u32, call: LedgerCall) -> LedgerAnswer {
        let (wait, customer, key) = match &call {
            LedgerCall::Submit { submission, .. } => (
                Duration::from_millis(submission.wait_limit_ms()),
                submission.customer.clone(),
                submission.key.clone(),
            ),
            LedgerCall::Query { customer, key } | LedgerCall::Cancel { customer, key } => {
                (QUERY_WAIT, customer.clone(), key.clone())
            }
        };
        let (reply, mut answer) = oneshot::channel();
        self.send(partition, PartitionMessage::Call { call, reply });
        if let Ok(answer) = timeout(wait, &mut answer).await {
            return answer.unwrap_or(LedgerAnswer::NotOwned { owner: None });
        }
        let (reply, late) = oneshot::channel();
        let message = PartitionMessage::WaitExpired {
            customer,
            key,
            reply,
        };
        self.send(partition, message);
        // The outcome may have come between the two messages.
        match (late.await, answer.try_recv()) {
            (_, Ok(answer)) | (Ok(answer), Err(_)) => answer,
            (Err(_), Err(_)) => LedgerAnswer::NotOwned { owner: None },
        }
    }

    /// Gives up every partition.
    pub async fn release_all(&self) {
        for partition in 0..PARTITION_COUNT {
            let (done, result) = oneshot::channel();
            self.send(partition, PartitionMessage::Release { done });
            let _ = result.await;
        }
    }

    /// Asks for a summary of every partition.
    pub async fn status(&self) -> Vec<PartitionStatus> {
        let mut statuses = Vec::with_capacity(self.senders.len());
        for partition in 0..PARTITION_COUNT {
            let (reply, result) = oneshot::channel();
            self.send(partition, PartitionMessage::Status { reply });
            statuses.extend(result.await);
        }
        statuses
    }

    /// Sends a message. A task that has ended drops it.
    pub fn send(&self, partition: u32, message: PartitionMessage) {
        if let Some(sender) = self.senders.get(partition as usize) {
            let _ = sender.send(message);
        }
    }
}
