//! What an operator sees of a process.

use hs_wire::Resources;
use serde::Serialize;

use crate::ledger::PartitionStatus;
use crate::placer::WorkerStatus;
use crate::port::Platform;
use crate::shared::NodeShared;

/// Summary of one process.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// Name of the entry VM.
    pub id: String,
    /// Data centre.
    pub data_centre: String,
    /// Version of the program.
    pub version: &'static str,
    /// Revision of the manifest in force; zero for none.
    pub manifest_revision: u64,
    /// Version of the VM list in use; zero for none.
    pub vm_list_version: u64,
    /// Whether the process serves callers.
    pub ready: bool,
    /// Names of the live entry processes that this one knows, itself included.
    pub members: Vec<String>,
    /// Workers that this process owns.
    pub workers: Vec<WorkerStatus>,
    /// Free room on these workers.
    pub free: Resources,
    /// Number of queued pieces of work.
    pub queued: u32,
    /// Peers that get no reservations for the moment, since they did not answer.
    pub open_breakers: Vec<String>,
    /// Ledger partitions.
    pub partitions: Vec<PartitionStatus>,
}

impl NodeStatus {
    /// Asks the tasks of the process.
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
