//! Handle to the member task.

use hs_peer::message::HeartbeatRequest;
use tokio::sync::{mpsc, oneshot};

/// A message to the member task.
#[derive(Debug)]
pub enum MemberMessage {
    /// A heartbeat of a peer.
    HeartbeatReceived(HeartbeatRequest),
    /// The process shuts down: peers are told, and own nothing of it any more.
    Leave {
        /// Told when the last heartbeats are sent.
        done: oneshot::Sender<()>,
    },
}

/// Sends messages to the member task.
#[derive(Clone, Debug)]
pub struct MemberHandle {
    sender: mpsc::Sender<MemberMessage>,
}

/// Heartbeats that may wait; beyond that their senders are held up.
const CHANNEL_LENGTH: usize = 1024;

impl MemberHandle {
    /// Builds a handle and the receiver for the task.
    pub fn channel() -> (Self, mpsc::Receiver<MemberMessage>) {
        let (sender, receiver) = mpsc::channel(CHANNEL_LENGTH);
        (Self { sender }, receiver)
    }

    /// Passes on a heartbeat.
    pub async fn heartbeat_received(&self, beat: HeartbeatRequest) {
        let _ = self
            .sender
            .send(MemberMessage::HeartbeatReceived(beat))
            .await;
    }

    /// Announces the shutdown to the peers.
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
