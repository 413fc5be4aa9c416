//! Processes that send beats to the owner.

use hs_event::EventCode;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Shortest time between two beats of a process.
const MIN_BEAT_EVERY: Duration = Duration::from_millis(100);

/// Longest time between two beats of a process.
const MAX_BEAT_EVERY: Duration = Duration::from_millis(400);

/// Added to the time between two beats for each process, which bounds the owner's work for beats.
const BEAT_COST: Duration = Duration::from_millis(8);

/// A process that has not sent a beat for so long is taken to be gone.
const MEMBER_LIMIT: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Member {
    address: Arc<str>,
    seen_at: Instant,
}

/// Processes by the name of their VM.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: HashMap<String, Member>,
}

impl MemberTable {
    /// Notes a beat. Returns whether the process is new.
    pub(crate) fn note_beat(&mut self, node: String, address: String, now: Instant) -> bool {
        let member = Member {
            address: address.into(),
            seen_at: now,
        };
        let new = !self.members.contains_key(&node);
        if new {
            EventCode::MemberJoined.log(format_args!("node={node}"));
        }
        self.members.insert(node, member);
        new
    }

    /// Forgets the processes that are silent. Returns whether there were any.
    pub(crate) fn prune(&mut self, now: Instant) -> bool {
        let before = self.members.len();
        let lives = |member: &Member| now.saturating_duration_since(member.seen_at) < MEMBER_LIMIT;
        self.members.retain(|_, member| lives(member));
        self.members.len() != before
    }

    /// Returns the addresses of the processes.
    pub(crate) fn addresses(&self) -> Vec<Arc<str>> {
        let members = self.members.values();
        members.map(|member| member.address.clone()).collect()
    }

    /// Returns whether no other process is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns when a process should send its next beat.
    pub(crate) fn next_beat(&self) -> Duration {
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        (BEAT_COST.saturating_mul(members)).clamp(MIN_BEAT_EVERY, MAX_BEAT_EVERY)
    }
}
