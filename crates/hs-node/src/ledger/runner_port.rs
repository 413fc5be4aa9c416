//! A runner's way to the record that it works for.

use hs_ledger::RecordKey;
use tokio::sync::oneshot;

use super::LedgerHandle;
use super::message::{ChangeOutcome, PartitionMessage, TaskChange};

/// Changes one record under one ownership.
#[derive(Clone, Debug)]
pub(super) struct RunnerPort {
    ledger: LedgerHandle,
    partition: u32,
    epoch: u64,
    record: RecordKey,
}

impl RunnerPort {
    pub(super) fn new(ledger: LedgerHandle, partition: u32, epoch: u64, record: RecordKey) -> Self {
        Self {
            ledger,
            partition,
            epoch,
            record,
        }
    }

    /// Makes a change and waits until it is committed. Returns `None` if the ownership is lost or the
    /// change came too late; the runner must not act on it then.
    pub(super) async fn change(&self, change: TaskChange) -> Option<ChangeOutcome> {
        let (reply, result) = oneshot::channel();
        let message = PartitionMessage::Change {
            epoch: self.epoch,
            record: self.record,
            change,
            reply,
        };
        self.ledger.send(self.partition, message);
        result.await.ok()
    }
}
