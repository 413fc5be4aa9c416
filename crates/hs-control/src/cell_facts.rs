//! What a process has last learnt of the cell from the owner's replies to its heartbeats.

use std::time::Duration;

use crate::message::BeatReply;
use crate::rank::{VmLimits, VmMeasurements, VmRank, uninformed_takeover_delay};

/// Facts about the cell. They outlive the owner that has stated them, since they are needed when it is gone. Facts that
/// no longer hold delay a takeover by less than a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CellFacts {
    /// Number of workers; 0 if unknown.
    workers: u32,
    /// Best rank of the processes other than the owner.
    best_rank: Option<VmRank>,
}

impl CellFacts {
    /// Takes what a reply says. An owner that has just begun does not know the cell yet.
    pub(crate) fn update(&mut self, reply: &BeatReply) {
        if reply.workers > 0 {
            self.workers = reply.workers;
        }
        self.best_rank = VmRank::from_wire(reply.best_rank).or(self.best_rank);
    }

    /// Returns the rank of a VM in this cell, which takes `work_time` for the work of a speed measurement.
    pub(crate) fn rank(&self, limits: &VmLimits, work_time: Option<Duration>) -> VmRank {
        let measured = VmMeasurements {
            work_time,
            link_mbps: None,
        };
        VmRank::new(limits, measured, self.workers)
    }

    /// Returns the delay with which a VM of this rank takes the cell over.
    pub(crate) fn takeover_delay(&self, limits: &VmLimits, rank: VmRank) -> Duration {
        match self.best_rank {
            Some(best) => rank.takeover_delay(best),
            None => uninformed_takeover_delay(limits),
        }
    }
}
