//! Decides when an owner that is behind hands the cell over, and to which process.
//!
//! A takeover is the most expensive thing that an owner does, and it does not reduce the load. The cell is
//! therefore only handed to a process that has shown to compute much faster. Each handover at least halves the
//! time that the same work takes, which bounds their number.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::members::MemberTable;

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

/// Returns the process to which an owner that is too slow hands the cell over, or `None` to keep the cell.
///
/// The owner takes `work_time` for the work that processes measure their speed with.
pub(crate) fn successor(
    members: &MemberTable,
    work_time: Option<Duration>,
    start: OwnershipStart,
    now: Instant,
) -> Option<Arc<str>> {
    if now.saturating_duration_since(start.at) < start.min_ownership() {
        return None;
    }
    let (node, fastest) = members.fastest(now)?;
    (fastest * MIN_SPEED_RATIO <= work_time?).then_some(node)
}
