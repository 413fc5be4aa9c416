//! Capacity reserved for one task.

use std::time::Instant;

use hs_core::{TaskEnd, WorkKey};
use hs_wire::TaskPhase;

/// Capacity that one task holds on a worker leased by this process.
#[derive(Clone, Copy, Debug)]
pub struct TaskReservation {
    /// Key of the work in the placement core.
    pub work: WorkKey,
    /// Index of the task within its work.
    pub index: u16,
    /// When the capacity was reserved.
    pub reserved_at: Instant,
    /// When the worker was last queried about the task.
    pub queried_at: Option<Instant>,
    /// Whether the worker did not know the task at the last query.
    pub is_unknown: bool,
}

/// Returns the end of the reservation of a task that its worker reports in a phase.
pub(crate) fn task_end(phase: TaskPhase) -> TaskEnd {
    match phase {
        TaskPhase::Done => TaskEnd::Done,
        TaskPhase::Failed => TaskEnd::Failed,
        TaskPhase::Stopped | TaskPhase::Running => TaskEnd::Stopped,
    }
}
