//! The current manifest.

use std::sync::Arc;

/// Outcome of [`ManifestState::offer`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The revision is higher than the current one. The offered manifest is now current.
    Applied,
    /// The revision is zero or lower than the current one. Nothing changed.
    Stale,
    /// Revision and text are the current ones. Nothing changed.
    Same,
    /// The revision is the current one, but the text differs. Nothing changed: manifests are
    /// published to the store by compare-and-swap, so one of the two texts was never in the store.
    Conflict,
}

/// Revision and text of the current manifest, which never reverts to a lower revision.
///
/// The text is not validated here: the caller does this before it offers a manifest.
///
/// # Examples
///
/// ```
/// use hs_peer::{ManifestState, OfferOutcome};
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
    /// Creates the state of a process that has no manifest yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a manifest from the store or a peer the current one if it is newer. Revision zero
    /// means that there is no manifest.
    pub fn offer(&mut self, revision: u64, text: &str) -> OfferOutcome {
        match &self.text {
            _ if revision == 0 || revision < self.revision => OfferOutcome::Stale,
            Some(current) if revision == self.revision && **current == *text => OfferOutcome::Same,
            Some(_) if revision == self.revision => OfferOutcome::Conflict,
            _ => {
                self.revision = revision;
                self.text = Some(Arc::from(text));
                OfferOutcome::Applied
            }
        }
    }

    /// Returns the revision of the current manifest, or zero if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the text of the current manifest.
    pub fn text(&self) -> Option<Arc<str>> {
        self.text.clone()
    }
}
