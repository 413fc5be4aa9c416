//! Counts of workers and descriptions of waiting steps, for the owner's log and metrics.
//!
//! Everything here only reads the state. It answers why a step waits beside free workers: its place in the
//! order, its advice, its tickets, its reservation, or workers that accept no runs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::StepId;
use crate::capacity::StepDemand;
use crate::cell::Cell;
use crate::job::{Job, TaskState};
use crate::step_order::Timeliness;
use crate::worker::Worker;

/// Numbers of workers by the first reason for which they accept no runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerCensus {
    /// Workers that accept runs without restriction.
    pub accepting: usize,
    /// Workers that run one task at a time after a quarantine.
    pub on_probation: usize,
    /// Workers that are quarantined after failures.
    pub quarantined: usize,
    /// Workers that have not reported to this owner, or not answered its last call.
    pub unreported: usize,
    /// Workers whose lease has expired.
    pub lease_expired: usize,
    /// Workers that drain or that the registry no longer lists.
    pub leaving: usize,
    /// Free CPU of the workers that accept runs, in thousandths of a core.
    pub free_cpu_milli: u64,
}

/// Whether a step has an advice request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdviceWait {
    /// None is in flight.
    Idle,
    /// One waits for its answer.
    InFlight,
    /// The next one is delayed, since the last one failed or there was no worker to name.
    Delayed,
}

/// Description of a step that waits.
#[derive(Clone, Debug)]
pub struct StepWait {
    /// Step that waits.
    pub step: StepId,
    /// Queue of its job.
    pub queue: Arc<str>,
    /// Time since its occurrence began.
    pub age: Duration,
    /// Whether its job can still meet its objective, or is at least useful to its client.
    pub timeliness: &'static str,
    /// Position among the waiting steps of its priority, from 1.
    pub position: usize,
    /// Number of waiting tasks.
    pub waiting: usize,
    /// Number of placed tasks.
    pub placed: usize,
    /// CPU of each task in thousandths of a core.
    pub cpu_milli: u32,
    /// State of its advice request.
    pub advice: AdviceWait,
    /// Number of workers that the advice service denied.
    pub denied: usize,
    /// Number of workers that it allowed.
    pub allowed: usize,
    /// Number of these with a valid ticket.
    pub valid: usize,
    /// Number of tasks that fit now on the allowed workers.
    pub allowed_fits: u32,
    /// Number of tasks that fit now on those with a valid ticket.
    pub valid_fits: u32,
    /// Number of workers that are reserved for the step.
    pub reserved: usize,
    /// Number of tasks that have room on workers where the reservation of a gang keeps them out.
    pub kept_out: u32,
}

impl WorkerCensus {
    fn count(&mut self, worker: &Worker, now: Instant) {
        let is_quarantined = worker.quarantined_until.is_some_and(|until| now < until);
        let count = if !worker.listed || worker.entry.draining {
            &mut self.leaving
        } else if !worker.reported {
            &mut self.unreported
        } else if now >= worker.lease_end {
            &mut self.lease_expired
        } else if is_quarantined {
            &mut self.quarantined
        } else {
            self.free_cpu_milli += u64::from(worker.free().cpu_milli);
            match worker.is_quarantined_or_on_probation(now) {
                true => &mut self.on_probation,
                false => &mut self.accepting,
            }
        };
        *count += 1;
    }
}

impl Cell {
    /// Counts the workers by whether they accept runs. Looks at every worker.
    pub fn worker_census(&self, now: Instant) -> WorkerCensus {
        let mut census = WorkerCensus::default();
        for worker in self.workers.values() {
            census.count(worker, now);
        }
        census
    }

    /// Describes at most `limit` waiting steps that are no longer on time, the longest waiting first. Goes through
    /// all waiting steps, but only looks at those that it describes.
    pub fn longest_waits(&self, limit: usize, now: Instant) -> Vec<StepWait> {
        let mut positions = [0usize; u8::MAX as usize + 1];
        let mut late = Vec::new();
        for (key, step) in self.ready_steps.iter() {
            let position = &mut positions[usize::from(key.priority)];
            *position += 1;
            if key.rank.timeliness != Timeliness::OnTime {
                late.push((step.runnable_since, *position, key));
            }
        }
        late.sort_by_key(|(runnable_since, ..)| *runnable_since);
        late.truncate(limit);
        let waits = late.into_iter().map(|(_, position, key)| (key, position));
        waits
            .filter_map(|(key, position)| {
                self.step_wait(key.step, key.rank.timeliness, position, now)
            })
            .collect()
    }

    fn step_wait(
        &self,
        id: StepId,
        timeliness: Timeliness,
        position: usize,
        now: Instant,
    ) -> Option<StepWait> {
        let job = self.jobs.get(&id.job)?;
        let (step, demand) = (job.step(id)?, self.step_demand(id)?);
        let occurrence = job.occurrences.iter().find(|o| o.number == id.occurrence)?;
        let fits_on = |key| {
            let worker = self.workers.get(key);
            worker.map_or(0, |worker| worker.placeable_tasks(&demand, now))
        };
        let ticket_end = self.placement_ticket_end(now);
        let total = |sum: u32, fits: u32| sum.saturating_add(fits);
        let tickets = step.advice.tickets.iter();
        let reservation = self.reservations.iter().find(|r| r.holder.step == id);
        let is_placed = |state| matches!(state, TaskState::Placed(_));
        Some(StepWait {
            step: id,
            queue: job.spec.as_ref()?.queue.clone(),
            age: now.saturating_duration_since(occurrence.runnable_since),
            timeliness: match timeliness {
                Timeliness::OnTime => "on_time",
                Timeliness::Late => "late",
                Timeliness::Overdue => "overdue",
            },
            position,
            waiting: step.waiting_tasks().count(),
            placed: step.tasks.iter().filter(|t| is_placed(t.state)).count(),
            cpu_milli: demand.need.cpu_milli,
            advice: step.advice.wait(now),
            denied: step.advice.denied.len(),
            allowed: step.advice.tickets.len(),
            valid: step.advice.valid_workers(ticket_end).count(),
            allowed_fits: tickets.map(|t| fits_on(t.worker)).fold(0, total),
            valid_fits: step
                .advice
                .valid_workers(ticket_end)
                .map(fits_on)
                .fold(0, total),
            reserved: reservation.map_or(0, |r| r.workers.len()),
            kept_out: self.kept_out_tasks(job, &demand, now),
        })
    }

    /// Returns how many tasks of a step fit on workers on which only reservations keep them from being placed.
    fn kept_out_tasks(&self, job: &Job, demand: &StepDemand, now: Instant) -> u32 {
        let Some(eligibility) = self.eligibility(job, demand.step) else {
            return 0;
        };
        let reserved = self.reservations.iter().flat_map(|r| &r.workers);
        let workers = reserved.filter_map(|reserved| self.workers.get(reserved.key));
        let closed = workers.filter(|worker| {
            let is_open = worker.accepts_runs(now) && eligibility.admits(worker, now);
            is_open && worker.placeable_tasks(demand, now) == 0
        });
        let fits = closed.map(|worker| demand.need.max_copies_in(worker.free()));
        fits.fold(0, u32::saturating_add)
    }
}
