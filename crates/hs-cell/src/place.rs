//! Which tasks go to which workers.
//!
//! A scheduling pass takes the waiting steps in order. Tasks go where they leave the least room, so
//! that wide tasks and gangs find empty workers. A gang that finds no room reserves workers (`reserve`).

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_wire::Resources;
use smallvec::SmallVec;

use crate::ask::AdviceNeed;
use crate::cell::Cell;
use crate::job::{Job, TaskState};
use crate::job_spec::StepSpec;
use crate::order::OrderKey;
use crate::worker::{Slot, SlotPhase};
use crate::{StepId, TaskRun, WorkerKey};

/// Steps of one queue beyond this place in the order neither ask for advice nor reserve room, since
/// those before them use it up.
const QUEUE_DEPTH: u32 = 24;

/// Time after which a pass is made without any news, since tickets end and suspect workers come back.
const PASS_EVERY: Duration = Duration::from_millis(100);

/// A pass is made after this many times the time that the last one took, so that passes take a bounded
/// part of the processor however long the queues are.
const PASS_SHARE: u32 = 4;

/// A worker that can take tasks of a step.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: WorkerKey,
    /// Number of tasks that fit.
    fits: u32,
    /// Room that one more task leaves, in thousandths of the worker.
    left: u32,
    /// Whether the worker is on the rack of the data.
    near: bool,
    /// Whether a task of the step has failed there.
    failed: bool,
}

impl Cell {
    /// Places what waits, if something has changed since the last pass or that was a while ago.
    pub(crate) fn schedule(&mut self, now: Instant) {
        let since = |limit: Duration| {
            let old = |at: Instant| now.saturating_duration_since(at) >= limit;
            self.scheduled_at.is_none_or(old)
        };
        let due = !self.ready.is_empty() && since(PASS_EVERY);
        if !(due || self.changed && since(self.pass_cost * PASS_SHARE)) {
            return;
        }
        self.changed = false;
        self.scheduled_at = Some(now);
        self.refresh_reservations(now);
        let ready = std::mem::take(&mut self.ready);
        let mut keys: Vec<OrderKey> = Vec::with_capacity(ready.len());
        for id in ready {
            match self.order_key(id, now) {
                Some(key) => keys.push(key),
                // A queue that is not configured yet holds its steps back.
                None if self.has_waiting(id) => self.ready.push(id),
                None => self.unqueue(id),
            }
        }
        keys.sort_unstable();
        let mut depths: SmallVec<[u32; 8]> = SmallVec::from_elem(0, usize::from(u8::MAX) + 1);
        for key in keys {
            let depth = &mut depths[usize::from(key.priority)];
            *depth += 1;
            self.place_step(key, *depth, now);
            match self.has_waiting(key.step) {
                true => self.ready.push(key.step),
                false => self.unqueue(key.step),
            }
        }
    }

    fn unqueue(&mut self, id: StepId) {
        let job = self.jobs.get_mut(&id.job);
        if let Some(step) = job.and_then(|job| job.step_mut(id)) {
            step.queued = false;
        }
    }

    pub(crate) fn has_waiting(&self, id: StepId) -> bool {
        let job = self.jobs.get(&id.job).filter(|job| job.outcome.is_none());
        let step = job.and_then(|job| job.step(id));
        step.is_some_and(|step| step.waiting().next().is_some())
    }

    fn place_step(&mut self, key: OrderKey, depth: u32, now: Instant) {
        let in_reach = depth <= QUEUE_DEPTH;
        let id = key.step;
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (Some(step), Some(spec)) = (job.step(id), job.step_spec(id).cloned()) else {
            return;
        };
        let waiting: SmallVec<[u16; 16]> = step.waiting().collect();
        if spec.gang && step.has_placed() {
            return;
        }
        let wanted = waiting.len() as u32;
        let queue = job
            .spec
            .as_ref()
            .and_then(|spec| self.queues.get(&spec.queue));
        let advice = queue.and_then(|queue| queue.advice);
        let mut candidates = self.candidates(job, id, &spec, key.priority, advice.is_some(), now);
        let room: u32 = candidates
            .iter()
            .map(|c| c.fits)
            .fold(0, u32::saturating_add);
        if let Some(advice) = advice
            && in_reach
            && (room < wanted || job.step(id).is_some_and(|s| s.advice.tickets.is_empty()))
        {
            let need = AdviceNeed {
                spec: advice,
                wanted,
            };
            self.ask_advice(key, need, now);
        }
        if candidates.is_empty() || (spec.gang && room < wanted) {
            if in_reach && spec.gang {
                self.reserve(key, wanted, now);
            }
            return;
        }
        candidates.sort_by_key(|c| (c.failed, !c.near, c.left, c.key));
        if spec.same_rack || spec.gang {
            self.prefer_one_rack(&mut candidates, wanted);
        }
        let run = self
            .jobs
            .get(&id.job)
            .and_then(|job| job.step(id))
            .map(|s| s.last_run() + 1);
        let gang_run = run.filter(|_| spec.gang);
        let mut tasks = waiting.into_iter();
        for candidate in candidates {
            for _ in 0..candidate.fits {
                let Some(index) = tasks.next() else {
                    return;
                };
                self.place_task(
                    id,
                    index,
                    candidate.key,
                    spec.allocated_resources(),
                    gang_run,
                    now,
                );
            }
        }
    }

