//! Turns of the orders to a worker, which bound the connections that they open.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_timer::timeout;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of orders to a worker that are sent at a time. Others than the first get a turn only after
/// [`MAX_TURN_WAIT`].
const MAX_ORDERS_AT_ONCE: usize = 8;

/// Time for which an order waits for the connection that earlier ones use. After that it opens another one, which costs
/// more than the few milliseconds of an order.
const MAX_TURN_WAIT: Duration = Duration::from_millis(40);

/// Share of the descriptors of the process that further connections for orders may take, as a divisor.
const DESCRIPTORS_DIVISOR: usize = 8;

/// Number of further connections for orders if the limit of descriptors is unknown.
const DEFAULT_FURTHER_CONNECTIONS: usize = 512;

/// Permits for the connections of orders that have waited for long, to all workers together. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct FurtherConnections {
    permits: Arc<Semaphore>,
}

impl FurtherConnections {
    /// Creates the permits of a process with this many descriptors.
    pub(crate) fn new(max_fds: Option<usize>) -> Self {
        let by_descriptors = max_fds.map(|count| (count / DESCRIPTORS_DIVISOR).max(1));
        let permits = by_descriptors.unwrap_or(DEFAULT_FURTHER_CONNECTIONS);
        Self {
            permits: Arc::new(Semaphore::new(permits)),
        }
    }
}

/// Turns of the orders to a worker.
#[derive(Debug)]
pub(super) struct OrderTurns {
    /// Turn on the connection that the others wait for.
    first: Arc<Semaphore>,
    /// Turns of the orders that have waited for long.
    further: Arc<Semaphore>,
    connections: FurtherConnections,
}

/// Right to send an order, until it is dropped.
#[derive(Debug)]
pub(super) struct OrderTurn {
    _permits: (OwnedSemaphorePermit, Option<OwnedSemaphorePermit>),
}

impl OrderTurns {
    pub(super) fn new(connections: FurtherConnections) -> Self {
        Self {
            first: Arc::new(Semaphore::new(1)),
            further: Arc::new(Semaphore::new(MAX_ORDERS_AT_ONCE - 1)),
            connections,
        }
    }

    /// Waits for the turn of an order that has been queued at a time. After [`MAX_TURN_WAIT`] from then on it no longer waits
    /// for the first turn, but for one of [`MAX_ORDERS_AT_ONCE`].
    pub(super) async fn next(&self, queued_at: Instant, now: Instant) -> OrderTurn {
        let patience = (queued_at + MAX_TURN_WAIT).saturating_duration_since(now);
        let mut first = std::pin::pin!(permit_of(&self.first));
        let permits = match timeout(patience, &mut first).await {
            Ok(permit) => (permit, None),
            Err(_) => tokio::select! {
                biased;
                permit = &mut first => (permit, None),
                permits = self.further_permits() => permits,
            },
        };
        OrderTurn { _permits: permits }
    }

    async fn further_permits(&self) -> (OwnedSemaphorePermit, Option<OwnedSemaphorePermit>) {
        let turn = permit_of(&self.further).await;
        let connection = permit_of(&self.connections.permits).await;
        (turn, Some(connection))
    }
}

/// Waits for a permit.
///
/// # Panics
///
/// Panics if the semaphore is closed, which those of this module never are.
async fn permit_of(semaphore: &Arc<Semaphore>) -> OwnedSemaphorePermit {
    let permit = semaphore.clone().acquire_owned().await;
    permit.expect("the semaphore is never closed")
}
