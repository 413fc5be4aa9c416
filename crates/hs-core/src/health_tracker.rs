//! Outlier ejection: health of all workers, based on the outcomes of their tasks.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::worker_health::{HealthState, WorkerHealth};
use crate::{TaskEnd, WorkKey, WorkerKey};

/// Maximum percentage of workers that may be ejected or on probation at a time. If the tasks of
/// more workers fail, there is a common cause, which ejection would not remove.
const MAX_EJECTED_PERCENT: usize = 30;

/// A health transition that the placer has to apply to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthChange {
    /// Withhold the worker from placement for this time.
    Eject(Duration),
    /// Give the worker one work item as a probe.
    Probe,
    /// Let the worker take work without restriction again.
    Readmit,
}

/// Tracks the health of each worker and decides which workers to eject and to readmit.
#[derive(Debug, Default)]
pub(crate) struct HealthTracker {
    records: SecondaryMap<WorkerKey, WorkerHealth>,
    /// Number of workers whose state is not [`HealthState::Healthy`].
    unhealthy: usize,
    /// Times at which the state of a worker changes without an input.
    timers: BTreeSet<(Instant, WorkerKey)>,
}

impl HealthTracker {
    /// Records a placement and returns whether it is a probe, in which case the worker must get no
    /// other work until the probe is decided.
    pub(crate) fn record_placement(
        &mut self,
        worker: WorkerKey,
        work: WorkKey,
        now: Instant,
    ) -> bool {
        let record = self.records.get_mut(worker);
        let Some(record) = record.filter(|record| record.state == HealthState::ProbePending) else {
            return false;
        };
        record.start_probe(work, now);
        self.timers
            .extend(record.next_change().map(|at| (at, worker)));
        true
    }

    /// Records the end of a task and returns the resulting transition. `active` is the number of
    /// workers that are not draining, including ejected ones.
    pub(crate) fn record_end(
        &mut self,
        worker: WorkerKey,
        work: WorkKey,
        end: TaskEnd,
        active: usize,
        now: Instant,
    ) -> Option<HealthChange> {
        let record = self.records.entry(worker)?.or_default();
        match record.state {
            HealthState::Healthy => {
                let limit = Self::max_unhealthy(active);
                if !record.record_end(end) || self.unhealthy >= limit {
                    return None;
                }
                self.unhealthy += 1;
                Some(self.eject(worker, now))
            }
            HealthState::ProbeRunning(probe, until) if probe == work => {
                self.timers.remove(&(until, worker));
                match end {
                    TaskEnd::Done => {
                        self.readmit(worker);
                        Some(HealthChange::Readmit)
                    }
                    TaskEnd::Failed | TaskEnd::Refused => Some(self.eject(worker, now)),
                    TaskEnd::Stopped => {
                        record.state = HealthState::ProbePending;
                        Some(HealthChange::Probe)
                    }
                }
            }
            // The task started before the ejection, so its end says nothing new about the worker.
            HealthState::Ejected(_) | HealthState::ProbePending | HealthState::ProbeRunning(..) => {
                None
            }
        }
    }

    /// Removes and returns a transition whose time has come.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<(WorkerKey, HealthChange)> {
        let (at, worker) = *self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        let record = self.records.get_mut(worker)?;
        if let HealthState::Ejected(_) = record.state {
            record.state = HealthState::ProbePending;
            return Some((worker, HealthChange::Probe));
        }
        self.readmit(worker);
        Some((worker, HealthChange::Readmit))
    }

    /// Discards the record of a worker.
    pub(crate) fn remove(&mut self, worker: WorkerKey) {
        if let Some(record) = self.records.remove(worker) {
            self.unhealthy -= usize::from(record.state != HealthState::Healthy);
            if let Some(at) = record.next_change() {
                self.timers.remove(&(at, worker));
            }
        }
    }

    /// Readmits one unhealthy worker if there are more of them than `active` workers allow. Returns
    /// the worker.
    pub(crate) fn readmit_excess(&mut self, active: usize) -> Option<WorkerKey> {
        if self.unhealthy <= Self::max_unhealthy(active) {
            return None;
        }
        let mut records = self.records.iter();
        let (worker, record) = records.find(|(_, record)| record.state != HealthState::Healthy)?;
        if let Some(at) = record.next_change() {
            self.timers.remove(&(at, worker));
        }
        self.readmit(worker);
        Some(worker)
    }

    /// Returns when [`HealthTracker::pop_due`] has to be called next.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    fn max_unhealthy(active: usize) -> usize {
        (active * MAX_EJECTED_PERCENT / 100).max(1)
    }

    fn eject(&mut self, worker: WorkerKey, now: Instant) -> HealthChange {
        let record = &mut self.records[worker];
        let pause = record.eject(now);
        self.timers.insert((now + pause, worker));
        HealthChange::Eject(pause)
    }

    fn readmit(&mut self, worker: WorkerKey) {
        self.records[worker].state = HealthState::Healthy;
        self.unhealthy -= 1;
    }
}
