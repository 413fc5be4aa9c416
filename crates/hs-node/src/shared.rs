//! What the tasks of one process share: settings, adapters and handles to each other.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hs_config::Settings;
use hs_wire::{VmList, WorkId};
use tokio::sync::watch;

use crate::ledger::LedgerHandle;
use crate::link::LinkHandle;
use crate::manifest::ManifestView;
use crate::member::{MemberHandle, MemberSnapshot};
use crate::metrics::NodeMetrics;
use crate::peer::PeerPool;
use crate::placer::PlacerHandle;
use crate::port::Platform;

/// Most characters of a key that stand in a task id.
const SHOWN_KEY: usize = 40;

/// Settings, adapters and handles of one process. Shared behind an `Arc`, never changed.
pub struct NodeShared<P: Platform> {
    /// Settings.
    pub settings: Settings,
    /// Adapters to the platform.
    pub platform: P,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The placer task.
    pub placer: PlacerHandle,
    /// The links to owned workers.
    pub links: LinkHandle,
    /// The ledger tasks.
    pub ledger: LedgerHandle,
    /// Connections to peers.
    pub peers: PeerPool,
    /// The member task.
    pub member: MemberHandle,
    /// The live members.
    pub members: watch::Receiver<Arc<MemberSnapshot>>,
    /// The manifest in force.
    pub manifest: watch::Receiver<Option<Arc<ManifestView>>>,
    /// The VM list.
    pub vms: watch::Receiver<Arc<VmList>>,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Whether the process shuts down.
    pub is_shutting_down: watch::Receiver<bool>,
    /// Number of the next check.
    pub next_check: AtomicU64,
    /// Next number for choices between equals.
    pub next_seed: AtomicU64,
}

impl<P: Platform> NodeShared<P> {
    /// Returns the identity under which this process takes leases.
    pub fn owner(&self) -> String {
        format!("{}.{}", self.settings.id, self.incarnation)
    }

    /// Returns the id of the next check of this process. The key is part of it, as far as its
    /// characters may stand in an id, so that log lines of tasks can be found by key.
    pub fn next_check_id(&self, key: &str) -> WorkId {
        let number = self.next_check.fetch_add(1, Ordering::Relaxed);
        let is_plain = |letter: &char| letter.is_ascii_alphanumeric() || "-_.".contains(*letter);
        let shown: String = key.chars().filter(is_plain).take(SHOWN_KEY).collect();
        WorkId(format!(
            "c.{}.{:x}.{number}:{shown}",
            self.settings.id, self.incarnation
        ))
    }

    /// Returns a number that differs from call to call, to spread choices between equals.
    pub fn next_seed(&self) -> u64 {
        self.next_seed.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether callers can be served: there is a manifest, and the process stays.
    pub fn is_ready(&self) -> bool {
        self.manifest.borrow().is_some() && !*self.is_shutting_down.borrow()
    }

    /// Returns the manifest in force.
    pub fn view(&self) -> Option<Arc<ManifestView>> {
        self.manifest.borrow().clone()
    }
}
