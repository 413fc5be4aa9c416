//! What the owner tells other processes in its replies to heartbeats.
//!
//! Heartbeats are answered from this shared state, so that they do not wait for the owner task while it is
//! busy. The age of the last confirmation of the claim shows whether the owner can still act.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::claim::ClaimConfirmation;
use crate::congestion::CongestedTeams;
use crate::members::{Heartbeat, MemberTable};
use crate::rank::VmRank;
use crate::traffic::TrafficMeter;

/// State of an owner that its tasks share with the peer listener. Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct OwnerStatus {
    fence: u64,
    confirmation: watch::Receiver<ClaimConfirmation>,
    members: Arc<Mutex<MemberTable>>,
    /// Number of workers; 0 while the state is being loaded.
    workers: Arc<AtomicU32>,
    /// Teams for whose jobs the processes ask before they store them.
    pub congested_teams: CongestedTeams,
    /// Bytes that the owner sends and receives.
    pub traffic: TrafficMeter,
}

/// The owner's reply to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatReply {
    pub fence: u64,
    /// Time since the owner's claim was last confirmed by a write to the store.
    pub confirmation_age: Duration,
    /// Time until the process should send its next heartbeat.
    pub heartbeat_interval: Duration,
    /// Number of workers of the cell; 0 if unknown.
    pub workers: u32,
    /// Best rank of the processes that send heartbeats.
    pub best_rank: Option<VmRank>,
}

impl OwnerStatus {
    pub(crate) fn new(fence: u64, confirmation: watch::Receiver<ClaimConfirmation>) -> Self {
        Self {
            fence,
            confirmation,
            members: Arc::default(),
            workers: Arc::default(),
            congested_teams: CongestedTeams::default(),
            traffic: TrafficMeter::default(),
        }
    }

    /// Records the heartbeat of another process, and returns the reply.
    pub(crate) fn answer_heartbeat(&self, heartbeat: Heartbeat, now: Instant) -> HeartbeatReply {
        let mut members = self.members();
        members.record_heartbeat(heartbeat, now);
        HeartbeatReply {
            fence: self.fence,
            confirmation_age: now.saturating_duration_since(self.confirmation.borrow().at),
            heartbeat_interval: members.heartbeat_interval(),
            workers: self.workers(),
            best_rank: members.best_rank(),
        }
    }

    /// Sets the number of workers of the cell.
    pub(crate) fn set_workers(&self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.workers.store(count, Ordering::Relaxed);
    }

    /// Returns the number of workers of the cell, 0 if it is unknown.
    pub(crate) fn workers(&self) -> u32 {
        self.workers.load(Ordering::Relaxed)
    }

    /// Returns the processes that send heartbeats.
    pub(crate) fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
