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

/// Minimum ratio of the times that the owner and its successor take for the same work.
const MIN_SPEED_RATIO: u32 = 2;

/// Returns the process to which an owner that is too slow hands the cell over, or `None` to keep the cell.
///
/// The owner has owned the cell since `owned_since` and takes `work_time` for the work that processes measure
/// their speed with.
pub(crate) fn successor(
    members: &MemberTable,
    work_time: Option<Duration>,
    owned_since: Instant,
    now: Instant,
) -> Option<Arc<str>> {
    if now.saturating_duration_since(owned_since) < MIN_OWNERSHIP {
        return None;
    }
    let (node, fastest) = members.fastest(now)?;
    (fastest * MIN_SPEED_RATIO <= work_time?).then_some(node)
}
