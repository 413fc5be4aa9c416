//! Access of a runner to its record.

use hs_ledger::RecordKey;
use tokio::sync::oneshot;

use super::LedgerHandle;
use super::message::{ChangeOutcome, PartitionMessage, TaskChange};

/// Makes changes to one record, valid for one epoch of ownership.
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

    /// Makes a change and waits until it is committed. Returns `None` if the ownership is lost or
    /// the change came too late. The runner must not act on the change then.
    pub(super) async fn commit_change(&self, change: TaskChange) -> Option<ChangeOutcome> {
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
