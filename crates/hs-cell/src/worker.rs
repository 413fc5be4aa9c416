//! State of workers: registry entry, lease, allocations and quarantine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_wire::Resources;
use slotmap::new_key_type;

use crate::effect::LeaseSource;
use crate::isolation::Vacating;
use crate::reservation::WorkerReservation;
use crate::slot::Slot;
use crate::{TaskId, TaskRun};

new_key_type! {
    /// Key of one incarnation of a worker.
    pub struct WorkerKey;
}

/// Number of consecutive failures, of different tasks, after which a worker is quarantined.
const FAILURES_BEFORE_QUARANTINE: u32 = 3;

/// Duration of the first quarantine of a worker; doubled with each further one until a run succeeds.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(2);

/// Maximum duration of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(16);

/// Time after a quarantine in which the worker gets only one run at a time. After that it counts as healthy
/// even without a successful run, since a gang that needs it could otherwise wait forever.
const PROBATION: Duration = Duration::from_secs(3);

/// Registry entry of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// ID of the worker; a new process may reuse the ID of an earlier one.
    pub id: Arc<str>,
    /// Start time of the process in Unix milliseconds.
    pub started_ms: u64,
    /// Service that the worker belongs to.
    pub service: Arc<str>,
    /// Labels that name the kind and the rack of the worker.
    pub labels: Vec<Arc<str>>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is draining and accepts no new runs.
    pub draining: bool,
}

impl WorkerEntry {
    /// Returns the age of the incarnation at a wall-clock time in Unix milliseconds.
    pub fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.started_ms))
    }
}

/// Report of a worker on its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// Runs that are in progress.
    pub running: Vec<RunReport>,
    /// Ends that the worker still retains.
    pub ended: Vec<EndReport>,
    /// What a run that both lists lack may have come to.
    pub scope: ReportScope,
}

/// Scope of a worker's report, which says what follows from a run that it lacks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportScope {
    /// The lists name all runs and all retained ends. A run that they lack is gone.
    #[default]
    Complete,
    /// A row could not be read. A run that the lists lack may be in progress, or have ended.
    UnreadableRows,
    /// The worker retains more ends than it lists at a time. A run that the lists lack may have ended in any way.
    MoreEnds,
}

/// Report on a run that is in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// Task and run number.
    pub run: TaskRun,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u8,
}

/// Report on a run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// Number of the end, counted from 1 in each incarnation of the worker.
    pub number: u64,
    /// Task and run number.
    pub run: TaskRun,
    /// Reason for the end.
    pub end: RunEnd,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Reason why a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The run succeeded.
    Done,
    /// The run failed, because of its own fault or the worker's.
    Failed,
    /// The run was stopped by the owner.
    Stopped,
    /// The lease of the worker expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start.
    Alone,
}

/// Reason why a worker refused to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// The run, or a later one of the task, has already ended on the worker.
    Old,
    /// The lease had already expired.
    Late,
    /// The worker has too few free resources.
    Room,
    /// The ticket is invalid.
    Ticket,
    /// The worker is unhealthy and did not process the order.
    Unhealthy,
    /// Another incarnation of the worker answered.
    OtherLife,
    /// The worker could not interpret the order.
    Invalid,
}

/// Which incarnations of a worker may have taken a start without a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartTaker {
    /// Only the one that has reported last.
    Reported,
    /// One that the owner has not heard from, as well.
    Any,
}

