//! Keeps manifest and VM list up to date from the platform and from peers.

mod handle;
mod task;

pub use handle::{SyncHandle, SyncMessage};
pub use task::SyncTask;
