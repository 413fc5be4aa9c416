//! Messages to the link manager and to links.

use hs_wire::{TaskView, WorkId};
use tokio::sync::oneshot;

/// What a worker answered for certain about a task, after its fence was raised.
#[derive(Clone, Debug)]
pub struct ResolvedTask {
    /// Address of the worker.
    pub address: String,
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Fencing token after the raise.
    pub fence: u64,
    /// The task; `None` if it has not run in this incarnation and can no longer start.
    pub task: Option<TaskView>,
}

/// A message to the link manager.
#[derive(Debug)]
pub enum LinkMessage {
    /// Finds out what became of a task. `None` if the worker isn't owned or doesn't answer.
    Resolve {
        /// Name of the worker.
        worker: String,
        /// Identity of the task.
        task: WorkId,
        /// Where the answer goes.
        reply: oneshot::Sender<Option<ResolvedTask>>,
    },
    /// Gives up every lease; the process is shutting down.
    ReleaseAll {
        /// Told when the leases are given up.
        done: oneshot::Sender<()>,
    },
}

/// A message from the manager to one link.
#[derive(Debug)]
pub enum LinkCommand {
    /// Sets whether the worker takes new work.
    Draining(bool),
    /// Finds out what became of a task.
    Resolve {
        /// Identity of the task.
        task: WorkId,
        /// Where the answer goes.
        reply: oneshot::Sender<Option<ResolvedTask>>,
    },
    /// Gives up the lease and ends the link.
    Release {
        /// Told when the lease is given up.
        done: Option<oneshot::Sender<()>>,
    },
}
