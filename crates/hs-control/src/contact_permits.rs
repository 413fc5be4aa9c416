//! Limit of the workers that an owner contacts for the first time at once.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hs_timer::timeout;
use tokio::sync::Semaphore;

/// Maximum number of first contacts at a time. A new owner has a thousand workers or more, and a small VM has no
/// processor time left for heartbeats and its claim if it opens all connections at once.
const MAX_CONTACTS: usize = 32;

/// Time after which a worker that has not answered returns its permit, so that many unreachable ones don't keep
/// others waiting. Workers answer within milliseconds.
const MAX_PERMIT_TIME: Duration = Duration::from_millis(150);

/// Permits for first contacts, which workers get in the order in which they ask. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct ContactPermits {
    permits: Arc<Semaphore>,
}

impl Default for ContactPermits {
    fn default() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(MAX_CONTACTS)),
        }
    }
}

impl ContactPermits {
    /// Makes a call once there is a permit for it. The permit is returned when the call has ended, or after
    /// [`MAX_PERMIT_TIME`].
    pub(crate) async fn call<T>(&self, call: impl Future<Output = T>) -> T {
        // The semaphore is never closed.
        let permit = self.permits.acquire().await;
        let mut call = pin!(call);
        match timeout(MAX_PERMIT_TIME, call.as_mut()).await {
            Ok(reply) => reply,
            Err(_) => {
                drop(permit);
                call.await
            }
        }
    }
}
