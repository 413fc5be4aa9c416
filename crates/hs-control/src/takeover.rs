//! The time between the claim and the first decision of a new owner.
//!
//! Reading the state can take seconds where the store is slow. Meanwhile the owner proves its claim and
//! answers beats, since the others would take the cell over again otherwise.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::chain::{self, ChainError, ClaimChain};
use crate::feeds::{self, StoredState};
use crate::members::MemberTable;
use crate::owner::OwnerEnd;
use crate::port::Platform;
use crate::shared::{BeatAnswer, OwnerMessage};

/// Time after the last proof of the claim at which the next one is made. A process that follows looks for
/// another owner after 600 ms.
pub(crate) const PROOF_EVERY: Duration = Duration::from_millis(200);

/// What a new owner knows when it begins to decide.
#[derive(Debug)]
pub(crate) struct TakenCell {
    pub state: StoredState,
    pub members: MemberTable,
    /// Jobs and cancellations that were announced meanwhile.
    pub announced: Vec<OwnerMessage>,
}

/// The claim while the state is being read.
#[derive(Debug)]
pub(crate) struct ClaimKeeper {
    pub chain: ClaimChain,
    /// A time at which the claim was certainly held.
    pub proved_at: Instant,
    pub proof: watch::Sender<Instant>,
    pub owner_seen: Arc<watch::Sender<Option<Instant>>>,
}

impl ClaimKeeper {
    /// Notes that a write under the claim has succeeded that was first sent at `proved_at`.
    pub(crate) fn proved(&mut self, chain: ClaimChain, proved_at: Instant, now: Instant) {
        self.chain = chain;
        self.proved_at = proved_at;
        self.proof.send_replace(proved_at);
        self.owner_seen.send_replace(Some(now));
    }
}

type ProofEnd = Result<(ClaimChain, Instant), ChainError>;

/// Reads the state of the cell.
///
/// # Errors
///
/// Returns the end of the ownership if the claim is lost, the process ends, or the state can't be read.
pub(crate) async fn take<P: Platform>(
    platform: &P,
    keeper: &mut ClaimKeeper,
    requests: &mut mpsc::Receiver<OwnerMessage>,
) -> Result<TakenCell, OwnerEnd> {
    let mut members = MemberTable::default();
    let mut announced = Vec::new();
    let (proofs, mut proved) = mpsc::channel::<ProofEnd>(1);
    let mut proving = false;
    let mut ticks = interval(PROOF_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // The claim has just been written.
    ticks.tick().await;
    let reading = feeds::read_state(platform);
    tokio::pin!(reading);
    let mut state = None;
    loop {
        if !proving && let Some(state) = state.take() {
            return Ok(TakenCell {
                state,
                members,
                announced,
            });
        }
        tokio::select! {
            read = &mut reading, if state.is_none() => match read {
                Ok(read) => state = Some(read),
                Err(error) => return Err(OwnerEnd::Unreadable(error.to_string())),
            },
            Some(end) = proved.recv() => {
                proving = false;
                match end {
                    Ok((chain, proved_at)) => keeper.proved(chain, proved_at, platform.now()),
                    Err(error) => return Err(OwnerEnd::Lost(error.to_string())),
                }
            }
            Some(message) = requests.recv() => match message {
                OwnerMessage::Beat { node, address, reply } => {
                    let now = platform.now();
                    members.note_beat(node, address, now);
                    // A process that has left needs no answer.
                    let _ = reply.send(BeatAnswer {
                        next_beat: members.next_beat(),
                        fence: keeper.chain.claim.fence,
                        proof_age: now.saturating_duration_since(keeper.proved_at),
                    });
                }
                OwnerMessage::Offer { .. } => announced.push(message),
                OwnerMessage::Release(_) => return Err(OwnerEnd::Released),
                // The store answers for states until they are read.
                OwnerMessage::State(..) | OwnerMessage::AwaitEnd(..) | OwnerMessage::Pending(..) => {}
            },
            _ = ticks.tick(), if !proving && state.is_none() => {
                proving = true;
                let (platform, chain, proofs) = (platform.clone(), keeper.chain.clone(), proofs.clone());
                tokio::spawn(async move {
                    let end = chain::append(&platform, &chain, Vec::new(), Vec::new(), false).await;
                    // An owner task that has ended needs no proof.
                    let _ = proofs.send(end).await;
                });
            }
        }
    }
}
