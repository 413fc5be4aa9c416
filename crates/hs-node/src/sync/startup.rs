//! Choice of the first manifest of a process.

use std::collections::HashSet;

/// A manifest of a peer.
#[derive(Debug)]
pub(super) struct PeerManifest {
    /// Address of the peer.
    pub(super) peer: String,
    /// Revision of the manifest.
    pub(super) revision: u64,
    /// Text of the manifest.
    pub(super) text: String,
}

/// The reads that a process makes at its start before it uses the manifest of a peer, which may be
/// older than that of the store. Without this, a process could use what operators have withdrawn
/// before its start, such as a customer, until the store answers.
#[derive(Debug, Default)]
pub(super) struct StartupReads {
    /// Whether the store has neither answered nor failed yet.
    is_store_pending: bool,
    /// Seeds that have neither answered nor failed yet.
    pending_seeds: HashSet<String>,
    /// Manifest with the highest revision that a peer has sent so far.
    best: Option<PeerManifest>,
}

impl StartupReads {
    /// Creates the reads of a process without a manifest.
    pub(super) fn new(seeds: impl Iterator<Item = String>) -> Self {
        Self {
            is_store_pending: true,
            pending_seeds: seeds.collect(),
            best: None,
        }
    }

    /// Returns whether a manifest of a peer must not be used yet.
    pub(super) fn is_pending(&self) -> bool {
        self.is_store_pending || !self.pending_seeds.is_empty()
    }

    /// Keeps the manifest of a peer if it is the newest so far.
    pub(super) fn keep(&mut self, offered: PeerManifest) {
        let best = self.best.as_ref().map_or(0, |best| best.revision);
        if offered.revision > best {
            self.best = Some(offered);
        }
    }

    /// Records that a seed has answered or failed.
    pub(super) fn seed_ended(&mut self, seed: &str) {
        self.pending_seeds.remove(seed);
    }

    /// Records that the store has answered or failed.
    pub(super) fn store_ended(&mut self) {
        self.is_store_pending = false;
    }

    /// Ends all reads, because a manifest is in force.
    pub(super) fn end(&mut self) {
        self.is_store_pending = false;
        self.pending_seeds.clear();
    }

    /// Returns the manifest to use once no read is pending.
    pub(super) fn take_best(&mut self) -> Option<PeerManifest> {
        match self.is_pending() {
            true => None,
            false => self.best.take(),
        }
    }
}
