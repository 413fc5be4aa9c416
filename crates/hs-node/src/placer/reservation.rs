//! Room held for one task.

use std::time::Instant;

use hs_core::WorkKey;

/// Room that one task holds on a worker of this process.
#[derive(Clone, Copy, Debug)]
pub struct TaskReservation {
    /// The work in the placer.
    pub work: WorkKey,
    /// Index of the task in its work.
    pub index: u16,
    /// When the room was reserved.
    pub since: Instant,
    /// When the worker was last asked about the task.
    pub asked: Option<Instant>,
    /// Whether the worker did not know the task when it was last asked.
    pub is_missing: bool,
}
