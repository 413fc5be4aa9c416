//! State that the tasks of one process share: settings, adapters and handles to each other.

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

/// Maximum number of characters of a key in a task id.
const MAX_KEY_CHARS_IN_ID: usize = 40;

/// Settings, adapters and handles of one process. The tasks share it behind an `Arc` and do not
/// change it, apart from its counters.
pub struct NodeShared<P: Platform> {
    /// Settings of the process.
    pub settings: Settings,
    /// Adapters to the platform.
    pub platform: P,
    /// Incarnation of the process: its start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Handle to the placer task.
    pub placer: PlacerHandle,
    /// Handle to the link manager.
    pub links: LinkHandle,
    /// Handle to the partition tasks of the ledger.
    pub ledger: LedgerHandle,
    /// Connections to peers.
    pub peers: PeerPool,
    /// Handle to the member task.
    pub member_task: MemberHandle,
    /// Most recent snapshot of the membership.
    pub members: watch::Receiver<Arc<MemberSnapshot>>,
    /// Current manifest, or `None` before the first one is applied.
    pub manifest: watch::Receiver<Option<Arc<ManifestView>>>,
    /// Most recent VM list; its version is zero before the first one is read.
    pub vms: watch::Receiver<Arc<VmList>>,
    /// Metrics of the process.
    pub metrics: NodeMetrics,
    /// Whether the process is shutting down.
    pub is_shutting_down: watch::Receiver<bool>,
    /// Sequence number of the next check, for its id.
    pub next_check: AtomicU64,
    /// Sequence number of the next takeover of a ledger partition, for its writer id.
    pub next_takeover: AtomicU64,
    /// Next seed for the choice between equivalent peers.
    pub next_seed: AtomicU64,
}

impl<P: Platform> NodeShared<P> {
    /// Returns the owner id under which this process holds leases: its id and its incarnation.
    pub fn owner(&self) -> String {
        format!("{}.{}", self.settings.id, self.incarnation)
    }

    /// Returns the task id of the next check of this process. It contains those characters of the
    /// key that are allowed in an id, so that log lines of tasks can be found by key.
    pub fn next_check_id(&self, key: &str) -> WorkId {
        let number = self.next_check.fetch_add(1, Ordering::Relaxed);
        let is_allowed = |letter: &char| letter.is_ascii_alphanumeric() || "-_.".contains(*letter);
        let shown: String = key
            .chars()
            .filter(is_allowed)
            .take(MAX_KEY_CHARS_IN_ID)
            .collect();
        WorkId(format!(
            "c.{}.{:x}.{number}:{shown}",
            self.settings.id, self.incarnation
        ))
    }

    /// Returns the writer id of the next takeover of a ledger partition. It differs from those of all
    /// earlier ones, since a writer recognises its writes in the store by it.
    pub fn next_writer(&self) -> String {
        let number = self.next_takeover.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number}", self.owner())
    }

    /// Returns a different seed on each call, so that choices between equivalent peers are spread.
    pub fn next_seed(&self) -> u64 {
        self.next_seed.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether the process can serve callers: it has a manifest and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.manifest.borrow().is_some() && !*self.is_shutting_down.borrow()
    }

    /// Returns the current manifest, or `None` before the first one is applied.
    pub fn view(&self) -> Option<Arc<ManifestView>> {
        self.manifest.borrow().clone()
    }
}
