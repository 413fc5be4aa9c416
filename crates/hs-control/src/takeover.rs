//! Loads the state of the cell for a new owner, between acquiring the claim and the first decision.
//!
//! Loading can take seconds if the store is slow. The claim writer keeps confirming the claim meanwhile;
//! otherwise another process would take the cell over again.

use std::time::{Duration, Instant};

use hs_timer::timeout;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use crate::claim::ClaimChange;
use crate::claim_writer::{WriteOrder, WriterEvent};
use crate::feeds::{self, StoredState};
use crate::owner::OwnerEnd;
use crate::owner_status::OwnerStatus;
use crate::port::Platform;
use crate::rank::VmRank;
use crate::recover::ReadPace;
use crate::shared::OwnerRequest;

/// Time in which the state must be loaded while another process could load it.
const LOAD_LIMIT: Duration = Duration::from_secs(2);

/// Replaces [`LOAD_LIMIT`] while a process of a better rank sends heartbeats. A VM of half a core with a fast link
/// loads a large cell within some hundred milliseconds.
const LOAD_LIMIT_WITH_BETTER: Duration = Duration::from_millis(800);

/// Number of owners in a row that give up loading in time. The next one takes as long as it needs, since the store is
/// then slow for all.
const MAX_FAILED_LOADS: u32 = 2;

/// Interval at which the limit is checked.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time that the release of a claim may take. Without one the claim becomes stale.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a new owner may take to load the state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadLimit {
    /// Rank of this process.
    pub rank: VmRank,
    /// Number of owners in a row before this one that could not load the state.
    pub failed_loads: u32,
    /// Whether the link is too slow to read all parts of the state at once.
    pub has_slow_link: bool,
}

impl LoadLimit {
    /// Returns whether loading that has lasted for `elapsed` is left to another process.
    fn is_exceeded(self, elapsed: Duration, status: &OwnerStatus, now: Instant) -> bool {
        if self.failed_loads >= MAX_FAILED_LOADS || elapsed < LOAD_LIMIT_WITH_BETTER {
            return false;
        }
        let mut members = status.members();
        members.remove_unreachable(now);
        let best = members.best_rank();
        let limit = match best.is_some_and(|best| best > self.rank) {
            true => LOAD_LIMIT_WITH_BETTER,
            false => LOAD_LIMIT,
        };
        best.is_some() && elapsed >= limit
    }

    /// Returns the release of the claim by this process.
    pub(crate) fn give_up(self, status: &OwnerStatus, now: Instant) -> ClaimChange {
        let is_better = |rank: Option<VmRank>| rank.is_some_and(|rank| rank > self.rank);
        ClaimChange::GiveUp {
            successor: status
                .members()
                .best(now, |candidate| is_better(candidate.rank)),
            failed_loads: self.failed_loads.saturating_add(1),
        }
    }
}

/// Everything that a new owner needs before its first decision.
#[derive(Debug)]
pub(crate) struct TakeoverState {
    pub state: StoredState,
    /// Offers of jobs and cancellations that arrived while the state was being read.
    pub buffered: Vec<OwnerRequest>,
}

/// Reads the state of the cell.
///
/// # Errors
///
/// Returns why the ownership ended if the claim is lost, the process shuts down, or the state can't be
/// read within the limit.
pub(crate) async fn load_state<P: Platform>(
    platform: &P,
    limit: LoadLimit,
    status: &OwnerStatus,
    writer_events: &mut mpsc::Receiver<WriterEvent>,
    requests: &mut mpsc::Receiver<OwnerRequest>,
) -> Result<TakeoverState, OwnerEnd> {
    let mut buffered = Vec::new();
    let reading = feeds::read_state(platform, ReadPace::new(limit.has_slow_link));
    tokio::pin!(reading);
    let began_at = platform.now();
    let mut checks = interval(LIMIT_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            read = &mut reading => return match read {
                Ok(state) => Ok(TakeoverState { state, buffered }),
                Err(error) => Err(OwnerEnd::Unreadable(error.to_string())),
            },
            _ = checks.tick() => {
                let now = platform.now();
                let elapsed = now.saturating_duration_since(began_at);
                if limit.is_exceeded(elapsed, status, now) {
                    return Err(OwnerEnd::Unreadable(format!("not read within {elapsed:?}")));
                }
            }
            event = writer_events.recv() => match event {
                Some(WriterEvent::Lost(error)) => return Err(OwnerEnd::Lost(error.to_string())),
                // Nothing but confirmations of the claim has been written.
                Some(WriterEvent::Written(_) | WriterEvent::Refused(_)) => {}
                None => return Err(OwnerEnd::Lost("the claim writer has ended".to_owned())),
            },
            Some(request) = requests.recv() => match request {
                OwnerRequest::Offer { .. } => buffered.push(request),
                OwnerRequest::Release(_) => return Err(OwnerEnd::Released),
                // The state is not loaded yet. A dropped reply makes callers read job states from the
                // store.
                OwnerRequest::State(..)
                | OwnerRequest::AwaitEnd(..)
                | OwnerRequest::Pending(..)
                | OwnerRequest::Admit(..) => {}
            },
        }
    }
}

/// Releases the claim of a process that could not load the state, so that another one need not wait until it is stale.
pub(crate) async fn release(
    change: ClaimChange,
    write_orders: &mpsc::Sender<WriteOrder>,
    writer_events: &mut mpsc::Receiver<WriterEvent>,
) {
    let order = WriteOrder {
        change,
        ..WriteOrder::default()
    };
    if write_orders.try_send(order).is_ok() {
        // Without a reply in time the claim becomes stale.
        let _ = timeout(RELEASE_TIMEOUT, writer_events.recv()).await;
    }
}
