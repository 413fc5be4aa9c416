//! Permission to start one task on one worker.

use hs_wire::NotRunReason;

/// Room reserved for one task, and what its start has to carry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskGrant {
    /// Name of the worker.
    pub worker: String,
    /// Address of the worker.
    pub address: String,
    /// Fencing token of the owner's lease.
    pub fence: u64,
    /// Incarnation of the worker.
    pub incarnation: u64,
}

/// Why no room was reserved. Nothing was started and nothing is reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceRefusal {
    /// There is no room at the moment.
    Busy,
    /// The work can't be placed for this reason.
    Refused(NotRunReason),
}
