//! The manifest in force.

use std::sync::Arc;

/// What became of an offered manifest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The revision is higher than the one before, and is now in force.
    Applied,
    /// The revision is lower than the one in force, or zero. Nothing changed.
    Stale,
    /// Revision and text are those in force.
    Same,
    /// The revision is the one in force, but the text differs. Nothing changed: a publish is a
    /// compare-and-swap, so one of the two texts never was in the store.
    Conflict,
}

/// Revision and text of the manifest in force, which never goes back to a lower revision.
///
/// The caller validates a text before it offers it.
///
/// # Examples
///
/// ```
/// use hs_peer::{OfferOutcome, ManifestState};
///
/// let mut state = ManifestState::new();
/// assert_eq!(state.offer(4, "{}"), OfferOutcome::Applied);
/// // A peer that lags behind offers an older manifest.
/// assert_eq!(state.offer(3, "{}"), OfferOutcome::Stale);
/// assert_eq!(state.revision(), 4);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ManifestState {
    revision: u64,
    text: Option<Arc<str>>,
}

impl ManifestState {
    /// Creates a state without a manifest.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offers a manifest from the store or a peer. Revision zero stands for no manifest.
    pub fn offer(&mut self, revision: u64, text: &str) -> OfferOutcome {
        match &self.text {
            _ if revision == 0 || revision < self.revision => OfferOutcome::Stale,
            Some(have) if revision == self.revision && **have == *text => OfferOutcome::Same,
            Some(_) if revision == self.revision => OfferOutcome::Conflict,
            _ => {
                self.revision = revision;
                self.text = Some(Arc::from(text));
                OfferOutcome::Applied
            }
        }
    }

    /// Returns the revision in force; zero for none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the text in force.
    pub fn text(&self) -> Option<Arc<str>> {
        self.text.clone()
    }
}
