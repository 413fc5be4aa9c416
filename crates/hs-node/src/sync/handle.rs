//! Handle to the sync task, and its messages.

use hs_peer::message::PullReply;
use hs_wire::VmList;
use tokio::sync::mpsc;

use crate::port::StoreValue;

/// A message to the sync task.
#[derive(Debug)]
pub enum SyncMessage {
    /// A peer has a newer manifest or VM list than this process.
    PeerAhead {
        /// Address of the peer.
        peer: String,
    },
    /// The call for a peer's manifest and VM list has ended.
    Pulled {
        /// Address of the peer.
        peer: String,
        /// Reply of the peer, or `None` if the call failed.
        reply: Option<PullReply>,
    },
    /// The manifest was read from the store.
    ManifestRead(StoreValue),
    /// The store has no manifest or did not answer.
    ManifestMissing,
    /// The VM list was read from the platform.
    VmListRead(VmList),
    /// The platform has no VM list that is newer, or did not answer.
    VmListMissing,
}

/// Sends messages to the sync task.
#[derive(Clone, Debug)]
pub struct SyncHandle {
    sender: mpsc::UnboundedSender<SyncMessage>,
}

impl SyncHandle {
    /// Creates a handle and the receiver for the task.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<SyncMessage>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Reports that a peer has a newer manifest or VM list, which the task then fetches.
    pub fn report_peer_ahead(&self, peer: &str) {
        let peer = peer.to_owned();
        self.send(SyncMessage::PeerAhead { peer });
    }

    /// Sends a message. The message is dropped if the task has ended.
    pub fn send(&self, message: SyncMessage) {
        let _ = self.sender.send(message);
    }
}
