//! Which process owns the cell.
//!
//! Each process sends beats to the owner. When they fail, it looks at the claim in the store: a claim
//! that still changes has a living owner that this process can't reach; one that stands still is taken
//! over. The claim makes a wrong guess safe, so the waits are short.

use hs_event::EventCode;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::CellOptions;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::chain::{self, ClaimValue, SeenClaim};
use crate::message::BeatRequest;
use crate::owner::{self, OwnerEnd, OwnerParts};
use crate::peers::PeerError;
use crate::port::Platform;
use crate::shared::{NodeContext, OwnerHandle, OwnerMessage, Ownership};

/// Longest time between two beats, whatever the owner wants.
const MAX_BEAT_EVERY: Duration = Duration::from_millis(500);

/// Time that the owner may take to answer a beat.
const BEAT_LIMIT: Duration = Duration::from_millis(300);

/// Time that a read of the claim may take.
const READ_LIMIT: Duration = Duration::from_millis(400);

/// How long the claim has to stand still before it is taken over. An owner that is well writes at least
/// each 200 ms.
const STILL_FOR: Duration = Duration::from_millis(500);

/// The same where the owner says that it can't prove its claim.
const STILL_UNPROVED: Duration = Duration::from_millis(300);

/// The same where the owner's process has certainly ended.
const STILL_AFTER_END: Duration = Duration::from_millis(60);

/// An owner that has not proved its claim for so long is taken to be cut off from the store.
const MAX_PROOF_AGE: Duration = Duration::from_millis(600);

/// An owner with a proof of this age or less can write to the store.
const FRESH_PROOF: Duration = Duration::from_millis(350);

/// Pause between two looks at the claim.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Processes wait different times before they take the claim, in steps of this length.
const TURN: Duration = Duration::from_millis(25);

/// Number of different turns.
const TURNS: u64 = 8;

/// Tries to write the claim.
const CLAIM_TRIES: u32 = 3;

/// Pause of a process that lost the cell or could not read it, so that others go first.
const REST: Duration = Duration::from_millis(400);

/// Pause of a process that gave the cell up because it was too slow.
const SLOW_REST: Duration = Duration::from_secs(6);

/// Requests that may wait for the owner task.
const REQUEST_QUEUE: usize = 1024;

/// What the election needs.
#[derive(Debug)]
pub(crate) struct Election<P> {
    pub platform: P,
    pub context: NodeContext,
    pub ownership: watch::Sender<Ownership>,
    pub owner_seen: Arc<watch::Sender<Option<Instant>>>,
    /// Until when other processes go first, after this one was too slow.
    pub rest_until: Option<Instant>,
    pub options: CellOptions,
    /// Time that this process lets pass, so that larger VMs go first.
    pub takeover_delay: Duration,
    pub stop: watch::Receiver<bool>,
}

/// How the claim has been seen, and since when it stands still.
#[derive(Debug)]
struct ClaimView {
    seen: SeenClaim,
    since: Instant,
}

impl<P: Platform> Election<P> {
    /// Follows the owner, and owns the cell when it is this process's turn.
    pub(crate) async fn run(mut self) {
        let mut view: Option<ClaimView> = None;
        loop {
            if *self.stop.borrow() {
                // A process that ends follows, so that it can answer its last requests.
                sleep(LOOK_EVERY).await;
            }
            let Some(claim) = self.look(&mut view).await else {
                sleep(LOOK_EVERY).await;
                continue;
            };
            let Some(owner) = claim.filter(|claim| !claim.released) else {
                self.set(Ownership::Unknown);
                self.try_take(&mut view, Duration::ZERO).await;
                continue;
            };
            if *owner.node == *self.context.node {
                // The claim of an earlier process on this VM.
                self.set(Ownership::Unknown);
                self.try_take(&mut view, Duration::ZERO).await;
                continue;
            }
            match self.follow(&owner).await {
                FollowEnd::NotOwner | FollowEnd::Silent => {
                    self.try_take(&mut view, STILL_FOR).await;
                }
                FollowEnd::Unproved => self.try_take(&mut view, STILL_UNPROVED).await,
                FollowEnd::Ended => self.try_take(&mut view, STILL_AFTER_END).await,
            }
        }
    }

    fn set(&self, ownership: Ownership) {
        self.ownership.send_replace(ownership);
    }

    /// Reads the claim. Returns `None` if the store does not answer.
    async fn look(&self, view: &mut Option<ClaimView>) -> Option<Option<ClaimValue>> {
        match chain::read_claim(&self.platform, READ_LIMIT).await {
            Ok(seen) => {
                let same = view
                    .as_ref()
                    .is_some_and(|view| view.seen.revision == seen.revision);
                if !same {
                    *view = Some(ClaimView {
                        seen: seen.clone(),
                        since: self.platform.now(),
                    });
                }
                Some(seen.value)
            }
            Err(error) => {
                log::debug!("claim not read: {error}");
                None
            }
        }
    }

