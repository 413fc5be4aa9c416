//! Workers as the cell knows them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_wire::Resources;
use slotmap::new_key_type;

use crate::{StepId, TaskId, TaskRun};

new_key_type! {
    /// Key of one life of a worker.
    pub struct WorkerKey;
}

/// Failures in a row, of different tasks, after which a worker is left alone for a while.
const FAILURES_TO_SUSPECT: u32 = 3;

/// First time that a suspect worker is left alone; doubled with each failed probe.
const SUSPECT_FOR: Duration = Duration::from_secs(2);

/// Longest time that a suspect worker is left alone.
const MAX_SUSPECT_FOR: Duration = Duration::from_secs(16);

/// Time after its rest in which a suspect worker gets one run at a time. After that it counts as sound,
/// since a gang that needs it could otherwise wait for good.
const PROBATION: Duration = Duration::from_secs(3);

/// What the registry says of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// Id; a new process may have the id of an earlier one.
    pub id: Arc<str>,
    /// Start of the process in Unix milliseconds.
    pub started_ms: u64,
    /// Service to which the worker belongs.
    pub service: Arc<str>,
    /// Kind and rack.
    pub labels: Vec<Arc<str>>,
    /// What the worker has.
    pub capacity: Resources,
    /// Whether the worker takes no new tasks.
    pub draining: bool,
}

/// A worker's list of runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// Runs at work.
    pub running: Vec<RunReport>,
    /// Ends that the worker still remembers.
    pub ended: Vec<EndReport>,
}

/// A run at work.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The run.
    pub run: TaskRun,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u8,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// Number of the end, from 1 in each life of the worker.
    pub number: u64,
    /// The run.
    pub run: TaskRun,
    /// How it ended.
    pub end: RunEnd,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It succeeded.
    Done,
    /// It failed through its own or the worker's fault.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease ran out.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come.
    Alone,
}

/// Why a worker did not start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// The run, or a later one, has ended there.
    Old,
    /// The lease was already over.
    Late,
    /// The worker has no room.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
    /// The worker did not understand the order.
    Invalid,
}

/// Where a run on a worker stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotPhase {
    /// The placement is not in the store yet.
    Recording,
    /// The start was sent and not answered.
    Sent,
    /// The worker has confirmed the run.
    Running,
    /// The run is to be stopped.
    Stopping,
}

/// Room that a run holds.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub need: Resources,
    pub phase: SlotPhase,
    /// From when on a list without the run means that it is gone.
    pub known_since: Option<Instant>,
    pub percent: u8,
    /// When the progress was last seen to change.
    pub moved_at: Instant,
    /// When the run was seen to begin.
    pub began_at: Instant,
}

/// Least time without progress after which a run stands still. Lists are up to a second apart.
const MIN_STALL: Duration = Duration::from_millis(1600);

/// The same for a run that has not made any progress, whose pace is not known.
const FIRST_STALL: Duration = Duration::from_millis(2600);

/// A run stands still after this many times the time that it took for a percent so far.
const STALL_FACTOR: u32 = 5;

impl Slot {
    /// Returns whether the run makes no progress, measured by its own pace.
    pub(crate) fn is_stalled(&self, now: Instant) -> bool {
        if self.phase != SlotPhase::Running || self.percent >= 100 {
            return false;
        }
        let pace = self.moved_at.saturating_duration_since(self.began_at);
        let limit = match self.percent {
            0 => FIRST_STALL,
            percent => (pace / u32::from(percent) * STALL_FACTOR).max(MIN_STALL),
        };
        now.saturating_duration_since(self.moved_at) > limit
    }
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub entry: WorkerEntry,
    pub rack: Option<Arc<str>>,
    /// Whether the registry lists this life.
    pub listed: bool,
    /// Whether the worker has shown its list to this owner.
    pub reported: bool,
    /// When the runs there are over unless the lease is renewed.
    pub lease_end: Instant,
    pub used: Resources,
    pub slots: HashMap<TaskRun, Slot>,
    pub seen_end: u64,
    pub unrecorded: BTreeSet<u64>,
    /// Failures in a row.
    pub failures: u32,
    pub last_failed: Option<TaskId>,
    pub suspect_until: Option<Instant>,
    pub suspect_for: Duration,
    /// Priority and step of the gang for which the worker is kept.
    pub reserved_by: Option<(u8, StepId)>,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry, lease_end: Instant) -> Self {
        let rack = entry.labels.iter().find(|label| is_rack(label)).cloned();
        Self {
            entry,
            rack,
            listed: true,
            reported: false,
            lease_end,
            used: Resources::ZERO,
            slots: HashMap::new(),
            seen_end: 0,
            unrecorded: BTreeSet::new(),
            failures: 0,
            last_failed: None,
            suspect_until: None,
            suspect_for: SUSPECT_FOR,
            reserved_by: None,
        }
    }

    /// Returns whether new runs may be placed here.
    pub(crate) fn takes_work(&self, now: Instant) -> bool {
        let trusted = match self.suspect_until {
            // One probe at a time decides about a suspect worker.
            Some(until) => now >= until && (self.slots.is_empty() || !self.on_probation(now)),
            None => true,
        };
        self.listed && self.reported && !self.entry.draining && now < self.lease_end && trusted
    }

    /// Returns whether the worker rests after failures, or has to prove itself after that.
    pub(crate) fn on_probation(&self, now: Instant) -> bool {
        self.suspect_until
            .is_some_and(|until| now < until + PROBATION)
    }

    pub(crate) fn free(&self) -> Resources {
        self.entry.capacity.saturating_sub(self.used)
    }

    pub(crate) fn hold(&mut self, run: TaskRun, slot: Slot) {
        self.used = self.used.saturating_add(slot.need);
        if let Some(old) = self.slots.insert(run, slot) {
            self.used = self.used.saturating_sub(old.need);
        }
    }

    pub(crate) fn release(&mut self, run: TaskRun) -> Option<Slot> {
        let slot = self.slots.remove(&run)?;
        self.used = self.used.saturating_sub(slot.need);
        Some(slot)
    }

    /// Returns the number up to which ends may be acknowledged.
    pub(crate) fn acknowledged(&self) -> u64 {
        match self.unrecorded.first() {
            Some(first) => first - 1,
            None => self.seen_end,
        }
    }

    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
        self.last_failed = None;
        self.suspect_until = None;
        self.suspect_for = SUSPECT_FOR;
    }

    /// Counts a failure. A task that fails again on the same worker counts once, since the fault may
    /// be its own.
    pub(crate) fn note_failure(&mut self, task: TaskId, now: Instant) {
        if self.last_failed == Some(task) {
            return;
        }
        self.last_failed = Some(task);
        self.failures += 1;
        if self.suspect_until.is_some() || self.failures >= FAILURES_TO_SUSPECT {
            self.suspect(now);
        }
    }

    pub(crate) fn suspect(&mut self, now: Instant) {
        self.suspect_until = Some(now + self.suspect_for);
        self.suspect_for = (self.suspect_for * 2).min(MAX_SUSPECT_FOR);
    }
}

/// Racks are the labels of the form `r1-3`; the others name the kind.
fn is_rack(label: &str) -> bool {
    let Some(rest) = label.strip_prefix('r') else {
        return false;
    };
    rest.split_once('-').is_some_and(|(zone, number)| {
        let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        digits(zone) && digits(number)
    })
}
