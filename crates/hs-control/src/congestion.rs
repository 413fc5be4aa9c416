//! Teams for whose jobs the processes ask the owner before they store them.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Names of the congested teams, as the owner has found them last. Clones share their state.
#[derive(Clone, Debug, Default)]
pub(crate) struct CongestedTeams {
    names: Arc<Mutex<BTreeSet<Arc<str>>>>,
}

impl CongestedTeams {
    /// Replaces the names.
    pub(crate) fn set(&self, names: impl IntoIterator<Item = Arc<str>>) {
        *self.lock() = names.into_iter().collect();
    }

    /// Returns the names.
    pub(crate) fn names(&self) -> Vec<Arc<str>> {
        self.lock().iter().cloned().collect()
    }

    /// Returns whether a team is congested.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.lock().contains(name)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<Arc<str>>> {
        self.names.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