/// State of one incarnation of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub entry: WorkerEntry,
    pub rack: Option<Arc<str>>,
    /// Whether the registry lists this incarnation.
    pub listed: bool,
    /// Whether the worker has reported to this owner, and has been reachable since.
    pub reported: bool,
    /// Time for which the last report holds.
    pub reported_at: Option<Instant>,
    /// Time on the owner's clock at which all runs on the worker have ended unless the lease is renewed.
    pub lease_end: Instant,
    /// Whether this owner has known an earlier incarnation.
    pub is_successor: bool,
    /// Time until which a stale call may keep runs going, or the run of another incarnation that has answered in place of
    /// this one. Renewals don't change it, since a worker never shortens a lease.
    pub stale_lease_end: Option<Instant>,
    /// Time at which this owner last sent a renewal of the lease. Starts carry the end of that lease.
    pub renewed_at: Option<Instant>,
    pub used: Resources,
    pub slots: BTreeMap<TaskRun, Slot>,
    /// Number of the last processed end.
    pub last_seen_end: u64,
    /// Numbers of processed ends that are not committed to the store yet.
    pub unrecorded_ends: BTreeSet<u64>,
    /// Failures since the last success; see [`Worker::record_failure`].
    pub consecutive_failures: u32,
    pub last_failed_task: Option<TaskId>,
    /// End of the last quarantine, which probation follows.
    pub quarantined_until: Option<Instant>,
    /// Duration of the next quarantine.
    pub quarantine_time: Duration,
    /// Reservation of the worker for a gang.
    pub reserved_by: Option<WorkerReservation>,
    /// Number of isolated runs. There can be several after a takeover.
    pub isolated_runs: u32,
    /// Step for a suspect of which the worker is being vacated.
    pub vacated_for: Option<Vacating>,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry, lease_end: Instant) -> Self {
        let rack = entry.labels.iter().find(|label| is_rack(label)).cloned();
        Self {
            entry,
            rack,
            listed: true,
            reported: false,
            reported_at: None,
            lease_end,
            is_successor: false,
            stale_lease_end: None,
            renewed_at: None,
            used: Resources::ZERO,
            slots: BTreeMap::new(),
            last_seen_end: 0,
            unrecorded_ends: BTreeSet::new(),
            consecutive_failures: 0,
            last_failed_task: None,
            quarantined_until: None,
            quarantine_time: INITIAL_QUARANTINE,
            reserved_by: None,
            isolated_runs: 0,
            vacated_for: None,
        }
    }

    /// Returns whether new runs may be placed on the worker.
    pub(crate) fn accepts_runs(&self, now: Instant) -> bool {
        let is_healthy = match self.quarantined_until {
            // During probation the worker runs one task at a time.
            Some(until) => {
                now >= until && (self.slots.is_empty() || !self.is_quarantined_or_on_probation(now))
            }
            None => true,
        };
        self.is_available() && now < self.lease_end && is_healthy
    }

    /// Returns whether the registry lists the worker, it answers this owner, and it does not drain.
    pub(crate) fn is_reachable(&self) -> bool {
        self.listed && self.reported && !self.entry.draining
    }

    /// Returns whether the worker may get runs, apart from the conditions that depend on the time: the end of the
    /// lease and a quarantine.
    pub(crate) fn is_available(&self) -> bool {
        self.is_reachable() && self.renewed_at.is_some()
    }

    /// Returns the runs that have ended by a time, since the leases have ended under which they may go on.
    pub(crate) fn lapsed_runs(&self, now: Instant) -> Vec<TaskRun> {
        let is_over = |slot: &Slot| slot.unconfirmed_until.is_none_or(|until| now >= until);
        let slots = self.slots.iter().filter(|(_, slot)| is_over(slot));
        slots.map(|(run, _)| *run).collect()
    }

    /// Returns what the time follows from until which a run counts as going on.
    pub(crate) fn lease_source(&self, run: TaskRun) -> LeaseSource {
        let unconfirmed = self.slots.get(&run).and_then(|slot| slot.unconfirmed_until);
        if unconfirmed.is_some_and(|until| until >= self.lease_end) {
            return LeaseSource::UnconfirmedStart;
        }
        match self.stale_lease_end == Some(self.lease_end) {
            true => LeaseSource::StaleCall,
            false => LeaseSource::Renewal,
        }
    }

    /// Records that an incarnation that the owner has not heard from may have taken a call which keeps all its runs going
    /// until `end`. Those that this incarnation has reported are not its runs.
    pub(crate) fn extend_unconfirmed(&mut self, end: Instant, now: Instant) {
        for slot in self.slots.values_mut() {
            slot.unconfirmed_until = slot.unconfirmed_until.map(|until| until.max(end));
        }
        if self.stale_lease_end.is_some_and(|until| until > now) {
            self.extend_stale_lease(end);
        }
    }

    /// Extends the lease to a time up to which a stale call may have granted it.
    pub(crate) fn extend_stale_lease(&mut self, end: Instant) {
        self.stale_lease_end = Some(self.stale_lease_end.map_or(end, |earlier| earlier.max(end)));
        self.lease_end = self.lease_end.max(end);
    }

    /// Limits the lease to a time, since no longer one has been granted. Stale calls may have granted one.
    pub(crate) fn limit_lease(&mut self, latest_end: Instant) {
        let limited = self.lease_end.min(latest_end);
        self.lease_end = limited.max(self.stale_lease_end.unwrap_or(limited));
    }

    /// Records that a report has arrived. Returns whether it is the first one since the worker was unreachable.
    pub(crate) fn mark_reported(&mut self, reported_at: Instant) -> bool {
        self.reported_at = Some(reported_at);
        !std::mem::replace(&mut self.reported, true)
    }

    /// Returns whether the worker is quarantined after failures, or on probation after that.
    pub(crate) fn is_quarantined_or_on_probation(&self, now: Instant) -> bool {
        self.quarantined_until
            .is_some_and(|until| now < until + PROBATION)
    }

    pub(crate) fn free(&self) -> Resources {
        self.entry.capacity.saturating_sub(self.used)
    }

    /// Adds a run. Returns the slot that it had before, if any.
    pub(crate) fn allocate(&mut self, run: TaskRun, slot: Slot) -> Option<Slot> {
        self.used = self.used.saturating_add(slot.need);
        self.isolated_runs += u32::from(slot.is_isolated);
        let old = self.slots.insert(run, slot)?;
        self.used = self.used.saturating_sub(old.need);
        self.isolated_runs -= u32::from(old.is_isolated);
        Some(old)
    }

    /// Removes all runs.
    pub(crate) fn take_slots(&mut self) -> BTreeMap<TaskRun, Slot> {
        self.used = Resources::ZERO;
        self.isolated_runs = 0;
        std::mem::take(&mut self.slots)
    }

    pub(crate) fn release(&mut self, run: TaskRun) -> Option<Slot> {
        let slot = self.slots.remove(&run)?;
        self.used = self.used.saturating_sub(slot.need);
        self.isolated_runs -= u32::from(slot.is_isolated);
        Some(slot)
    }

    /// Lets others be placed beside a run.
    pub(crate) fn end_isolation(&mut self, run: TaskRun) {
        if let Some(slot) = self.slots.get_mut(&run) {
            self.isolated_runs -= u32::from(slot.is_isolated);
            slot.is_isolated = false;
        }
    }

    /// Returns the number of the last end that may be acknowledged; all ends before it are recorded too.
    pub(crate) fn acknowledgeable_end(&self) -> u64 {
        match self.unrecorded_ends.first() {
            Some(first) => first - 1,
            None => self.last_seen_end,
        }
    }

    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.last_failed_task = None;
        self.quarantined_until = None;
        self.quarantine_time = INITIAL_QUARANTINE;
    }

    /// Counts a failure. Consecutive failures of the same task count once, since the task itself may be at
    /// fault.
    pub(crate) fn record_failure(&mut self, task: TaskId, now: Instant) {
        if self.last_failed_task == Some(task) {
            return;
        }
        self.last_failed_task = Some(task);
        self.consecutive_failures += 1;
        if self.quarantined_until.is_some()
            || self.consecutive_failures >= FAILURES_BEFORE_QUARANTINE
        {
            self.quarantine(now);
        }
    }

    pub(crate) fn quarantine(&mut self, now: Instant) {
        self.quarantined_until = Some(now + self.quarantine_time);
        self.quarantine_time = (self.quarantine_time * 2).min(MAX_QUARANTINE);
    }
}

/// Returns whether a label names a rack, in the form `r1-3`; other labels name the kind of worker.
fn is_rack(label: &str) -> bool {
    let Some(rest) = label.strip_prefix('r') else {
        return false;
    };
    rest.split_once('-').is_some_and(|(zone, number)| {
        let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        digits(zone) && digits(number)
    })
}
