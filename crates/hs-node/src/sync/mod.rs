//! Synchronization of the manifest and the VM list with the platform and with peers.

mod handle;
mod known_vms;
mod startup;
mod task;
mod vm_lists;

pub use handle::{SyncHandle, SyncMessage};
pub use task::SyncTask;
pub(crate) use task::{read_manifest, read_vms};
