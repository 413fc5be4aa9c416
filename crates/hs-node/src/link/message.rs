//! Messages to the link manager and to the links.

use hs_wire::{TaskView, WorkId};
use tokio::sync::oneshot;

/// Definite status of a task, as its worker reported it after its fencing token was raised.
#[derive(Clone, Debug)]
pub struct ResolvedTask {
    /// Address of the worker.
    pub address: String,
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Fencing token of the worker after the raise.
    pub fence: u64,
    /// The task, or `None` if it has not run in this incarnation and can no longer start.
    pub task: Option<TaskView>,
}

/// A message to the link manager.
#[derive(Debug)]
pub enum LinkMessage {
    /// Determines the status of a task.
    Resolve {
        /// Name of the worker.
        worker: String,
        /// Id of the task.
        task: WorkId,
        /// Receives the status, or `None` if this process does not own the worker or the worker
        /// does not answer.
        reply: oneshot::Sender<Option<ResolvedTask>>,
    },
    /// Releases all leases because the process is shutting down.
    ReleaseAll {
        /// Notified when the leases are released.
        done: oneshot::Sender<()>,
    },
}

/// A command from the manager to one link.
#[derive(Debug)]
pub enum LinkCommand {
    /// Sets whether the worker is draining, so that it gets no new work.
    Draining(bool),
    /// Determines the status of a task.
    Resolve {
        /// Id of the task.
        task: WorkId,
        /// Receives the status. It is dropped if the lease is not held or the worker does not
        /// answer.
        reply: oneshot::Sender<Option<ResolvedTask>>,
    },
    /// Releases the lease and ends the link.
    Release {
        /// Notified when the lease is released.
        done: Option<oneshot::Sender<()>>,
    },
}
