//! The processes that send heartbeats to the owner.

use hs_event::EventCode;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Shortest interval between the heartbeats of a process.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Longest interval between the heartbeats of a process.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Added to the heartbeat interval for each process, which limits the load of heartbeats on the owner.
const HEARTBEAT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(8);

/// Time without a heartbeat after which a process counts as unreachable.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Member {
    address: Arc<str>,
    last_heartbeat_at: Instant,
}

/// The live processes other than the owner, by the name of their VM.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<String, Member>,
}

impl MemberTable {
    /// Records a heartbeat. Returns whether the process is new.
    pub(crate) fn record_heartbeat(&mut self, node: String, address: String, now: Instant) -> bool {
        let member = Member {
            address: address.into(),
            last_heartbeat_at: now,
        };
        let is_new = !self.members.contains_key(&node);
        if is_new {
            EventCode::MemberJoined.log(format_args!("node={node}"));
        }
        self.members.insert(node, member);
        is_new
    }

    /// Removes the processes whose heartbeats have stopped. Returns whether there were any.
    pub(crate) fn remove_unreachable(&mut self, now: Instant) -> bool {
        let count_before = self.members.len();
        let is_alive = |member: &Member| {
            now.saturating_duration_since(member.last_heartbeat_at) < MEMBER_TIMEOUT
        };
        self.members.retain(|_, member| is_alive(member));
        self.members.len() != count_before
    }

    /// Returns the addresses of the processes' peer listeners.
    pub(crate) fn addresses(&self) -> Vec<Arc<str>> {
        let members = self.members.values();
        members.map(|member| member.address.clone()).collect()
    }

    /// Returns the number of known processes.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no other process is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the time until a process should send its next heartbeat.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        (HEARTBEAT_INTERVAL_PER_MEMBER.saturating_mul(members))
            .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }
}
