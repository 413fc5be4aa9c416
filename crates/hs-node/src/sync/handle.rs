//! Handle to the sync task.

use hs_peer::message::PullReply;
use hs_wire::VmList;
use tokio::sync::mpsc;

use crate::port::StoreValue;

/// A message to the sync task.
#[derive(Debug)]
pub enum SyncMessage {
    /// A peer has a newer manifest or VM list.
    PeerAhead {
        /// Address of the peer.
        peer: String,
    },
    /// A peer's manifest and VM list.
    Pulled {
        /// Address of the peer.
        peer: String,
        /// What it has, if it answered.
        reply: Option<PullReply>,
    },
    /// A value of the manifest's key in the store.
    ManifestRead(StoreValue),
    /// The VM list.
    VmListRead(VmList),
}

/// Sends messages to the sync task.
#[derive(Clone, Debug)]
pub struct SyncHandle {
    sender: mpsc::UnboundedSender<SyncMessage>,
}

impl SyncHandle {
    /// Builds a handle and the receiver for the task.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<SyncMessage>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Says that a peer has a newer manifest or VM list.
    pub fn report_peer_ahead(&self, peer: &str) {
        let peer = peer.to_owned();
        self.send(SyncMessage::PeerAhead { peer });
    }

    /// Sends a message. A task that has ended drops it.
    pub fn send(&self, message: SyncMessage) {
        let _ = self.sender.send(message);
    }
}
