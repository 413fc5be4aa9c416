//! Status of one process for operators.

use hs_wire::Resources;
use serde::Serialize;

use crate::ledger::PartitionStatus;
use crate::placer::WorkerStatus;
use crate::port::Platform;
use crate::shared::NodeShared;

/// Body of the reply to `/v1/status`.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// Name of the entry VM.
    pub id: String,
    /// Data centre of the process.
    pub data_centre: String,
    /// Version of the software.
    pub version: &'static str,
    /// Revision of the current manifest, or zero if there is none.
    pub manifest_revision: u64,
    /// Version of the current VM list, or zero if there is none.
    pub vm_list_version: u64,
    /// Whether the process is ready to serve callers.
    pub ready: bool,
    /// Ids of the live entry processes that this process knows, including itself.
    pub members: Vec<String>,
    /// Workers whose lease this process holds.
    pub workers: Vec<WorkerStatus>,
    /// Total free capacity of these workers.
    pub free: Resources,
    /// Number of work items in the queue of this process.
    pub queued: u32,
    /// Addresses of the peers that get no reservations at present because their circuit breaker is
    /// not closed.
    pub open_breakers: Vec<String>,
    /// Status of the ledger partitions.
    pub partitions: Vec<PartitionStatus>,
}

impl NodeStatus {
    /// Collects the status from the tasks of the process.
    pub(super) async fn collect<P: Platform>(shared: &NodeShared<P>) -> Self {
        let placer = shared.placer.status().await;
        let partitions = shared.ledger.status().await;
        Self {
            id: shared.settings.id.clone(),
            data_centre: shared.settings.data_centre.clone(),
            version: env!("CARGO_PKG_VERSION"),
            manifest_revision: shared.view().map_or(0, |view| view.revision()),
            vm_list_version: shared.vms.borrow().version,
            ready: shared.is_ready(),
            members: shared.members.borrow().live_ids(),
            workers: placer.workers,
            free: placer.summary.free,
            queued: placer.summary.queued,
            open_breakers: shared.peers.open_breakers(),
            partitions,
        }
    }
}
