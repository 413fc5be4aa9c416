//! Loads the state of the cell for a new owner, between acquiring the claim and the first decision.
//!
//! Loading can take seconds if the store is slow. Meanwhile the new owner keeps confirming its claim and
//! answering heartbeats; otherwise another process would take the cell over again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::claim::{self, ClaimError, HeldClaim};
use crate::feeds::{self, StoredState};
use crate::members::MemberTable;
use crate::owner::OwnerEnd;
use crate::port::Platform;
use crate::shared::{HeartbeatReply, OwnerRequest};

/// Time after the last confirmation of the claim at which it is confirmed again. A follower
/// considers the owner cut off from the store once the last confirmation is 600 ms old.
pub(crate) const CLAIM_CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Everything that a new owner needs before its first decision.
#[derive(Debug)]
pub(crate) struct TakeoverState {
    pub state: StoredState,
    pub members: MemberTable,
    /// Offers of jobs and cancellations that arrived while the state was being read.
    pub buffered: Vec<OwnerRequest>,
}

/// Tracks the claim that this process holds, and publishes each confirmation of it.
#[derive(Debug)]
pub(crate) struct ClaimTracker {
    pub held: HeldClaim,
    /// Latest time at which the claim was certainly held.
    pub confirmed_at: Instant,
    /// Publishes `confirmed_at` to the links to workers.
    pub confirmation: watch::Sender<Instant>,
    pub owner_last_seen: Arc<watch::Sender<Option<Instant>>>,
}

impl ClaimTracker {
    /// Records that a write conditional on the claim, first sent at `confirmed_at`, has been committed.
    pub(crate) fn record_confirmation(
        &mut self,
        held: HeldClaim,
        confirmed_at: Instant,
        now: Instant,
    ) {
        self.held = held;
        self.confirmed_at = confirmed_at;
        self.confirmation.send_replace(confirmed_at);
        self.owner_last_seen.send_replace(Some(now));
    }
}

type ConfirmationResult = Result<(HeldClaim, Instant), ClaimError>;

/// Reads the state of the cell while confirming the claim and answering heartbeats.
///
/// # Errors
///
/// Returns why the ownership ended if the claim is lost, the process shuts down, or the state can't be
/// read.
pub(crate) async fn load_state<P: Platform>(
    platform: &P,
    tracker: &mut ClaimTracker,
    requests: &mut mpsc::Receiver<OwnerRequest>,
) -> Result<TakeoverState, OwnerEnd> {
    let mut members = MemberTable::default();
    let mut buffered = Vec::new();
    let (confirmations, mut confirmation_receiver) = mpsc::channel::<ConfirmationResult>(1);
    let mut confirming = false;
    let mut ticks = interval(CLAIM_CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // The first tick completes at once, and the claim has just been written.
    ticks.tick().await;
    let reading = feeds::read_state(platform);
    tokio::pin!(reading);
    let mut state = None;
    loop {
        if !confirming && let Some(state) = state.take() {
            return Ok(TakeoverState {
                state,
                members,
                buffered,
            });
        }
        tokio::select! {
            biased;
            read = &mut reading, if state.is_none() => match read {
                Ok(read) => state = Some(read),
                Err(error) => return Err(OwnerEnd::Unreadable(error.to_string())),
            },
            Some(result) = confirmation_receiver.recv() => {
                confirming = false;
                match result {
                    Ok((held, confirmed_at)) => tracker.record_confirmation(held, confirmed_at, platform.now()),
                    Err(error) => return Err(OwnerEnd::Lost(error.to_string())),
                }
            }
            Some(request) = requests.recv() => match request {
                OwnerRequest::Heartbeat { node, address, reply } => {
                    let now = platform.now();
                    members.record_heartbeat(node, address, now);
                    // The receiver is gone if the caller stopped waiting.
                    let _ = reply.send(HeartbeatReply {
                        heartbeat_interval: members.heartbeat_interval(),
                        fence: tracker.held.value.fence,
                        confirmation_age: now.saturating_duration_since(tracker.confirmed_at),
                    });
                }
                OwnerRequest::Offer { .. } => buffered.push(request),
                OwnerRequest::Release(_) => return Err(OwnerEnd::Released),
                // The state is not loaded yet. A dropped reply makes callers read job states from the
                // store.
                OwnerRequest::State(..) | OwnerRequest::AwaitEnd(..) | OwnerRequest::Pending(..) => {}
            },
            _ = ticks.tick(), if !confirming && state.is_none() => {
                confirming = true;
                let (platform, held, confirmations) =
                    (platform.clone(), tracker.held.clone(), confirmations.clone());
                tokio::spawn(async move {
                    let result = claim::write_with_claim(&platform, &held, Vec::new(), Vec::new(), false).await;
                    // The receiver is gone if the owner task has ended.
                    let _ = confirmations.send(result).await;
                });
            }
        }
    }
}
