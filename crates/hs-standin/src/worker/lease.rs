//! The lease and fencing token of a worker stand-in.

use std::time::{Duration, Instant};

use hs_wire::LeaseRequest;
use serde::Serialize;

/// Lease of a worker with its fencing token, the fence.
#[derive(Debug, Default)]
pub(super) struct WorkerLease {
    fence: u64,
    holder: Option<LeaseHolder>,
    /// Time of the last grant or renewal for any owner. A release does not change it.
    last_granted: Option<Instant>,
}

#[derive(Debug)]
struct LeaseHolder {
    owner: String,
    expires: Instant,
}

/// Body of the 409 reply while another owner holds the lease: an error body with the owner's name.
#[derive(Debug, Serialize)]
pub(super) struct LeaseHeld {
    code: &'static str,
    message: String,
    owner: String,
}

impl WorkerLease {
    /// Acquires, renews or releases the lease.
    ///
    /// A grant raises the fence unless it renews an unexpired lease without `bump`. It also does so
    /// if the owner was the previous holder, whose earlier starts may still be in flight.
    pub(super) fn apply(&mut self, request: &LeaseRequest, now: Instant) -> Result<(), LeaseHeld> {
        let unexpired = self.holder.as_ref().filter(|holder| holder.expires > now);
        let renews = match unexpired {
            Some(holder) if holder.owner != request.owner => {
                return Err(LeaseHeld {
                    code: "lease_held",
                    message: format!("the lease is held by {}", holder.owner),
                    owner: holder.owner.clone(),
                });
            }
            Some(_) => true,
            None => false,
        };
        if request.ttl_ms == 0 {
            self.holder = None;
            return Ok(());
        }
        if !renews || request.bump {
            self.fence += 1;
        }
        self.last_granted = Some(now);
        self.holder = Some(LeaseHolder {
            owner: request.owner.clone(),
            expires: now + Duration::from_millis(request.ttl_ms),
        });
        Ok(())
    }

    pub(super) fn fence(&self) -> u64 {
        self.fence
    }

    pub(super) fn is_unexpired(&self, now: Instant) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| holder.expires > now)
    }

    /// Returns the time of the last grant or renewal for any owner.
    pub(super) fn last_granted(&self) -> Option<Instant> {
        self.last_granted
    }
}
