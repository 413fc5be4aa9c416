//! Transactions of the owner, one at a time.

use std::time::Instant;

use hs_cell::{JobId, RecordRow};
use hs_event::EventCode;

use super::{CommitEnd, OwnerEnd, OwnerEvent, OwnerTask};
use crate::claim;
use crate::commits::OwnerWrites;
use crate::port::Platform;
use crate::takeover::CLAIM_CONFIRM_INTERVAL;

impl<P: Platform> OwnerTask<P> {
    pub(super) fn begin_commit(&mut self, now: Instant) {
        let planned = self
            .planner
            .plan(&mut self.cell, &self.claim_tracker.held.value, now);
        // If no other process could take the cell over, a slow owner is better than none.
        let slow = self.lag.is_slow() && !self.members.is_empty();
        let releasing = slow || (self.release.is_some() && planned.batch.is_empty());
        let is_confirm_due =
            now.saturating_duration_since(self.last_commit_at) >= CLAIM_CONFIRM_INTERVAL;
        if planned.is_empty() && !is_confirm_due && !releasing {
            return;
        }
        self.committing = true;
        self.commit_started_at = now;
        let platform = self.platform.clone();
        let held = self.claim_tracker.held.clone();
        let events = self.events.clone();
        self.background_tasks.spawn(async move {
            let OwnerWrites {
                batch,
                log,
                writes,
                deletes,
            } = planned;
            let result =
                claim::write_with_claim(&platform, &held, writes, deletes, releasing).await;
            let end = Box::new(CommitEnd { batch, log, result });
            // The receiver is gone if the owner task has ended.
            let _ = events.send(OwnerEvent::Committed(end)).await;
        });
    }

    pub(super) fn finish_commit(&mut self, end: CommitEnd) {
        self.committing = false;
        match end.result {
            Ok((held, confirmed_at)) => {
                let now = self.platform.now();
                self.last_commit_at = now;
                let duration = now.saturating_duration_since(self.commit_started_at);
                self.metrics.record_commit(duration);
                self.load.record_commit(duration);
                self.cell.record_commit_time(duration);
                self.claim_tracker
                    .record_confirmation(held, confirmed_at, now);
                self.planner.log.committed(end.log);
                for row in &end.batch.rows {
                    if let RecordRow::Finished(id, outcome) = row {
                        EventCode::JobEnded.log(format_args!("job={id} outcome={outcome:?}"));
                    }
                }
                let ended: Vec<JobId> = end.batch.finished().collect();
                self.cell.committed(end.batch, now);
                for id in ended {
                    if let Some(state) = self.cell.state(id) {
                        self.end_waiters.notify_ended(id, state);
                    }
                }
                if self.claim_tracker.held.value.released {
                    self.end = Some(match self.release.take() {
                        Some(reply) => {
                            let _ = reply.send(());
                            OwnerEnd::Released
                        }
                        None => OwnerEnd::TooSlow(self.lag.mean_lag()),
                    });
                }
            }
            Err(error) => self.end = Some(OwnerEnd::Lost(error.to_string())),
        }
    }
}
