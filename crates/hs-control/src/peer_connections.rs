//! Open connections of the listener for other processes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

/// Connections of a listener, at most `max` at a time. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct PeerConnections {
    shared: Arc<SharedConnections>,
}

#[derive(Debug)]
struct SharedConnections {
    max: usize,
    open: Mutex<OpenConnections>,
    released: Notify,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next: u64,
    by_key: BTreeMap<u64, ConnectionUse>,
}

#[derive(Debug)]
struct ConnectionUse {
    /// When a whole request last arrived.
    last_request: Option<Instant>,
    closer: Arc<Notify>,
}

impl PeerConnections {
    /// Creates the state of a listener with at most `max` connections.
    pub(crate) fn new(max: usize) -> Self {
        Self {
            shared: Arc::new(SharedConnections {
                max,
                open: Mutex::default(),
                released: Notify::new(),
            }),
        }
    }

    /// Adds a connection. If there are too many, closes the oldest one without a request, or else the one whose last
    /// request is longest ago. Peers send a request with their first bytes and heartbeats from then on.
    ///
    /// Returns the connection, and how many have been closed for it.
    pub(crate) async fn add(&self) -> (PeerConnection, u64) {
        let mut closed = 0;
        loop {
            let released = self.shared.released.notified();
            if let Some(connection) = self.try_add() {
                return (connection, closed);
            }
            closed += 1;
            released.await;
        }
    }

    /// Adds a connection, or tells one to close.
    fn try_add(&self) -> Option<PeerConnection> {
        let mut open = self.lock();
        if open.by_key.len() >= self.shared.max {
            let uses = open.by_key.iter();
            let longest_unused =
                uses.min_by_key(|(key, connection)| (connection.last_request, **key));
            if let Some((_, connection)) = longest_unused {
                connection.closer.notify_one();
                return None;
            }
        }
        let key = open.next;
        open.next += 1;
        let closer = Arc::new(Notify::new());
        let connection = ConnectionUse {
            last_request: None,
            closer: closer.clone(),
        };
        open.by_key.insert(key, connection);
        Some(PeerConnection {
            connections: self.clone(),
            key,
            closer,
        })
    }

    fn lock(&self) -> MutexGuard<'_, OpenConnections> {
        let open = self.shared.open.lock();
        open.unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection, which counts until this is dropped.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    connections: PeerConnections,
    key: u64,
    closer: Arc<Notify>,
}

impl PeerConnection {
    /// Records that a whole request has arrived.
    pub(crate) fn record_request(&self, now: Instant) {
        if let Some(connection) = self.connections.lock().by_key.get_mut(&self.key) {
            connection.last_request = Some(now);
        }
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn closed(&self) {
        self.closer.notified().await;
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.connections.lock().by_key.remove(&self.key);
        self.connections.shared.released.notify_waiters();
    }
}
