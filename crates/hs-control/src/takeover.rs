//! The time between the claim and the first decision of a new owner.
//!
//! Reading the state can take seconds where the store is slow. Meanwhile the owner proves its claim and
//! answers beats, since the others would take the cell over again otherwise.

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

/// Time after the last proof of the claim at which the next one is made. A process that follows looks for
/// another owner after 600 ms.
pub(crate) const CLAIM_CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// What a new owner knows when it begins to decide.
#[derive(Debug)]
pub(crate) struct TakeoverState {
    pub state: StoredState,
    pub members: MemberTable,
    /// Jobs and cancellations that were announced meanwhile.
    pub buffered: Vec<OwnerRequest>,
}

/// The claim while the state is being read.
#[derive(Debug)]
pub(crate) struct ClaimTracker {
    pub held: HeldClaim,
    /// A time at which the claim was certainly held.
    pub confirmed_at: Instant,
    pub confirmation: watch::Sender<Instant>,
    pub owner_last_seen: Arc<watch::Sender<Option<Instant>>>,
}

impl ClaimTracker {
    /// Notes that a write under the claim has succeeded that was first sent at `confirmed_at`.
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

/// Reads the state of the cell.
///
/// # Errors
///
/// Returns the end of the ownership if the claim is lost, the process ends, or the state can't be read.
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
    // The claim has just been written.
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
                    // A process that has left needs no answer.
                    let _ = reply.send(HeartbeatReply {
                        heartbeat_interval: members.heartbeat_interval(),
                        fence: tracker.held.value.fence,
                        confirmation_age: now.saturating_duration_since(tracker.confirmed_at),
                    });
                }
                OwnerRequest::Offer { .. } => buffered.push(request),
                OwnerRequest::Release(_) => return Err(OwnerEnd::Released),
                // The store answers for states until they are read.
                OwnerRequest::State(..) | OwnerRequest::AwaitEnd(..) | OwnerRequest::Pending(..) => {}
            },
            _ = ticks.tick(), if !confirming && state.is_none() => {
                confirming = true;
                let (platform, held, confirmations) = (platform.clone(), tracker.held.clone(), confirmations.clone());
                tokio::spawn(async move {
                    let result = claim::write_with_claim(&platform, &held, Vec::new(), Vec::new(), false).await;
                    // An owner task that has ended needs no proof.
                    let _ = confirmations.send(result).await;
                });
            }
        }
    }
}
