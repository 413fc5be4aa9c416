//! Outcomes of a placement request: a grant for each task, or a refusal.

use hs_wire::NotRunReason;

/// Capacity reserved for one task, with the values that its start request has to carry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskGrant {
    /// Name of the worker.
    pub worker: String,
    /// Address of the worker.
    pub address: String,
    /// Fencing token of the lease that the worker's owner holds.
    pub fence: u64,
    /// Incarnation of the worker.
    pub incarnation: u64,
}

/// Why no capacity was reserved. No task was started, and nothing stays reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceRefusal {
    /// There is not enough free capacity at the moment.
    Busy,
    /// The work cannot be placed, for the given reason.
    Refused(NotRunReason),
}
