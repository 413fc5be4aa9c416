//! Acquisition of the claim, and what follows when this process no longer owns the cell.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use hs_event::EventCode;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::{CLAIM_POLL_INTERVAL, ClaimObservation, Election};
use crate::claim::{self, ClaimConfirmation, ClaimValue, ObservedClaim};
use crate::claim_writer::ClaimKeeper;
use crate::owner::{self, OwnerEnd, OwnerInputs};
use crate::owner_status::OwnerStatus;
use crate::port::Platform;
use crate::shared::{OwnerHandle, OwnerRequest, Ownership};
use crate::takeover::LoadLimit;

/// Time that a released claim is left to the process that the former owner has named. That process notices the
/// release with its next heartbeat.
const SUCCESSOR_HEAD_START: Duration = Duration::from_millis(800);

/// Unit of the delay before a process acquires the claim, which differs between processes so that they
/// don't all try at once.
const STAGGER_STEP: Duration = Duration::from_millis(25);

/// Number of different delays in units of [`STAGGER_STEP`], from zero.
const STAGGER_STEP_COUNT: u64 = 8;

/// Maximum number of attempts to write the claim.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Time for which a process that could not load the state of the cell leaves the claim to others.
const UNREADABLE_COOLDOWN: Duration = Duration::from_secs(4);

/// Time for which a process that released the cell because it was too slow leaves the claim to others.
const SLOW_OWNER_COOLDOWN: Duration = Duration::from_secs(6);

/// Time for which a claim must stay unchanged in addition before a process acquires it that leaves it to others. It is
/// longer than the longest delay of the others, after which none of them is left.
const COOLDOWN_PATIENCE: Duration = Duration::from_millis(1500);

/// Maximum number of requests that may wait for the owner task.
const REQUEST_QUEUE_CAPACITY: usize = 1024;

impl<P: Platform> Election<P> {
    /// Acquires a released claim. The process that the former owner has named does so at once, and the others
    /// leave it the time to.
    pub(super) async fn acquire_released(
        &mut self,
        observation: &mut Option<ClaimObservation>,
        successor: Option<String>,
    ) {
        match successor {
            Some(node) if *node == *self.context.node => {
                if !*self.stop.borrow()
                    && let Some(current) = observation.take()
                {
                    self.acquire_and_own(&current.claim).await;
                }
            }
            Some(_) => {
                self.acquire_when_stale(observation, SUCCESSOR_HEAD_START)
                    .await
            }
            None => self.acquire_when_stale(observation, Duration::ZERO).await,
        }
    }

    /// Waits until the claim has been unchanged for `stale_after` and this process's delay, then acquires
    /// it and runs the cell. Returns early if the claim changes meanwhile.
    pub(super) async fn acquire_when_stale(
        &mut self,
        observation: &mut Option<ClaimObservation>,
        stale_after: Duration,
    ) {
        let revision = observation
            .as_ref()
            .map(|observation| observation.claim.revision);
        let started_at = self.platform.now();
        let rank = self.cell_facts.rank(&self.limits, self.speed.work_time());
        let delay = self.cell_facts.takeover_delay(&self.limits, rank);
        let stagger = STAGGER_STEP * self.stagger_steps() + delay;
        loop {
            if *self.stop.borrow() {
                return;
            }
            if self.observe_claim(observation).await.is_none() {
                sleep(CLAIM_POLL_INTERVAL).await;
                continue;
            }
            let Some(current) = observation.as_ref() else {
                return;
            };
            if revision != Some(current.claim.revision) {
                return;
            }
            let now = self.platform.now();
            let unchanged_for =
                now.saturating_duration_since(current.unchanged_since.max(started_at));
            let patience = match self.is_cooling_down() {
                true => COOLDOWN_PATIENCE,
                false => Duration::ZERO,
            };
            let wait = stale_after + stagger + patience;
            if unchanged_for >= wait {
                break;
            }
            sleep((wait - unchanged_for).min(CLAIM_POLL_INTERVAL)).await;
        }
        if let Some(current) = observation.take() {
            self.acquire_and_own(&current.claim).await;
        }
    }

