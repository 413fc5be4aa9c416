//! Observation of runs for the estimates of `hs-evidence`, and the preference among workers that follows from them.
//!
//! Nothing is observed unless the options of the cell say so.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_evidence::{
    Evidence, EvidenceCounts, KindKey, KindName, ObservedRun, ObservedStep, ObservedWorker,
    PairChange, TaskOutlook, WorkerPreference,
};
use slotmap::Key;

use crate::advice_request::FreeCapacity;
use crate::cell::Cell;
use crate::job_spec::StepSpec;
use crate::placement::Candidate;
use crate::step_order::Timeliness;
use crate::worker::{RunEnd, WorkerReport};
use crate::{StepId, TaskRun, WorkerKey};

/// Number of tasks of a step from which its runs are compared with each other.
const MIN_COMPARED_TASKS: u16 = 3;

/// Maximum number of workers that are put into order for an advice request, which names at most half as many.
const MAX_ORDERED_WORKERS: usize = 400;

/// Change of the confidence that tasks of one kind slow down beside another kind.
#[derive(Clone, Debug, PartialEq)]
pub struct InterferenceEvent {
    /// Name of the kind that is slowed down.
    pub kind: String,
    /// Name of the kind beside it.
    pub beside: String,
    /// Estimated factor by which a task takes longer.
    pub slow_down: f64,
    /// Whether the interference is confident now.
    pub is_confident: bool,
}

impl Cell {
    /// Takes the pairs of kinds that have become known to interfere, or stopped being so.
    pub fn take_interference_events(&mut self) -> Vec<InterferenceEvent> {
        let Some(evidence) = &mut self.evidence else {
            return Vec::new();
        };
        let changes = evidence.take_pair_changes();
        let event = |change: PairChange| InterferenceEvent {
            kind: display_name(evidence, change.kind),
            beside: display_name(evidence, change.beside),
            slow_down: change.slow_down,
            is_confident: change.is_confident,
        };
        changes.into_iter().map(event).collect()
    }

    /// Returns the numbers of workers by speed and of pairs, or `None` if nothing is observed.
    pub fn evidence_counts(&self) -> Option<EvidenceCounts> {
        self.evidence.as_ref().map(|evidence| evidence.counts())
    }

    pub(crate) fn observe_placement(&mut self, key: WorkerKey, run: TaskRun, now: Instant) {
        if self.evidence.is_none() {
            return;
        }
        let Some(kind) = self.kind_name(run.task.step) else {
            return;
        };
        if let Some(evidence) = &mut self.evidence {
            evidence.run_placed(observed_worker(key), observed_run(run), &kind, now);
        }
    }

    /// Observes a run from its start. One that resumes from a checkpoint is observed from its first report, since its
    /// progress does not begin at 0.
    pub(crate) fn observe_start(&mut self, key: WorkerKey, run: TaskRun, now: Instant) {
        if self.evidence.is_none() || !self.is_comparable(run) {
            return;
        }
        let step = self.jobs.get(&run.task.job());
        let step = step.and_then(|job| job.step(run.task.step));
        let task = step.and_then(|step| step.tasks.get(usize::from(run.task.index)));
        let is_from_the_start = task.is_some_and(|task| task.checkpoint.is_none());
        if let Some(evidence) = &mut self.evidence
            && is_from_the_start
        {
            evidence.run_started(observed_worker(key), observed_run(run), now);
        }
    }

    /// Observes the progress and the ends that a worker reports, before the report changes the cell.
    pub(crate) fn observe_report(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        requested_at: Instant,
        now: Instant,
    ) {
        let Some(mut evidence) = self.evidence.take() else {
            return;
        };
        let worker = observed_worker(key);
        let last_seen_end = self.workers.get(key).map_or(0, |known| known.last_seen_end);
        for end in report.ended.iter().filter(|end| end.number > last_seen_end) {
            let run = observed_run(end.run);
            match end.end {
                RunEnd::Done if self.is_comparable(end.run) => evidence.run_done(worker, run, now),
                _ => evidence.run_gone(worker, run, now),
            }
        }
        for row in &report.running {
            let run = observed_run(row.run);
            if !evidence.is_watched(worker, run)
                && let Some(kind) = self.kind_name(row.run.task.step)
            {
                evidence.run_placed(worker, run, &kind, now);
            }
            if self.is_comparable(row.run) {
                evidence.run_progressed(worker, run, row.percent, now);
            }
        }
        let is_running = |run| {
            report
                .running
                .iter()
                .any(|row| observed_run(row.run) == run)
        };
        evidence.runs_listed(worker, is_running, requested_at, now);
        evidence.refresh(now);
        self.evidence = Some(evidence);
    }

    pub(crate) fn observe_removal(&mut self, key: WorkerKey) {
        if let Some(evidence) = &mut self.evidence {
            evidence.worker_removed(observed_worker(key));
        }
    }

