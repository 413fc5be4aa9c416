//! Starts that are given out and not answered yet, of each worker and in all.
//!
//! The starts of a job may take as much of a window as they leave free (dynamic thresholds, as in shared buffers of switches).
//! A job of any number of tasks thus leaves room for the next one, whatever their priorities, and two large ones take a third
//! each.
//!
//! Members of a gang have to start together. A gang therefore exceeds the windows: it waits only while other gangs hold half
//! of one, and takes no more than that half from the others.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::start_window::{StartAnswer, StartWindow, WindowBounds};
use crate::{JobId, TaskRun, WorkerKey};

/// Bounds of the window of a worker.
const WORKER_BOUNDS: WindowBounds = WindowBounds {
    min: 16,
    initial: 128,
    max: 2048,
};

/// Bounds of the window of all workers, which follows the speed of the owner. An owner with too little processor time answers
/// late however few starts are open, so that a smaller window would only slow it down.
const TOTAL_BOUNDS: WindowBounds = WindowBounds {
    min: 1024,
    initial: 2048,
    max: 16_384,
};

/// Time for which the shortest time to an answer counts as that without a queue.
const BASE_TIME_VALIDITY: Duration = Duration::from_secs(30);

/// Starts without an answer, and the windows that bound their number.
#[derive(Debug)]
pub(crate) struct OpenStarts {
    workers: SecondaryMap<WorkerKey, WorkerStarts>,
    /// Window of the starts on all workers.
    total: WindowUse,
    /// Whether a window has kept tasks waiting since the last start was closed.
    is_limiting: bool,
}

/// A window and the open starts that it bounds.
#[derive(Debug)]
struct WindowUse {
    window: StartWindow,
    /// Number of open starts of each job, apart from members of gangs.
    by_job: HashMap<JobId, u32>,
    /// Sum of these numbers.
    singles: u32,
    /// Number of open starts of members of gangs.
    members: u32,
}

#[derive(Debug)]
struct WorkerStarts {
    open: BTreeMap<TaskRun, OpenStart>,
    used: WindowUse,
    base_time: Option<BaseTime>,
}

#[derive(Clone, Copy, Debug)]
struct OpenStart {
    kind: StartKind,
    placed_at: Instant,
    /// Time at which it was sent; `None` while its placement is recorded.
    sent_at: Option<Instant>,
}

/// Shortest time to an answer in a period of [`BASE_TIME_VALIDITY`] and in the one before: that of a start which waits
/// for no other one.
#[derive(Clone, Copy, Debug)]
struct BaseTime {
    current: Duration,
    previous: Duration,
    began_at: Instant,
}

/// Whether a task has to start together with others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartKind {
    Single,
    GangMember,
}

/// What has become of an open start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartOutcome {
    /// The worker has confirmed it, at this time.
    Confirmed(Instant),
    /// It is not pending any more, or remains without an answer, which says nothing about the time to one.
    Withdrawn,
}

impl Default for OpenStarts {
    fn default() -> Self {
        Self {
            workers: SecondaryMap::new(),
            total: WindowUse::new(TOTAL_BOUNDS),
            is_limiting: false,
        }
    }
}

impl OpenStarts {
    /// Returns the number of starts that are open.
    pub(crate) fn count(&self) -> usize {
        self.total.singles as usize + self.total.members as usize
    }

    /// Returns the number of starts that may be open.
    pub(crate) fn limit(&self) -> usize {
        self.total.window.size() as usize
    }

    /// Returns the time at which the oldest of the sent starts was sent.
    pub(crate) fn oldest_sent_at(&self) -> Option<Instant> {
        let open = self
            .workers
            .values()
            .flat_map(|worker| worker.open.values());
        open.filter_map(|start| start.sent_at).min()
    }

    /// Returns whether a job may have a further start on some worker.
    pub(crate) fn has_room(&self, job: JobId, kind: StartKind) -> bool {
        self.total.room(job, kind) > 0
    }

    /// Returns whether a gang of a job may have members on a worker.
    pub(crate) fn admits_gang(&self, key: WorkerKey, job: JobId) -> bool {
        let room = |used: &WindowUse| used.room(job, StartKind::GangMember);
        room(&self.total) > 0 && self.workers.get(key).is_none_or(|w| room(&w.used) > 0)
    }

    /// Returns how many of the `wanted` starts of single tasks of a job a worker may get, and records the windows that keep the
    /// others waiting.
    pub(crate) fn admit(&mut self, key: WorkerKey, job: JobId, wanted: u32) -> u32 {
        let Some(worker) = self.worker_mut(key) else {
            return 0;
        };
        let on_worker = worker.used.admit(job, wanted);
        let admitted = self.total.admit(job, on_worker);
        self.is_limiting |= admitted < wanted;
        admitted
    }

    /// Records that the window of all workers keeps tasks waiting.
    pub(crate) fn record_limit(&mut self) {
        self.is_limiting = true;
        self.total.window.record_limit();
    }

