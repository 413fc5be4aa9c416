//! Handle to the link manager.

use hs_wire::WorkId;
use tokio::sync::{mpsc, oneshot};

use super::{LinkMessage, ResolvedTask};

/// Sends messages to the link manager.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    sender: mpsc::Sender<LinkMessage>,
}

/// Capacity of the channel to the manager, in messages.
const CHANNEL_CAPACITY: usize = 1024;

impl LinkHandle {
    /// Creates a handle and the receiver for the manager.
    pub fn channel() -> (Self, mpsc::Receiver<LinkMessage>) {
        let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        (Self { sender }, receiver)
    }

    /// Determines the status of a task on an owned worker, after raising the worker's fencing
    /// token.
    ///
    /// Returns `None` if this process does not own the worker or the worker does not answer.
    pub async fn resolve(&self, worker: &str, task: &WorkId) -> Option<ResolvedTask> {
        let (reply, result) = oneshot::channel();
        let message = LinkMessage::Resolve {
            worker: worker.to_owned(),
            task: task.clone(),
            reply,
        };
        self.sender.send(message).await.ok()?;
        result.await.ok().flatten()
    }

    /// Releases all leases and ends the manager.
    pub async fn release_all(&self) {
        let (done, result) = oneshot::channel();
        if self
            .sender
            .send(LinkMessage::ReleaseAll { done })
            .await
            .is_ok()
        {
            let _ = result.await;
        }
    }
}
