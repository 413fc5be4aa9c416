//! Stops that a link has not finished sending.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hs_cell::TaskRun;

/// Runs whose stops are in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingStops {
    runs: Arc<Mutex<BTreeSet<TaskRun>>>,
}

/// A stop in flight, until it is dropped.
#[derive(Debug)]
pub(crate) struct PendingStop {
    run: TaskRun,
    stops: PendingStops,
}

impl PendingStops {
    /// Adds a stop. Returns `None` if one of the same run is in flight.
    pub(super) fn begin(&self, run: TaskRun) -> Option<PendingStop> {
        let is_new = self.lock().insert(run);
        is_new.then(|| PendingStop {
            run,
            stops: self.clone(),
        })
    }

    /// Returns whether a stop of a run is in flight.
    pub(super) fn contains(&self, run: TaskRun) -> bool {
        self.lock().contains(&run)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<TaskRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PendingStop {
    /// Returns the run to stop.
    pub(super) fn run(&self) -> TaskRun {
        self.run
    }
}

impl Drop for PendingStop {
    fn drop(&mut self) {
        self.stops.lock().remove(&self.run);
    }
}
