//! Handle to the link manager.

use hs_wire::WorkId;
use tokio::sync::{mpsc, oneshot};

use super::{LinkMessage, ResolvedTask};

/// Sends messages to the link manager.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    sender: mpsc::Sender<LinkMessage>,
}

/// Messages that may wait for the manager.
const CHANNEL_LENGTH: usize = 1024;

impl LinkHandle {
    /// Builds a handle and the receiver for the manager.
    pub fn channel() -> (Self, mpsc::Receiver<LinkMessage>) {
        let (sender, receiver) = mpsc::channel(CHANNEL_LENGTH);
        (Self { sender }, receiver)
    }

    /// Finds out what became of a task on an owned worker.
    ///
    /// Returns `None` if the worker is not owned or does not answer.
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

    /// Gives up every lease.
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
