//! The platform's list of VMs.

use serde::{Deserialize, Serialize};

use crate::Resources;

/// What a VM is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// The VM runs an entry process.
    Entry,
    /// The VM is a worker.
    Worker,
}

/// Whether a VM may be used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM finishes what it runs and takes nothing new.
    Leaving,
}

/// One VM of the list.
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
    /// What the VM is for.
    pub role: VmRole,
    /// Whether the VM may be used.
    pub state: VmState,
    /// Declared size of a worker.
    #[serde(default)]
    pub capacity: Resources,
}

/// The list, as it was some seconds ago. A VM that is gone from it no longer runs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Rises with each change.
    pub version: u64,
    /// All live and leaving VMs.
    pub vms: Vec<VmEntry>,
}
