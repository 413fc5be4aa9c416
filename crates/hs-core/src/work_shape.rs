//! Shape of work: what decides whether it fits.

use hs_wire::Resources;

use crate::WorkRequest;

/// Resource demand and task count, which decide whether work fits. Within one band, either all work
/// of a shape fits or none of it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct WorkShape {
    /// Resources of each task.
    pub(crate) need: Resources,
    /// Number of tasks.
    pub(crate) tasks: u16,
}

impl WorkShape {
    /// Returns the shape of a request.
    pub(crate) fn of(request: &WorkRequest) -> Self {
        Self {
            need: request.resources,
            tasks: request.tasks.max(1),
        }
    }

    /// Returns the resources of all tasks together.
    pub(crate) fn total(self) -> Resources {
        self.need.saturating_mul(u32::from(self.tasks))
    }
}