    /// Returns the preference of a step among workers, or `None` if all of them are equally good.
    pub(crate) fn worker_preference(
        &self,
        id: StepId,
        now: Instant,
    ) -> Option<WorkerPreference<'_>> {
        let evidence = self.evidence.as_ref()?;
        let ready = self.ready_step(id)?;
        let job = self.jobs.get(&id.job)?;
        let (spec, step) = (job.spec.as_ref()?, job.step_spec(id)?);
        let queue = self.queues.get(&spec.queue)?;
        let estimate = Duration::from_millis(step.estimate_ms);
        let outlook = TaskOutlook {
            is_gang: step.gang,
            is_long_running: step.long_running,
            is_overdue: ready.limits.timeliness(now) == Timeliness::Overdue,
            objective: spec.critical_path().mul_f64(queue.stretch.max(1.0)) + queue.target,
            estimate,
            later: spec.critical_path_from(id.step).saturating_sub(estimate),
            slack: ready.start_by.saturating_duration_since(now),
        };
        evidence.preference(&kind_name_of(&spec.queue, step), &outlook)
    }

    /// Moves the workers of one speed class to the front if all tasks of a gang fit within it, and returns the workers
    /// among which one rack may be preferred. A step that is slower across racks keeps its choice of rack.
    pub(crate) fn prefer_one_speed_class<'a>(
        &self,
        id: StepId,
        candidates: &'a mut [Candidate],
        wanted: u32,
        now: Instant,
    ) -> &'a mut [Candidate] {
        let job = self.jobs.get(&id.job);
        let spec = job.and_then(|job| job.step_spec(id));
        let is_rack_first = spec.is_none_or(|spec| spec.same_rack);
        let Some(preference) = self.worker_preference(id, now).filter(|_| !is_rack_first) else {
            return candidates;
        };
        let fits = candidates.iter().map(|c| (observed_worker(c.key), c.fits));
        let Some(class) = preference.gang_class(fits, wanted) else {
            return candidates;
        };
        let is_of_class = |c: &Candidate| preference.class(observed_worker(c.key)) == class;
        candidates.sort_by_key(|c| !is_of_class(c));
        let count = candidates.iter().filter(|c| is_of_class(c)).count();
        &mut candidates[..count]
    }

    /// Orders workers to be named by the preference of a step. Without one they are not even collected.
    pub(crate) fn in_preferred_order<'a>(
        &'a self,
        id: StepId,
        workers: impl Iterator<Item = FreeCapacity> + 'a,
        now: Instant,
    ) -> Box<dyn Iterator<Item = FreeCapacity> + 'a> {
        let Some(preference) = self.worker_preference(id, now) else {
            return Box::new(workers);
        };
        let mut ordered: Vec<FreeCapacity> = workers.take(MAX_ORDERED_WORKERS).collect();
        ordered.sort_by_cached_key(|w| preference.standing(observed_worker(w.key)));
        Box::new(ordered.into_iter())
    }

    /// Returns whether the rate of a run shows the speed of its worker. Members of a gang end together, tasks that fill
    /// depend on what other runs leave, and tasks with a preferred rack are faster there.
    fn is_comparable(&self, run: TaskRun) -> bool {
        let job = self.jobs.get(&run.task.job());
        let spec = job.and_then(|job| job.step_spec(run.task.step));
        spec.is_some_and(|spec| {
            let has_peers = spec.count >= MIN_COMPARED_TASKS;
            let is_free = !spec.gang && !spec.fills && !spec.long_running;
            has_peers && is_free && spec.affinity.is_none()
        })
    }

    fn kind_name(&self, id: StepId) -> Option<KindName> {
        let job = self.jobs.get(&id.job)?;
        Some(kind_name_of(&job.spec.as_ref()?.queue, job.step_spec(id)?))
    }
}

pub(crate) fn observed_worker(key: WorkerKey) -> ObservedWorker {
    ObservedWorker(key.data().as_ffi())
}

fn observed_run(run: TaskRun) -> ObservedRun {
    let step = run.task.step;
    ObservedRun {
        step: ObservedStep {
            job: step.job.0,
            occurrence: step.occurrence,
            step: step.step,
        },
        index: run.task.index,
        run: run.run,
    }
}

fn kind_name_of(queue: &Arc<str>, step: &StepSpec) -> KindName {
    match &step.image {
        Some(image) => KindName::Image(image.clone()),
        None => KindName::Shape {
            queue: queue.clone(),
            count: step.count,
            cpu_milli: step.need.cpu_milli,
            memory_mib: step.need.memory_mib,
        },
    }
}

fn display_name(evidence: &Evidence, kind: KindKey) -> String {
    evidence
        .kind_name(kind)
        .map_or_else(String::new, ToString::to_string)
}
