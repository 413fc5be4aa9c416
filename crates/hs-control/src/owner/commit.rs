//! Transactions of the owner, one at a time.

use std::sync::Arc;
use std::time::Instant;

use hs_cell::{JobId, RecordRow};
use hs_event::EventCode;

use super::{OwnerEnd, OwnerTask};
use crate::claim::ClaimChange;
use crate::claim_writer::{WriteEnd, WriteOrder, WriterEvent};
use crate::commits::RefusedWrites;
use crate::handover::{self, OwnerDelay, OwnerStanding};
use crate::port::Platform;
use crate::rank::{VmMeasurements, VmRank};
use crate::traffic::TrafficKind;

impl<P: Platform> OwnerTask<P> {
    /// Orders the next transaction, unless one is in flight or there is nothing to write.
    pub(super) fn begin_commit(&mut self) {
        if self.committing || self.end.is_some() {
            return;
        }
        let now = self.platform.now();
        let writes = self.planner.plan(&mut self.cell, now);
        let change = match self.successor(now) {
            Some(node) => ClaimChange::HandOver(node),
            None if self.release.is_some() && writes.batch.is_empty() => ClaimChange::Release,
            None => ClaimChange::Confirm,
        };
        if writes.is_empty() && change == ClaimChange::Confirm {
            return;
        }
        self.committing = true;
        let order = WriteOrder { writes, change };
        if self.write_orders.try_send(order).is_err() {
            self.end = Some(OwnerEnd::Lost("the claim writer has ended".to_owned()));
        }
    }

    /// Returns the process to which the cell is handed over, if this one is too slow for it.
    fn successor(&self, now: Instant) -> Option<Arc<str>> {
        let work_time = self.speed.work_time();
        let link_mbps = self.link_speed.slow_link_mbps();
        let measured = VmMeasurements {
            work_time,
            link_mbps,
        };
        let rank = VmRank::new(&self.limits, measured, self.status.workers());
        let has_slow_commits = link_mbps.is_some() || (self.link_speed.is_slow() && !rank.is_fit());
        let delay = match (self.lag.is_slow(), has_slow_commits) {
            (true, _) => OwnerDelay::Processor,
            (false, true) => OwnerDelay::Commits,
            (false, false) => return None,
        };
        let owner = OwnerStanding {
            delay,
            rank,
            work_time,
            start: self.ownership_start,
        };
        handover::successor(&self.status.members(), &owner, now)
    }

    pub(super) fn handle_writer_event(&mut self, event: WriterEvent) {
        match event {
            WriterEvent::Written(end) => self.finish_commit(*end),
            WriterEvent::Refused(refused) => self.take_back_commit(*refused),
            WriterEvent::Lost(error) => self.end = Some(OwnerEnd::Lost(error.to_string())),
        }
    }

    /// Takes back a transaction that the store never accepts.
    fn take_back_commit(&mut self, refused: RefusedWrites) {
        self.committing = false;
        self.metrics.record_refused_write();
        let rows = refused.batch.rows.len();
        let cause = refused.cause.clone();
        let failed = self.planner.take_back(refused, &mut self.cell);
        let job = failed.map(|job| job.to_string()).unwrap_or_default();
        EventCode::RecordRefused.log(format_args!("job={job} rows={rows} cause=\"{cause}\""));
    }

    fn finish_commit(&mut self, end: WriteEnd) {
        self.committing = false;
        self.metrics.record_commit(end.duration);
        self.load.record_commit(end.duration);
        let traffic = &self.status.traffic;
        traffic.record(TrafficKind::Records, end.bytes);
        self.link_speed.record_commit(end.bytes, end.duration);
        self.cell.record_commit_time(end.duration);
        self.planner.log.committed(end.log);
        for row in &end.batch.rows {
            if let RecordRow::Finished(id, end) = row {
                EventCode::JobEnded.log(format_args!("job={id} outcome={:?}", end.outcome));
            }
        }
        let ended: Vec<JobId> = end.batch.finished().collect();
        self.cell.committed(end.batch, self.platform.now());
        for id in ended {
            if let Some(state) = self.cell.state(id) {
                self.end_waiters.notify_ended(id, state);
            }
        }
        self.end = match end.change {
            ClaimChange::Confirm => return,
            ClaimChange::Release | ClaimChange::GiveUp { .. } => Some(OwnerEnd::Released),
            ClaimChange::HandOver(successor) => Some(OwnerEnd::TooSlow {
                lag: self.lag.mean_lag(),
                work_time: self.speed.work_time().unwrap_or_default(),
                commit_time: self.link_speed.mean_time(),
                successor,
            }),
        };
        if let Some(reply) = self.release.take() {
            // The receiver is gone if the process no longer waits for the release.
            let _ = reply.send(());
        }
    }
}
