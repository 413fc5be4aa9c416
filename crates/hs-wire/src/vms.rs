//! The list of VMs that the platform publishes.

use serde::{Deserialize, Serialize};

use crate::{Resources, lenient};

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
    /// Name of the rack; empty for entry VMs, and if it can't be read.
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub rack: String,
    /// Role of the VM.
    pub role: VmRole,
    /// Lifecycle state of the VM.
    pub state: VmState,
    /// Declared capacity of a worker; [`Resources::MAX`] if it can't be read, so that no work is
    /// refused because of it. The capacity that counts is that of the lease.
    #[serde(default, deserialize_with = "lenient::or_unbounded")]
    pub capacity: Resources,
}

/// A listed VM whose entry can't be used.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UnusableVm {
    /// Name of the VM; empty if the entry shows none.
    pub id: String,
    /// Whether the entry shows that the VM is live. Otherwise the VM may be leaving.
    #[serde(default)]
    pub is_live: bool,
    /// Why the entry can't be used.
    #[serde(default)]
    pub cause: String,
}

/// The VM list, which may be some seconds old. A VM that is not listed does not run any more.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Version, which increases with each change.
    pub version: u64,
    /// All VMs that are live or leaving.
    pub vms: Vec<VmEntry>,
    /// VMs whose entries can't be used. They may still run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unusable: Vec<UnusableVm>,
}

impl VmList {
    /// Returns whether a VM is in the list, with an entry that can be used or not.
    pub fn contains(&self, id: &str) -> bool {
        self.vms.iter().any(|vm| vm.id == id) || self.unusable.iter().any(|vm| vm.id == id)
    }
}
