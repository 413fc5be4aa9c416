//! The list of VMs that the platform publishes.

use serde::{Deserialize, Serialize};

use crate::Resources;

/// Role of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// The VM runs an entry process.
    Entry,
    /// The VM is a worker.
    Worker,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM is being drained: it finishes its work and takes no new work.
    Leaving,
}

/// An entry of the VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Unique name of the VM.
    pub id: String,
    /// Address as `ip:port`.
    pub addr: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Name of the rack; empty for entry VMs.
    #[serde(default)]
    pub rack: String,
    /// Role of the VM.
    pub role: VmRole,
    /// Lifecycle state of the VM.
    pub state: VmState,
    /// Declared capacity of a worker.
    #[serde(default)]
    pub capacity: Resources,
}

/// The VM list, which may be some seconds old. A VM that is no longer listed does not run any more.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Version, which increases with each change.
    pub version: u64,
    /// All VMs that are live or leaving.
    pub vms: Vec<VmEntry>,
}
