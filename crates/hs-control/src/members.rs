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

/// Time without a heartbeat after which the cell is not handed over to a process.
const MAX_SUCCESSOR_SILENCE: Duration = Duration::from_millis(800);

#[derive(Debug)]
struct Member {
    node: Arc<str>,
    address: Arc<str>,
    /// Time that the process takes for the work of a speed measurement.
    work_time: Option<Duration>,
    last_heartbeat_at: Instant,
}

/// What a process says of itself in a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct Heartbeat {
    /// Name of the process's VM.
    pub node: Arc<str>,
    /// Address of its peer listener.
    pub address: Arc<str>,
    /// Time that it takes for the work of a speed measurement, if it has measured it.
    pub work_time: Option<Duration>,
}

/// The live processes other than the owner, by the name of their VM.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<Arc<str>, Member>,
    /// Whether a process has joined or was removed since the last call of [`MemberTable::take_changed`].
    changed: bool,
}

impl MemberTable {
    /// Records a heartbeat.
    pub(crate) fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) {
        let Heartbeat {
            node,
            address,
            work_time,
        } = heartbeat;
        let earlier = self.members.get(&node);
        if earlier.is_none() {
            EventCode::MemberJoined.log(format_args!("node={node}"));
        }
        self.changed |= earlier.is_none_or(|member| member.address != address);
        let member = Member {
            node: node.clone(),
            address,
            work_time,
            last_heartbeat_at: now,
        };
        self.members.insert(node, member);
    }

    /// Returns the process that takes the least time for the work of a speed measurement, and that time. Only
    /// processes with a recent heartbeat count.
    pub(crate) fn fastest(&self, now: Instant) -> Option<(Arc<str>, Duration)> {
        let is_recent = |member: &&Member| {
            now.saturating_duration_since(member.last_heartbeat_at) < MAX_SUCCESSOR_SILENCE
        };
        let members = self.members.values().filter(is_recent);
        let measured = members.filter_map(|member| Some((member.node.clone(), member.work_time?)));
        measured.min_by_key(|(node, work_time)| (*work_time, node.clone()))
    }

    /// Removes the processes whose heartbeats have stopped.
    pub(crate) fn remove_unreachable(&mut self, now: Instant) {
        let count_before = self.members.len();
        let is_alive = |member: &Member| {
            now.saturating_duration_since(member.last_heartbeat_at) < MEMBER_TIMEOUT
        };
        self.members.retain(|_, member| is_alive(member));
        self.changed |= self.members.len() != count_before;
    }

    /// Returns whether a process has joined, moved or left since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
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

    /// Returns the time until a process should send its next heartbeat.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        (HEARTBEAT_INTERVAL_PER_MEMBER.saturating_mul(members))
            .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }
}