    /// Adds a start whose placement is to be recorded.
    pub(crate) fn add(&mut self, key: WorkerKey, run: TaskRun, kind: StartKind, now: Instant) {
        let start = OpenStart {
            kind,
            placed_at: now,
            sent_at: None,
        };
        let Some(worker) = self.worker_mut(key) else {
            return;
        };
        if worker.open.insert(run, start).is_none() {
            worker.used.add(run.task.job(), kind);
            self.total.add(run.task.job(), kind);
        }
    }

    /// Records that a start is sent.
    pub(crate) fn record_sent(&mut self, key: WorkerKey, run: TaskRun, now: Instant) {
        let worker = self.workers.get_mut(key);
        if let Some(start) = worker.and_then(|worker| worker.open.get_mut(&run)) {
            start.sent_at = Some(now);
        }
    }

    /// Removes a start, if it is open. Returns whether tasks have waited for room, which there may be now.
    pub(crate) fn close(&mut self, key: WorkerKey, run: TaskRun, outcome: StartOutcome) -> bool {
        let Some(worker) = self.workers.get_mut(key) else {
            return false;
        };
        let Some(start) = worker.open.remove(&run) else {
            return false;
        };
        worker.used.remove(run.task.job(), start.kind);
        self.total.remove(run.task.job(), start.kind);
        match (outcome, start.sent_at) {
            (StartOutcome::Confirmed(now), Some(sent_at)) => {
                let delay = worker.record_time(now.saturating_duration_since(sent_at), now);
                let answer = StartAnswer {
                    placed_at: start.placed_at,
                    answered_at: now,
                    delay,
                };
                worker.used.window.record_answer(answer);
                self.total.window.record_answer(answer);
            }
            (StartOutcome::Confirmed(_) | StartOutcome::Withdrawn, _) => {}
        }
        std::mem::take(&mut self.is_limiting)
    }

    /// Returns the starts of a worker, or `None` if its key is that of an earlier worker.
    fn worker_mut(&mut self, key: WorkerKey) -> Option<&mut WorkerStarts> {
        let entry = self.workers.entry(key)?;
        Some(entry.or_insert_with(WorkerStarts::new))
    }

    /// Removes the open starts of a worker that is gone.
    pub(crate) fn forget(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        for (run, start) in &worker.open {
            self.total.remove(run.task.job(), start.kind);
        }
    }
}

impl WindowUse {
    fn new(bounds: WindowBounds) -> Self {
        Self {
            window: StartWindow::new(bounds),
            by_job: HashMap::new(),
            singles: 0,
            members: 0,
        }
    }

    /// Returns how many starts are left, of which members of gangs hold half at most.
    fn free(&self) -> u32 {
        let size = self.window.size();
        let used = self.singles.saturating_add(self.members.min(size / 2));
        size.saturating_sub(used)
    }

    /// Returns how many starts a job may add, so that it takes as much as it leaves free.
    fn room(&self, job: JobId, kind: StartKind) -> u32 {
        let free = self.free();
        match kind {
            StartKind::Single => {
                let own = self.by_job.get(&job).copied().unwrap_or(0);
                (free + 1).saturating_sub(own) / 2
            }
            StartKind::GangMember => match self.members < self.window.size() / 2 {
                true => free,
                false => 0,
            },
        }
    }

    fn admit(&mut self, job: JobId, wanted: u32) -> u32 {
        let room = self.room(job, StartKind::Single);
        if room < wanted {
            self.window.record_limit();
        }
        room.min(wanted)
    }

    fn add(&mut self, job: JobId, kind: StartKind) {
        match kind {
            StartKind::Single => {
                self.singles += 1;
                *self.by_job.entry(job).or_default() += 1;
            }
            StartKind::GangMember => self.members += 1,
        }
    }

    fn remove(&mut self, job: JobId, kind: StartKind) {
        match kind {
            StartKind::Single => {
                self.singles -= 1;
                if let Some(own) = self.by_job.get_mut(&job) {
                    *own -= 1;
                    if *own == 0 {
                        self.by_job.remove(&job);
                    }
                }
            }
            StartKind::GangMember => self.members -= 1,
        }
    }
}

impl WorkerStarts {
    fn new() -> Self {
        Self {
            open: BTreeMap::new(),
            used: WindowUse::new(WORKER_BOUNDS),
            base_time: None,
        }
    }

    /// Records the time to an answer. Returns the part of it that exceeds the time without a queue, on a connection that has
    /// to be opened.
    fn record_time(&mut self, time: Duration, now: Instant) -> Duration {
        let base = self.base_time.get_or_insert(BaseTime {
            current: time,
            previous: time,
            began_at: now,
        });
        if now.saturating_duration_since(base.began_at) >= BASE_TIME_VALIDITY {
            *base = BaseTime {
                current: time,
                previous: base.current,
                began_at: now,
            };
        }
        base.current = base.current.min(time);
        time.saturating_sub(base.current.min(base.previous) * 2)
    }
}
