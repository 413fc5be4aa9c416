//! Sizes of requests and replies on the wire, roughly those of the HTTP clients of the platform.

use std::sync::Arc;

use hs_cell::{AdviceReply, StartOrder};
use hs_control::port::{
    ConfigReply, OrderAnswer, RegisteredWorker, RenewalReply, StoreChanges, StoreItem, StorePage,
    StoreTxn, TxnReply, WorkerChanges,
};

/// Size of the head of a request or reply, with a body of a few fields.
pub const HEAD_BYTES: usize = 250;

/// Size of an item of the store, a worker or a row of a report without its texts.
const ROW_BYTES: usize = 60;

/// Size of the entry of a worker in the registry.
const WORKER_BYTES: usize = 300;

/// A reply with a size on the wire.
pub trait WireSize {
    /// Returns the number of bytes of the body.
    fn body_bytes(&self) -> usize;
}

fn text_bytes(bytes: usize) -> usize {
    // The store's values are encoded in base 64.
    bytes * 4 / 3
}

impl WireSize for StoreItem {
    fn body_bytes(&self) -> usize {
        let value = self.value.as_ref().map_or(0, Vec::len);
        ROW_BYTES + text_bytes(self.key.len() + value)
    }
}

impl<T: WireSize> WireSize for Vec<T> {
    fn body_bytes(&self) -> usize {
        self.iter().map(WireSize::body_bytes).sum()
    }
}

impl<T: WireSize> WireSize for Option<T> {
    fn body_bytes(&self) -> usize {
        self.as_ref().map_or(0, WireSize::body_bytes)
    }
}

impl WireSize for StorePage {
    fn body_bytes(&self) -> usize {
        self.items.body_bytes()
    }
}

impl WireSize for StoreChanges {
    fn body_bytes(&self) -> usize {
        match self {
            Self::Events(items, _) => items.body_bytes(),
            Self::Compacted => 0,
        }
    }
}

impl WireSize for TxnReply {
    fn body_bytes(&self) -> usize {
        match self {
            Self::Committed(_) => 0,
            Self::Conflict(items) => items.body_bytes(),
        }
    }
}

impl WireSize for StoreTxn {
    fn body_bytes(&self) -> usize {
        let expected = self.expect.iter().map(|(key, _)| ROW_BYTES + key.len());
        let writes = self.writes.iter();
        let written = writes.map(|(key, value)| ROW_BYTES + text_bytes(key.len() + value.len()));
        let deleted = self.deletes.iter().map(|key| ROW_BYTES + key.len());
        expected.chain(written).chain(deleted).sum()
    }
}

impl WireSize for ConfigReply {
    fn body_bytes(&self) -> usize {
        HEAD_BYTES
    }
}

impl WireSize for RegisteredWorker {
    fn body_bytes(&self) -> usize {
        WORKER_BYTES
    }
}

impl WireSize for (Vec<RegisteredWorker>, u64) {
    fn body_bytes(&self) -> usize {
        self.0.body_bytes()
    }
}

impl WireSize for WorkerChanges {
    fn body_bytes(&self) -> usize {
        match self {
            Self::Events(changes, _) => changes.len() * WORKER_BYTES,
            _ => 0,
        }
    }
}

impl<R> WireSize for OrderAnswer<R> {
    fn body_bytes(&self) -> usize {
        0
    }
}

impl WireSize for RenewalReply {
    fn body_bytes(&self) -> usize {
        match self {
            Self::Report { report, .. } => (report.running.len() + report.ended.len()) * ROW_BYTES,
            _ => 0,
        }
    }
}

impl WireSize for StartOrder {
    fn body_bytes(&self) -> usize {
        ROW_BYTES + self.input.len() + self.ticket.as_ref().map_or(0, |ticket| ticket.len())
    }
}

impl WireSize for Arc<str> {
    fn body_bytes(&self) -> usize {
        self.len() + 3
    }
}

impl WireSize for AdviceReply {
    fn body_bytes(&self) -> usize {
        let allowed = self.allowed.iter();
        allowed.map(|(id, ticket)| id.len() + ticket.len()).sum()
    }
}