    fn place_task(
        &mut self,
        id: StepId,
        index: u16,
        key: WorkerKey,
        need: Resources,
        gang_run: Option<u32>,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(step) = job.step_mut(id) else {
            return;
        };
        let task = &mut step.tasks[usize::from(index)];
        task.run = gang_run.unwrap_or(task.run + 1);
        task.state = TaskState::Placed(key);
        let run = TaskRun {
            task: id.task(index),
            run: task.run,
        };
        job.pending_starts.push((key, run));
        let slot = Slot {
            need,
            phase: SlotPhase::Recording,
            known_since: None,
            percent: 0,
            moved_at: now,
            began_at: now,
        };
        self.workers[key].hold(run, slot);
        self.mark_dirty(id.job);
    }

    /// Returns the workers that can take tasks of a step now.
    fn candidates(
        &self,
        job: &Job,
        id: StepId,
        spec: &StepSpec,
        priority: u8,
        needs_ticket: bool,
        now: Instant,
    ) -> Vec<Candidate> {
        let Some(step) = job.step(id) else {
            return Vec::new();
        };
        let Some(service) = self.service_of(job) else {
            return Vec::new();
        };
        let need = spec.allocated_resources();
        let mut candidates = Vec::new();
        // With advice only the workers with a ticket count, which are few.
        let keys: SmallVec<[WorkerKey; 64]> = match needs_ticket {
            true => step.advice.valid_workers(now).collect(),
            false => self.workers.keys().collect(),
        };
        for key in keys {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let kept = |(by, step): (u8, StepId)| step != id && by <= priority;
            if worker.reserved_by.is_some_and(kept) {
                continue;
            }
            let mut fits = need.count_in(worker.free());
            if fits == 0 || worker.entry.service != service || !worker.takes_work(now) {
                continue;
            }
            if !has_label(&worker.entry.labels, spec.requires.as_ref()) {
                continue;
            }
            if worker.on_probation(now) {
                fits = fits.min(1);
            }
            if spec.max_per_worker > 0 {
                let here = worker
                    .slots
                    .keys()
                    .filter(|run| run.task.step == id)
                    .count() as u32;
                fits = fits.min(u32::from(spec.max_per_worker).saturating_sub(here));
            }
            if fits == 0 {
                continue;
            }
            let after = worker.free().saturating_sub(need);
            let left = after.dominant_share(worker.entry.capacity) * 1000.0;
            candidates.push(Candidate {
                key,
                fits,
                left: left as u32,
                near: spec.affinity.is_none() || spec.affinity == worker.rack,
                failed: step.tasks.iter().any(|task| task.avoid == Some(key)),
            });
        }
        candidates
    }

    /// Moves the workers of a rack that can take all tasks to the front, if there is one.
    fn prefer_one_rack(&self, candidates: &mut [Candidate], wanted: u32) {
        let mut racks: Vec<(Option<Arc<str>>, u32)> = Vec::new();
        for candidate in candidates.iter() {
            let rack = &self.workers[candidate.key].rack;
            match racks.iter_mut().find(|(name, _)| name == rack) {
                Some((_, room)) => *room = room.saturating_add(candidate.fits),
                None => racks.push((rack.clone(), candidate.fits)),
            }
        }
        let wide = racks.into_iter().filter(|(_, room)| *room >= wanted);
        if let Some((rack, _)) = wide.min_by_key(|(_, room)| *room) {
            candidates.sort_by_key(|c| self.workers[c.key].rack != rack);
        }
    }

    /// Returns the workers that could ever run a step, and its queue.
    pub(crate) fn eligible(&self, id: StepId, now: Instant) -> Option<(Arc<str>, Vec<WorkerKey>)> {
        let job = self.jobs.get(&id.job)?;
        let service = self.service_of(job)?;
        let spec = job.step_spec(id)?;
        let need = spec.allocated_resources();
        let workers = self.workers.iter().filter(|(_, worker)| {
            worker.entry.service == service
                && worker.listed
                && worker.reported
                && !worker.entry.draining
                && worker.suspect_until.is_none_or(|until| now >= until)
                && need.fits(worker.entry.capacity)
                && has_label(&worker.entry.labels, spec.requires.as_ref())
        });
        let keys = workers.map(|(key, _)| key).collect();
        Some((job.spec.as_ref()?.queue.clone(), keys))
    }

    fn service_of(&self, job: &Job) -> Option<Arc<str>> {
        let queue = self.queues.get(&job.spec.as_ref()?.queue)?;
        Some(queue.service.clone())
    }
}

fn has_label(labels: &[Arc<str>], wanted: Option<&Arc<str>>) -> bool {
    wanted.is_none_or(|wanted| labels.contains(wanted))
}