    fn stagger_steps(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        self.context.node.hash(&mut hasher);
        u32::try_from(hasher.finish() % STAGGER_STEP_COUNT).unwrap_or(0)
    }

    async fn acquire_and_own(&mut self, observed: &ObservedClaim) {
        let successor = observed
            .value
            .as_ref()
            .and_then(|claim| claim.successor.as_deref());
        let by_handover = successor == Some(&*self.context.node);
        let claim = ClaimValue {
            fence: 0,
            sequence: 0,
            node: self.context.node.to_string(),
            started_ms: self.context.started_ms,
            address: self.context.address.to_string(),
            released: false,
            successor: None,
            failed_loads: 0,
        };
        let failed_loads = observed
            .value
            .as_ref()
            .map_or(0, |claim| claim.failed_loads);
        let load_limit = LoadLimit {
            rank: self.cell_facts.rank(&self.limits, self.speed.work_time()),
            failed_loads,
            has_slow_link: self.limits.has_slow_link(),
        };
        let confirmed_at = self.platform.now();
        let acquired =
            claim::acquire_claim(&self.platform, observed, claim, MAX_CLAIM_ATTEMPTS).await;
        let held = match acquired {
            Ok(Some(held)) => held,
            Ok(None) => return,
            Err(error) => {
                EventCode::ClaimWriteFailed.log(format_args!("cause=\"{error}\""));
                return;
            }
        };
        let (sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (confirmation, confirmations) = watch::channel(ClaimConfirmation {
            at: confirmed_at,
            revision: held.revision,
        });
        let status = OwnerStatus::new(held.value.fence, confirmations);
        let handle = OwnerHandle {
            sender,
            status: status.clone(),
        };
        self.set_ownership(Ownership::Here(handle.clone()));
        let inputs = OwnerInputs {
            platform: self.platform.clone(),
            peers: self.context.peers.clone(),
            options: self.options,
            config: self.context.config.clone(),
            keeper: ClaimKeeper {
                held,
                confirmation,
                owner_last_seen: self.owner_last_seen.clone(),
            },
            by_handover,
            limits: self.limits,
            load_limit,
            status,
            metrics: self.context.metrics.clone(),
            requests,
        };
        let mut stop = self.stop.clone();
        let release = async {
            if stop.wait_for(|stop| *stop).await.is_ok() {
                // The end of the owner task reports the result.
                let _ = handle.ask(OwnerRequest::Release).await;
            }
            std::future::pending::<OwnerEnd>().await
        };
        let end = tokio::select! {
            biased;
            end = owner::run(inputs) => end,
            end = release => end,
        };
        self.set_ownership(Ownership::Unknown);
        self.handle_owner_end(end);
    }

    /// Logs why this process does not own the cell any more, and keeps it from acquiring it again too soon.
    fn handle_owner_end(&mut self, end: OwnerEnd) {
        match end {
            OwnerEnd::Released => EventCode::CellReleased.log(format_args!("")),
            OwnerEnd::TooSlow {
                lag,
                work_time,
                commit_time,
                successor,
            } => {
                EventCode::OwnerTooSlow.log(format_args!(
                    "lag_ms={} work_us={} commit_ms={} successor={successor}",
                    lag.as_millis(),
                    work_time.as_micros(),
                    commit_time.as_millis(),
                ));
                self.cooldown_until = Some(self.platform.now() + SLOW_OWNER_COOLDOWN);
            }
            OwnerEnd::Lost(cause) => EventCode::CellLost.log(format_args!("cause=\"{cause}\"")),
            OwnerEnd::Unreadable(cause) => {
                EventCode::CellUnreadable.log(format_args!("cause=\"{cause}\""));
                self.cooldown_until = Some(self.platform.now() + UNREADABLE_COOLDOWN);
            }
        }
    }
}
