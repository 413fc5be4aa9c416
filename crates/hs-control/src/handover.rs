//! Decides when an owner that is behind hands the cell over, and to which process.
//!
//! A takeover is the most expensive thing that an owner does, and it does not reduce the load. The cell is
//! therefore only handed to a process of a better rank, or to one that has shown to compute much faster. Each handover
//! at least halves the time that the same work takes or raises the rank, which bounds their number.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::members::{Candidate, MemberTable};
use crate::rank::VmRank;

/// Minimum time for which an owner keeps the cell, since its own takeover makes it late at first.
const MIN_OWNERSHIP: Duration = Duration::from_secs(3);

/// Minimum time for which an owner keeps a cell that was handed over to it. It bounds the rate of handovers where the
/// measured speed depends on the load, as on VMs whose processor share is a quota.
const MIN_OWNERSHIP_AFTER_HANDOVER: Duration = Duration::from_secs(15);

/// Since when and how a process owns the cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnershipStart {
    pub at: Instant,
    /// Whether the former owner has handed the cell over to this process.
    pub by_handover: bool,
}

impl OwnershipStart {
    fn min_ownership(self) -> Duration {
        match self.by_handover {
            true => MIN_OWNERSHIP_AFTER_HANDOVER,
            false => MIN_OWNERSHIP,
        }
    }
}

/// Minimum ratio of the times that the owner and its successor take for the same work.
const MIN_SPEED_RATIO: u32 = 2;

/// What shows that an owner is behind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OwnerDelay {
    /// Its timer lags.
    Processor,
    /// Its transactions take long, because of their bytes or on a VM that is not fit.
    Commits,
}

/// The owner as it measures itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerStanding {
    pub delay: OwnerDelay,
    pub rank: VmRank,
    /// Time for the work of a speed measurement.
    pub work_time: Option<Duration>,
    pub start: OwnershipStart,
}

/// Returns the process to which an owner that is behind hands the cell over, or `None` to keep the cell.
pub(crate) fn successor(
    members: &MemberTable,
    owner: &OwnerStanding,
    now: Instant,
) -> Option<Arc<str>> {
    if now.saturating_duration_since(owner.start.at) < owner.start.min_ownership() {
        return None;
    }
    let is_better = |candidate: &Candidate| candidate.rank.is_some_and(|rank| rank > owner.rank);
    let is_faster = |candidate: &Candidate| {
        let times = candidate.work_time.zip(owner.work_time);
        times.is_some_and(|(time, own_time)| time * MIN_SPEED_RATIO <= own_time)
    };
    match owner.delay {
        OwnerDelay::Processor => {
            let faster = members.best(now, is_faster);
            faster.or_else(|| members.best(now, is_better))
        }
        OwnerDelay::Commits => members.best(now, is_better),
    }
}
