//! Handle to the member task, and its messages.

use hs_peer::message::HeartbeatRequest;
use tokio::sync::{mpsc, oneshot};

/// A message to the member task.
#[derive(Debug)]
pub enum MemberMessage {
    /// A heartbeat from a peer.
    HeartbeatReceived(HeartbeatRequest),
    /// Announces the shutdown of this process to the peers, which then no longer consider it an
    /// owner.
    Leave {
        /// Notified when the calls with the last heartbeats have ended.
        done: oneshot::Sender<()>,
    },
}

/// Sends messages to the member task.
#[derive(Clone, Debug)]
pub struct MemberHandle {
    sender: mpsc::Sender<MemberMessage>,
}

/// Capacity of the channel to the task, in messages. While it is full, senders wait.
const CHANNEL_CAPACITY: usize = 1024;

impl MemberHandle {
    /// Creates a handle and the receiver for the task.
    pub fn channel() -> (Self, mpsc::Receiver<MemberMessage>) {
        let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        (Self { sender }, receiver)
    }

    /// Passes a heartbeat from a peer to the task.
    pub async fn heartbeat_received(&self, heartbeat: HeartbeatRequest) {
        let _ = self
            .sender
            .send(MemberMessage::HeartbeatReceived(heartbeat))
            .await;
    }

    /// Announces the shutdown to the peers and waits until the calls have ended.
    pub async fn leave(&self) {
        let (done, result) = oneshot::channel();
        if self
            .sender
            .send(MemberMessage::Leave { done })
            .await
            .is_ok()
        {
            let _ = result.await;
        }
    }
}
