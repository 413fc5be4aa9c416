//! Fencing tokens of the owner's calls to workers.
//!
//! A call without a reply may be carried out seconds later, by whichever incarnation of the worker has the ID by
//! then. A new incarnation has seen no fencing token, so the token of the claim alone would not stop such a call. The
//! owner therefore uses a higher token for each incarnation that it calls, and after each call that has failed. Once a
//! call with it has been answered, the worker refuses the earlier ones.
//!
//! The tokens need no writes of their own: they are revisions of the claim, which the owner writes several times a
//! second. No two owners share one, since the next owner's first token is higher than the last of these revisions.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::claim::ClaimConfirmation;
use crate::port::WorkerEndpoint;

/// Fencing tokens of an owner, by the ID of the worker. Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct WorkerFences {
    /// Token of the claim, for the first incarnation of each worker.
    claim_fence: u64,
    confirmation: watch::Receiver<ClaimConfirmation>,
    last_calls: Arc<Mutex<BTreeMap<Arc<str>, LastCall>>>,
}

/// The call to a worker with the highest token.
#[derive(Clone, Copy, Debug)]
struct LastCall {
    fence: u64,
    /// Start of the incarnation that it was meant for, in Unix milliseconds.
    started_ms: u64,
}

/// Token of the first call to an incarnation.
#[derive(Clone, Copy, Debug)]
pub(super) struct IncarnationFence {
    pub fence: u64,
    /// Whether this owner has called an earlier incarnation.
    pub is_successor: bool,
}

impl WorkerFences {
    pub(crate) fn new(claim_fence: u64, confirmation: watch::Receiver<ClaimConfirmation>) -> Self {
        Self {
            claim_fence,
            confirmation,
            last_calls: Arc::default(),
        }
    }

    /// Returns a token that is higher than those of all earlier calls to the worker's ID. Waits for the next
    /// confirmation of the claim if it has not been written since the last of them.
    pub(super) async fn for_incarnation(&self, peer: &WorkerEndpoint) -> IncarnationFence {
        let mut confirmation = self.confirmation.clone();
        loop {
            let revision = confirmation.borrow_and_update().revision;
            if let Some(fence) = self.take_for_incarnation(peer, revision) {
                return fence;
            }
            if confirmation.changed().await.is_err() {
                // The claim is lost, and the owner ends.
                std::future::pending::<()>().await;
            }
        }
    }

    fn take_for_incarnation(
        &self,
        peer: &WorkerEndpoint,
        revision: u64,
    ) -> Option<IncarnationFence> {
        let mut last_calls = self.lock();
        let last = last_calls.get(&peer.id);
        let fence = match last {
            None => self.claim_fence,
            Some(last) if revision > last.fence => revision,
            Some(_) => return None,
        };
        let is_successor = last.is_some_and(|last| last.started_ms != peer.started_ms);
        let started_ms = peer.started_ms;
        last_calls.insert(peer.id.clone(), LastCall { fence, started_ms });
        Some(IncarnationFence {
            fence,
            is_successor,
        })
    }

    /// Returns a higher token for calls to the same incarnation, or the current one if the claim has not been written
    /// since or a later incarnation has got a token.
    pub(super) fn raise(&self, peer: &WorkerEndpoint, current: u64) -> u64 {
        let revision = self.confirmation.borrow().revision;
        let mut last_calls = self.lock();
        match last_calls.get_mut(&peer.id) {
            Some(last) if last.started_ms == peer.started_ms && revision > current => {
                last.fence = revision;
                revision
            }
            _ => current,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, LastCall>> {
        let locked = self.last_calls.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }
}
