//! Election of the process that owns the cell.
//!
//! Each process sends heartbeats to the owner. When these fail, it watches the claim in the store: a
//! claim that keeps changing has a live owner that this process can't reach, and a claim that stays
//! unchanged is taken over. A mistaken takeover is safe because the claim is acquired by
//! compare-and-swap, so the waits are short.

mod acquire;
mod follow;

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::CellOptions;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::cell_facts::CellFacts;
use crate::claim::{self, ClaimValue, ObservedClaim};
use crate::follow_end::FollowEnd;
use crate::port::Platform;
use crate::rank::VmLimits;
use crate::shared::{NodeContext, Ownership};
use crate::speed::SpeedMeter;

/// Timeout of a read of the claim.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that the claim must stay unchanged before it is taken over. A healthy owner rewrites it at least
/// every 200 ms.
const STALE_AFTER: Duration = Duration::from_millis(500);

/// Replaces [`STALE_AFTER`] if the owner reports that it can't confirm its claim.
const STALE_AFTER_UNCONFIRMED: Duration = Duration::from_millis(300);

/// Replaces [`STALE_AFTER`] if the owner's process has certainly exited.
const STALE_AFTER_EXIT: Duration = Duration::from_millis(60);

/// Interval between reads of the claim.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// State of the election task.
#[derive(Clone, Debug)]
pub(crate) struct Election<P> {
    pub platform: P,
    pub context: NodeContext,
    pub ownership: watch::Sender<Ownership>,
    pub owner_last_seen: Arc<watch::Sender<Option<Instant>>>,
    /// Time until which this process leaves the claim to others, after it has given the cell up.
    pub cooldown_until: Option<Instant>,
    pub options: CellOptions,
    /// Resources of the VM.
    pub limits: VmLimits,
    pub cell_facts: CellFacts,
    pub speed: SpeedMeter,
    pub stop: watch::Receiver<bool>,
}

/// The claim as last read, and since when it has been unchanged.
#[derive(Debug)]
struct ClaimObservation {
    claim: ObservedClaim,
    unchanged_since: Instant,
}

impl<P: Platform> Election<P> {
    /// Follows the owner, and takes the cell over when the claim is free or stale.
    pub(crate) async fn run(mut self) {
        let mut observation: Option<ClaimObservation> = None;
        loop {
            if *self.stop.borrow() {
                // A process that shuts down keeps following the owner, so that it can answer its last
                // requests.
                sleep(CLAIM_POLL_INTERVAL).await;
            }
            let Some(claim) = self.observe_claim(&mut observation).await else {
                sleep(CLAIM_POLL_INTERVAL).await;
                continue;
            };
            let owner = match claim {
                Some(claim) if !claim.released => claim,
                released => {
                    self.set_ownership(Ownership::Unknown);
                    let successor = released.and_then(|claim| claim.successor);
                    self.acquire_released(&mut observation, successor).await;
                    continue;
                }
            };
            if *owner.node == *self.context.node {
                // The claim belongs to an earlier incarnation of this process on the same VM.
                self.set_ownership(Ownership::Unknown);
                self.acquire_when_stale(&mut observation, Duration::ZERO)
                    .await;
                continue;
            }
            match self.follow(&owner).await {
                FollowEnd::NotOwner | FollowEnd::NoReply => {
                    self.acquire_when_stale(&mut observation, STALE_AFTER).await;
                }
                FollowEnd::Unconfirmed => {
                    self.acquire_when_stale(&mut observation, STALE_AFTER_UNCONFIRMED)
                        .await
                }
                FollowEnd::Exited => {
                    self.acquire_when_stale(&mut observation, STALE_AFTER_EXIT)
                        .await
                }
            }
        }
    }

    fn set_ownership(&self, ownership: Ownership) {
        self.ownership.send_replace(ownership);
    }

    /// Reads the claim and updates `observation`. Returns `None` if the store does not answer.
    async fn observe_claim(
        &self,
        observation: &mut Option<ClaimObservation>,
    ) -> Option<Option<ClaimValue>> {
        match claim::read_claim(&self.platform, READ_TIMEOUT).await {
            Ok(claim) => {
                let is_unchanged = observation
                    .as_ref()
                    .is_some_and(|observation| observation.claim.revision == claim.revision);
                if !is_unchanged {
                    *observation = Some(ClaimObservation {
                        claim: claim.clone(),
                        unchanged_since: self.platform.now(),
                    });
                }
                Some(claim.value)
            }
            Err(error) => {
                log::debug!("failed to read the claim: {error}");
                None
            }
        }
    }

    /// Returns whether this process leaves the claim to others, after it has given the cell up.
    fn is_cooling_down(&self) -> bool {
        let until = self.cooldown_until;
        until.is_some_and(|until| self.platform.now() < until)
    }
}
