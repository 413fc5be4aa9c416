//! Health of all workers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::worker_health::{HealthState, WorkerHealth};
use crate::{TaskEnd, WorkKey, WorkerKey};

/// Share of the workers that may be out because of failures, in percent. Failures of more workers
/// have a common cause, which ejection would not cure.
const MAX_EJECTED_PERCENT: usize = 30;

/// What the placer has to do about a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthChange {
    /// Withhold it for a time.
    Eject(Duration),
    /// Give it one piece of work.
    Probe,
    /// Give it work again.
    Readmit,
}

/// Decides which workers are out because their tasks fail.
#[derive(Debug, Default)]
pub(crate) struct HealthBoard {
    records: SecondaryMap<WorkerKey, WorkerHealth>,
    /// Number of workers that are not healthy.
    out: usize,
    wakes: BTreeSet<(Instant, WorkerKey)>,
}

impl HealthBoard {
    /// Notes a start and returns whether it is a probe, after which the worker takes no more.
    pub(crate) fn placed(&mut self, worker: WorkerKey, work: WorkKey, now: Instant) -> bool {
        let record = self.records.get_mut(worker);
        let Some(record) = record.filter(|record| record.state == HealthState::Probing) else {
            return false;
        };
        record.probe(work, now);
        self.wakes.extend(record.wake().map(|wake| (wake, worker)));
        true
    }

    /// Notes the end of a task on one of `active` workers that take work or are out.
    pub(crate) fn ended(
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
                let limit = Self::limit(active);
                if !record.record(end) || self.out >= limit {
                    return None;
                }
                self.out += 1;
                Some(self.eject(worker, now))
            }
            HealthState::Probed(probe, until) if probe == work => {
                self.wakes.remove(&(until, worker));
                match end {
                    TaskEnd::Done => {
                        self.readmit(worker);
                        Some(HealthChange::Readmit)
                    }
                    TaskEnd::Failed | TaskEnd::Refused => Some(self.eject(worker, now)),
                    TaskEnd::Stopped => {
                        record.state = HealthState::Probing;
                        Some(HealthChange::Probe)
                    }
                }
            }
            // The task started before the ejection, so that it says nothing new.
            HealthState::Ejected(_) | HealthState::Probing | HealthState::Probed(..) => None,
        }
    }

    /// Returns the next change that time alone brings.
    pub(crate) fn due(&mut self, now: Instant) -> Option<(WorkerKey, HealthChange)> {
        let (wake, worker) = *self.wakes.first()?;
        if wake > now {
            return None;
        }
        self.wakes.pop_first();
        let record = self.records.get_mut(worker)?;
        if let HealthState::Ejected(_) = record.state {
            record.state = HealthState::Probing;
            return Some((worker, HealthChange::Probe));
        }
        self.readmit(worker);
        Some((worker, HealthChange::Readmit))
    }

    /// Drops what is known of a worker.
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        if let Some(record) = self.records.remove(worker) {
            self.out -= usize::from(record.state != HealthState::Healthy);
            if let Some(wake) = record.wake() {
                self.wakes.remove(&(wake, worker));
            }
        }
    }

    /// Readmits a worker if more are out than `active` workers allow.
    pub(crate) fn readmit_excess(&mut self, active: usize) -> Option<WorkerKey> {
        if self.out <= Self::limit(active) {
            return None;
        }
        let mut records = self.records.iter();
        let (worker, record) = records.find(|(_, record)| record.state != HealthState::Healthy)?;
        if let Some(wake) = record.wake() {
            self.wakes.remove(&(wake, worker));
        }
        self.readmit(worker);
        Some(worker)
    }

    /// Returns when [`HealthBoard::due`] has something to say.
    pub(crate) fn first_wake(&self) -> Option<Instant> {
        self.wakes.first().map(|(wake, _)| *wake)
    }

    fn limit(active: usize) -> usize {
        (active * MAX_EJECTED_PERCENT / 100).max(1)
    }

    fn eject(&mut self, worker: WorkerKey, now: Instant) -> HealthChange {
        let record = &mut self.records[worker];
        let pause = record.eject(now);
        self.wakes.insert((now + pause, worker));
        HealthChange::Eject(pause)
    }

    fn readmit(&mut self, worker: WorkerKey) {
        self.records[worker].state = HealthState::Healthy;
        self.out -= 1;
    }
}
