//! The processes that send heartbeats to the owner.

use hs_event::EventCode;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::rank::VmRank;

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
    standing: Candidate,
    last_heartbeat_at: Instant,
}

/// What a process says of its ability to own the cell.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Candidate {
    /// Rank of its VM; `None` if unknown.
    pub rank: Option<VmRank>,
    /// Time that it takes for the work of a speed measurement, if it has measured it.
    pub work_time: Option<Duration>,
    /// Whether it has lately given the cell up, since it was too slow or could not load the state.
    pub gave_up: bool,
}

/// What a process says of itself in a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct Heartbeat {
    /// Name of the process's VM.
    pub node: Arc<str>,
    /// Address of its peer listener.
    pub address: Arc<str>,
    pub standing: Candidate,
}

/// The live processes other than the owner, by the name of their VM.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<Arc<str>, Member>,
    /// Whether a process has joined or was removed since the last call of [`MemberTable::take_changed`].
    changed: bool,
    /// Best rank of the processes with a recent heartbeat, as of the last removal of the others.
    best_rank: Option<VmRank>,
}

impl MemberTable {
    /// Records a heartbeat.
    pub(crate) fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) {
        let Heartbeat {
            node,
            address,
            standing,
        } = heartbeat;
        let earlier = self.members.get(&node);
        if earlier.is_none() {
            EventCode::MemberJoined.log(format_args!("node={node}"));
        }
        self.changed |= earlier.is_none_or(|member| member.address != address);
        let member = Member {
            node: node.clone(),
            address,
            standing,
            last_heartbeat_at: now,
        };
        self.members.insert(node, member);
    }

    /// Returns the processes with a recent heartbeat that have not given the cell up lately.
    fn able_members(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| {
            let silence = now.saturating_duration_since(member.last_heartbeat_at);
            silence < MAX_SUCCESSOR_SILENCE && !member.standing.gave_up
        })
    }

    /// Returns the process of the best rank that a condition holds for, the fastest one of those of the same rank.
    pub(crate) fn best(
        &self,
        now: Instant,
        condition: impl Fn(&Candidate) -> bool,
    ) -> Option<Arc<str>> {
        let candidates = self
            .able_members(now)
            .filter(|member| condition(&member.standing));
        let best = candidates.min_by_key(|member| {
            let Candidate {
                rank, work_time, ..
            } = member.standing;
            let time = work_time.unwrap_or(Duration::MAX);
            (Reverse(rank), time, member.node.clone())
        });
        best.map(|member| member.node.clone())
    }

    /// Returns the best rank of the processes that can take the cell over, which may be a tick old.
    pub(crate) fn best_rank(&self) -> Option<VmRank> {
        self.best_rank
    }

    /// Removes the processes whose heartbeats have stopped.
    pub(crate) fn remove_unreachable(&mut self, now: Instant) {
        let count_before = self.members.len();
        let is_alive = |member: &Member| {
            now.saturating_duration_since(member.last_heartbeat_at) < MEMBER_TIMEOUT
        };
        self.members.retain(|_, member| is_alive(member));
        self.changed |= self.members.len() != count_before;
        let able = self.able_members(now);
        self.best_rank = able.filter_map(|member| member.standing.rank).max();
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