    /// Sends beats to the owner as long as it answers.
    async fn follow(&self, owner: &ClaimValue) -> FollowEnd {
        let address: Arc<str> = owner.address.as_str().into();
        let mut reached = false;
        let mut next_beat;
        loop {
            let request = BeatRequest {
                node: self.context.node.to_string(),
                address: self.context.address.to_string(),
            };
            let beat =
                self.context
                    .peers
                    .call("beat", &address, BEAT_LIMIT, |mut client| async move {
                        client.beat(request).await
                    });
            match beat.await {
                Ok(reply) if Duration::from_millis(reply.proof_age_ms) > MAX_PROOF_AGE => {
                    // The owner may still be the owner, so requests go on to it.
                    self.set(Ownership::Peer(address));
                    return FollowEnd::Unproved;
                }
                Ok(reply) => {
                    next_beat = Duration::from_millis(reply.next_beat_ms).min(MAX_BEAT_EVERY);
                    if Duration::from_millis(reply.proof_age_ms) <= FRESH_PROOF {
                        self.owner_seen.send_replace(Some(self.platform.now()));
                    }
                    if !reached {
                        reached = true;
                        EventCode::OwnerFollowed
                            .log(format_args!("node={} fence={}", owner.node, owner.fence));
                        self.set(Ownership::Peer(address.clone()));
                    }
                }
                Err(error) => {
                    EventCode::OwnerUnreached
                        .log(format_args!("node={} cause=\"{error}\"", owner.node));
                    return match error {
                        PeerError::NotOwner { .. } => FollowEnd::NotOwner,
                        PeerError::ConnectionRefused { .. } => FollowEnd::Ended,
                        PeerError::Failed { .. } => FollowEnd::Silent,
                    };
                }
            }
            sleep(next_beat).await;
        }
    }

    /// Waits until the claim has stood still for long enough, then takes it. Returns at once if it
    /// changes meanwhile.
    async fn try_take(&mut self, view: &mut Option<ClaimView>, still_for: Duration) {
        let revision = view.as_ref().map(|view| view.seen.revision);
        let began = self.platform.now();
        let turn = TURN * self.turn() + self.takeover_delay;
        loop {
            if *self.stop.borrow() {
                return;
            }
            if self
                .rest_until
                .is_some_and(|until| self.platform.now() < until)
            {
                sleep(LOOK_EVERY).await;
                return;
            }
            if self.look(view).await.is_none() {
                sleep(LOOK_EVERY).await;
                continue;
            }
            let Some(current) = view.as_ref() else {
                return;
            };
            if revision != Some(current.seen.revision) {
                return;
            }
            let now = self.platform.now();
            let still = now.saturating_duration_since(current.since.max(began));
            if still >= still_for + turn {
                break;
            }
            sleep((still_for + turn - still).min(LOOK_EVERY)).await;
        }
        if let Some(current) = view.take() {
            self.take(&current.seen).await;
        }
    }

    fn turn(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        self.context.node.hash(&mut hasher);
        u32::try_from(hasher.finish() % TURNS).unwrap_or(0)
    }

    async fn take(&mut self, seen: &SeenClaim) {
        let claim = ClaimValue {
            fence: 0,
            sequence: 0,
            node: self.context.node.to_string(),
            started_ms: self.context.started_ms,
            address: self.context.address.to_string(),
            released: false,
        };
        let proved_at = self.platform.now();
        let taken = chain::take_claim(&self.platform, seen, claim, CLAIM_TRIES).await;
        let chain = match taken {
            Ok(Some(chain)) => chain,
            Ok(None) => return,
            Err(error) => {
                EventCode::ClaimUntaken.log(format_args!("cause=\"{error}\""));
                return;
            }
        };
        let (sender, requests) = mpsc::channel(REQUEST_QUEUE);
        let handle = OwnerHandle { sender };
        self.set(Ownership::Here(handle.clone()));
        let parts = OwnerParts {
            platform: self.platform.clone(),
            peers: self.context.peers.clone(),
            options: self.options,
            config: self.context.config.clone(),
            chain,
            proved_at,
            owner_seen: self.owner_seen.clone(),
            metrics: self.context.metrics.clone(),
            requests,
        };
        let mut stop = self.stop.clone();
        let release = async {
            if stop.wait_for(|stop| *stop).await.is_ok() {
                // The answer comes by the end of the owner task.
                let _ = handle.ask(OwnerMessage::Release).await;
            }
            std::future::pending::<OwnerEnd>().await
        };
        let end = tokio::select! {
            end = owner::run(parts) => end,
            end = release => end,
        };
        self.set(Ownership::Unknown);
        match end {
            OwnerEnd::Released => EventCode::CellReleased.log(format_args!("")),
            OwnerEnd::TooSlow(lag) => {
                EventCode::OwnerTooSlow.log(format_args!("lag_ms={}", lag.as_millis()));
                self.rest_until = Some(self.platform.now() + SLOW_REST);
            }
            OwnerEnd::Lost(cause) => EventCode::CellLost.log(format_args!("cause=\"{cause}\"")),
            OwnerEnd::Unreadable(cause) => {
                EventCode::CellUnreadable.log(format_args!("cause=\"{cause}\""));
                sleep(REST).await;
            }
        }
    }
}

/// Why an owner is no longer followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FollowEnd {
    /// The process does not own the cell.
    NotOwner,
    /// The process does not answer.
    Silent,
    /// The process can't prove its claim, so it may be cut off from the store.
    Unproved,
    /// The process has ended.
    Ended,
}
