//! Transactions of the owner, one at a time.

use hs_cell::{JobId, RecordRow};
use hs_event::EventCode;

use super::{OwnerEnd, OwnerTask};
use crate::claim_writer::{WriteEnd, WriteOrder, WriterEvent};
use crate::port::Platform;

impl<P: Platform> OwnerTask<P> {
    /// Orders the next transaction, unless one is in flight or there is nothing to write.
    pub(super) fn begin_commit(&mut self) {
        if self.committing {
            return;
        }
        let now = self.platform.now();
        let writes = self.planner.plan(&mut self.cell, now);
        // If no other process could take the cell over, a slow owner is better than none.
        let slow = self.lag.is_slow() && !self.status.members().is_empty();
        let releases = slow || (self.release.is_some() && writes.batch.is_empty());
        if writes.is_empty() && !releases {
            return;
        }
        self.committing = true;
        let order = WriteOrder { writes, releases };
        if self.write_orders.try_send(order).is_err() {
            self.end = Some(OwnerEnd::Lost("the claim writer has ended".to_owned()));
        }
    }

    pub(super) fn handle_writer_event(&mut self, event: WriterEvent) {
        match event {
            WriterEvent::Written(end) => self.finish_commit(*end),
            WriterEvent::Lost(error) => self.end = Some(OwnerEnd::Lost(error.to_string())),
        }
    }

    fn finish_commit(&mut self, end: WriteEnd) {
        self.committing = false;
        self.metrics.record_commit(end.duration);
        self.load.record_commit(end.duration);
        self.planner.log.committed(end.log);
        for row in &end.batch.rows {
            if let RecordRow::Finished(id, outcome) = row {
                EventCode::JobEnded.log(format_args!("job={id} outcome={outcome:?}"));
            }
        }
        let ended: Vec<JobId> = end.batch.finished().collect();
        self.cell.committed(end.batch, self.platform.now());
        for id in ended {
            if let Some(state) = self.cell.state(id) {
                self.end_waiters.notify_ended(id, state);
            }
        }
        if end.released {
            self.end = Some(match self.release.take() {
                Some(reply) => {
                    // The receiver is gone if the process no longer waits for the release.
                    let _ = reply.send(());
                    OwnerEnd::Released
                }
                None => OwnerEnd::TooSlow(self.lag.mean_lag()),
            });
        }
    }
}
