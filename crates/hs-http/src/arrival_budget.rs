//! A [`ByteBudget`] that listeners and clients of a process share.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Body;
use tokio::sync::Notify;

use crate::byte_budget::{ByteBudget, Grant, HolderId, HolderKind};
use crate::read_body::{ReadError, read_body};

/// Bytes that an open connection takes beside bodies: the buffers of `hyper`, 16 KiB for reading and 8 KiB for writing,
/// and the state of its task.
const CONNECTION_BYTES: usize = 28 << 10;

/// Budget of the bytes that have arrived and are not handled yet. Clones share it; the default has no limit.
#[derive(Clone, Debug, Default)]
pub struct ArrivalBudget {
    shared: Option<Arc<SharedBudget>>,
}

#[derive(Debug)]
struct SharedBudget {
    state: Mutex<BudgetState>,
    released: Notify,
}

#[derive(Debug)]
struct BudgetState {
    budget: ByteBudget,
    /// Tells holders to release their bytes.
    closers: HashMap<HolderId, Arc<Notify>>,
}

impl SharedBudget {
    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    fn notify(&self, victims: &[HolderId]) {
        let closers = victims.iter().filter_map(|id| self.closers.get(id));
        closers.for_each(|closer| closer.notify_one());
    }
}

impl ArrivalBudget {
    /// Creates a budget of this number of bytes.
    pub fn new(bytes: usize) -> Self {
        let state = BudgetState {
            budget: ByteBudget::new(bytes),
            closers: HashMap::new(),
        };
        Self {
            shared: Some(Arc::new(SharedBudget {
                state: Mutex::new(state),
                released: Notify::new(),
            })),
        }
    }

    /// Returns the number of bytes in use; zero if there is no limit.
    pub fn used(&self) -> usize {
        let shared = self.shared.as_ref();
        shared.map_or(0, |shared| shared.lock().budget.used())
    }

    /// Adds a holder, which has no bytes yet.
    pub(crate) fn lease(&self, kind: HolderKind) -> ByteLease {
        let lease = self.shared.as_ref().map(|shared| {
            let closer = Arc::new(Notify::new());
            let mut state = shared.lock();
            let id = state.budget.add(kind, Instant::now());
            state.closers.insert(id, closer.clone());
            HeldLease {
                shared: shared.clone(),
                id,
                closer,
            }
        });
        ByteLease { lease }
    }

    /// Reads a body of at most `max_bytes` to its end.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the body is too large, ends early or has to make room.
    pub async fn read_body<B>(
        &self,
        body: &mut B,
        max_bytes: usize,
    ) -> Result<ArrivedBody, ReadError>
    where
        B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        let lease = self.lease(HolderKind::Request);
        let bytes = read_body(body, max_bytes, &lease).await?;
        Ok(ArrivedBody {
            bytes,
            _lease: lease,
        })
    }

    /// Adds an open connection.
    pub fn connection_lease(&self) -> ConnectionLease {
        if let Some(shared) = &self.shared {
            let mut state = shared.lock();
            let victims = state
                .budget
                .add_connection(CONNECTION_BYTES, Instant::now());
            state.notify(&victims);
        }
        ConnectionLease {
            shared: self.shared.clone(),
        }
    }
}

/// A body that has been read, which counts until this is dropped.
#[derive(Debug)]
pub struct ArrivedBody {
    /// Bytes of the body.
    pub bytes: Bytes,
    _lease: ByteLease,
}

/// The bytes of an open connection, which are released when this is dropped.
#[derive(Debug)]
pub struct ConnectionLease {
    shared: Option<Arc<SharedBudget>>,
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if let Some(shared) = &self.shared {
            shared.lock().budget.remove_connection(CONNECTION_BYTES);
            shared.released.notify_waiters();
        }
    }
}

/// The budget is short, and the bytes of this holder are needed for others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetShort;

/// The bytes of one body or reply, which are released when this is dropped.
#[derive(Debug)]
pub(crate) struct ByteLease {
    lease: Option<HeldLease>,
}

#[derive(Debug)]
struct HeldLease {
    shared: Arc<SharedBudget>,
    id: HolderId,
    closer: Arc<Notify>,
}

impl ByteLease {
    /// Takes further bytes, and waits for them while others release theirs.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetShort`] if the holder has to release its own.
    pub(crate) async fn take(&self, bytes: usize) -> Result<(), BudgetShort> {
        let Some(lease) = &self.lease else {
            return Ok(());
        };
        loop {
            let mut released = pin!(lease.shared.released.notified());
            // Bytes that are released between the refusal and the wait must end the wait.
            released.as_mut().enable();
            let grant = {
                let mut state = lease.shared.lock();
                let grant = state.budget.take(lease.id, bytes, Instant::now());
                if let Grant::Wait(victims) = &grant {
                    state.notify(victims);
                }
                grant
            };
            match grant {
                Grant::Granted => return Ok(()),
                Grant::Refused => return Err(BudgetShort),
                Grant::Wait(_) => tokio::select! {
                    () = released => {}
                    () = lease.closer.notified() => return Err(BudgetShort),
                },
            }
        }
    }

    /// Waits until the bytes of this holder are needed for others.
    pub(crate) async fn closed(&self) {
        match &self.lease {
            Some(lease) => lease.closer.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Marks the bytes as complete, after which the holder is not closed any more.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetShort`] if it already has been.
    pub(crate) fn complete(&self) -> Result<(), BudgetShort> {
        match &self.lease {
            Some(lease) if !lease.shared.lock().budget.complete(lease.id) => Err(BudgetShort),
            _ => Ok(()),
        }
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        if let Some(lease) = &self.lease {
            let mut state = lease.shared.lock();
            state.closers.remove(&lease.id);
            state.budget.remove(lease.id);
            drop(state);
            lease.shared.released.notify_waiters();
        }
    }
}
