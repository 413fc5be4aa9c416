//! The lease of a worker.

use std::time::{Duration, Instant};

use hs_wire::LeaseRequest;
use serde::Serialize;

/// Lease and fence.
#[derive(Debug, Default)]
pub(super) struct WorkerLease {
    fence: u64,
    holder: Option<LeaseHolder>,
    /// Time of the last grant to any owner.
    renewed: Option<Instant>,
}

#[derive(Debug)]
struct LeaseHolder {
    owner: String,
    expires: Instant,
}

/// Body of the 409 while another owner's lease lives: an error body with the owner's name.
#[derive(Debug, Serialize)]
pub(super) struct LeaseHeld {
    code: &'static str,
    message: String,
    owner: String,
}

impl WorkerLease {
    /// Takes, renews or releases the lease.
    ///
    /// A grant that does not renew a lease that still lives raises the fence, also for the owner
    /// that held it last, since its starts from before may still be in flight.
    pub(super) fn request(
        &mut self,
        request: &LeaseRequest,
        now: Instant,
    ) -> Result<(), LeaseHeld> {
        let live = self.holder.as_ref().filter(|holder| holder.expires > now);
        let renews = match live {
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
        self.renewed = Some(now);
        self.holder = Some(LeaseHolder {
            owner: request.owner.clone(),
            expires: now + Duration::from_millis(request.ttl_ms),
        });
        Ok(())
    }

    pub(super) fn fence(&self) -> u64 {
        self.fence
    }

    pub(super) fn is_live(&self, now: Instant) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| holder.expires > now)
    }

    /// Returns the time of the last grant to any owner.
    pub(super) fn renewed(&self) -> Option<Instant> {
        self.renewed
    }
}
