//! Orders and reports between the cell and the workers, and replies of the advice service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{
    AdviceReply, CellEffect, ReportScope, RunEnd, RunReport, StartOrder, StartRefusal, StartTaker,
    TaskId, TaskRun, WorkerKey, WorkerReport,
};
use hs_wire::Resources;

use super::{DelayedStart, DueCrash, LEASE, World, worker_number};
use crate::fixture::cpu;

/// Maximum number of ends in a report. It is small, so that reports lack some.
const MAX_LISTED_ENDS: usize = 2;

impl World {
    /// Lets a worker process a start, and checks the invariants of the oracle if it starts the run. `limit` is the
    /// capacity over which the start must not bring the worker.
    pub(super) fn accept_start(
        &mut self,
        number: usize,
        fence: u64,
        run: TaskRun,
        lease_end: Instant,
        limit: u32,
    ) -> Result<(), StartRefusal> {
        let worker = &mut self.workers[number];
        if fence < worker.fence {
            return Err(StartRefusal::Old);
        }
        worker.fence = fence;
        worker.lease_end = worker.lease_end.max(Some(lease_end));
        if worker.running.contains_key(&run) {
            return Ok(());
        }
        if worker
            .last_ended_runs
            .get(&run.task)
            .is_some_and(|last_ended| run.run <= *last_ended)
        {
            return Err(StartRefusal::Old);
        }
        let need = self.need(run.task);
        let worker = &mut self.workers[number];
        let used = worker
            .running
            .values()
            .fold(need, |sum, n| sum.saturating_add(*n));
        assert!(
            used.fits(cpu(limit)),
            "worker w{number} is over its capacity by {run:?}"
        );
        worker.running.insert(run, need);
        self.start_count += 1;
        self.check_start(run);
        self.check_cap(run.task);
        if !self.deadly.contains(&run.task) {
            return Ok(());
        }
        self.check_deadly_start(run);
        match self.crash_delay {
            Duration::ZERO => self.crash_under_task(number),
            delay => self.due_crashes.push(DueCrash {
                at: self.now + delay,
                worker: number,
                run,
            }),
        }
        Ok(())
    }

    pub(super) fn need(&self, task: TaskId) -> Resources {
        let (spec, _) = &self.store.jobs[&task.job()];
        spec.steps[usize::from(task.step.step)].allocated_resources()
    }

    /// Sends a lease renewal to a worker, and passes its report to the cell.
    pub fn renew_lease(&mut self, number: usize) {
        let Some(key) = self.keys[number] else {
            return;
        };
        if self.workers[number].unlisted.is_some() && self.workers[number].reachable {
            return self.answer_for_other_incarnation(number, key);
        }
        let now = self.now;
        let fence = self.worker_fence(number);
        let renews = self.last_renewal_answered[number];
        if renews {
            let margin = LEASE.mul_f64(0.025);
            self.cell.lease_renewed(key, now + LEASE + margin, now);
            self.requested_lease_ends[number] = Some(now + LEASE);
        }
        let worker = &mut self.workers[number];
        if !worker.up || !worker.reachable {
            self.last_renewal_answered[number] = false;
            self.cell.worker_unreachable(key);
            return;
        }
        worker.fence = worker.fence.max(fence);
        if renews {
            worker.lease_end = worker.lease_end.max(Some(now + LEASE));
        }
        self.last_renewal_answered[number] = true;
        let acknowledged = self.acks.get(&key).copied().unwrap_or(0);
        let (taken, kept): (Vec<_>, Vec<_>) = worker
            .ended
            .drain(..)
            .partition(|end| end.number <= acknowledged);
        worker.ended = kept;
        // Healthy runs make progress between reports.
        let percent = ((now - self.began).as_millis() / 40 % 100) as u8;
        let report = WorkerReport {
            running: worker
                .running
                .keys()
                .map(|run| RunReport {
                    run: *run,
                    checkpoint: String::new(),
                    percent: worker.percents.get(run).copied().unwrap_or(percent),
                })
                .collect(),
            ended: worker.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            scope: match worker.ended.len() > MAX_LISTED_ENDS {
                true => ReportScope::MoreEnds,
                false => ReportScope::Complete,
            },
        };
        for end in taken {
            match end.end {
                RunEnd::Done => {
                    self.acknowledged_successes.insert(end.run.task);
                }
                RunEnd::Failed => *self.acknowledged_failures.entry(end.run.task).or_default() += 1,
                _ => {}
            }
        }
        if !std::mem::replace(&mut self.workers[number].has_answered, true) {
            let now_ms = self.wall_clock_ms();
            self.cell.worker_answered(key, now, now_ms);
        }
        self.cell.worker_reported(key, report, now, now);
        // The next report has to be requested later than this one.
        self.pass_time(Duration::from_millis(1));
    }

    pub(super) fn execute_effects(&mut self) {
        for effect in self.cell.take_effects() {
            match effect {
                CellEffect::Start(key, order) => self.start(key, &order),
                CellEffect::Stop(key, run) => self.stops.push((key, run)),
                CellEffect::Advise(request) => self.advice.push(request),
                CellEffect::Acknowledge(key, number) => {
                    let cursor = self.acks.entry(key).or_default();
                    *cursor = number.max(*cursor);
                }
                CellEffect::Report(event) => self.crash_events.push(event),
                CellEffect::Release(_) => {}
                CellEffect::Forget(key) => self.forget_worker(key),
            }
        }
    }

    pub(super) fn forget_worker(&mut self, key: WorkerKey) {
        for known in &mut self.keys {
            if *known == Some(key) {
                *known = None;
            }
        }
    }

    pub(super) fn start(&mut self, key: WorkerKey, order: &StartOrder) {
        let Some(number) = self.keys.iter().position(|known| *known == Some(key)) else {
            return;
        };
        let run = order.run;
        let Some(lease_end) = self.requested_lease_ends[number].filter(|end| *end > self.now)
        else {
            self.cell
                .start_refused(key, run, StartRefusal::Unhealthy, self.now);
            return;
        };
        if !self.workers[number].up || !self.workers[number].reachable {
            self.cell
                .start_unanswered(key, run, StartTaker::Reported, self.now);
            return;
        }
        if let Some(unlisted) = self.workers[number].unlisted {
            return self.start_on_unlisted(number, key, run, unlisted);
        }
        if self.random_below(100) < self.delayed_start_percent {
            let delay = Duration::from_millis(2000 + self.random_below(10_000));
            self.delayed_starts.push(DelayedStart {
                at: self.now + delay,
                worker: number,
                fence: self.worker_fence(number),
                started_ms: self.workers[number].started_ms,
                lease_end,
                run,
                capacity: self.workers[number].capacity,
            });
            self.fence_raises[number] += 1;
            self.cell
                .start_unanswered(key, run, StartTaker::Any, self.now);
            return;
        }
        let limit = self.workers[number].capacity;
        match self.accept_start(number, self.worker_fence(number), run, lease_end, limit) {
            // The worker has crashed before it could answer.
            Ok(()) if !self.workers[number].up => {
                self.cell
                    .start_unanswered(key, run, StartTaker::Reported, self.now)
            }
            Ok(()) => self.cell.start_confirmed(key, run, self.now),
            Err(why) => self.cell.start_refused(key, run, why, self.now),
        }
    }

    pub(super) fn retry_stops(&mut self) {
        for (key, run) in std::mem::take(&mut self.stops) {
            let Some(number) = self.keys.iter().position(|known| *known == Some(key)) else {
                continue;
            };
            let worker = &mut self.workers[number];
            if !worker.up || !worker.reachable {
                self.stops.push((key, run));
                continue;
            }
            worker.end(run, RunEnd::Stopped);
            let last_ended = worker.last_ended_runs.entry(run.task).or_default();
            *last_ended = run.run.max(*last_ended);
            self.cell.stop_confirmed(key, run, self.now);
        }
    }

    /// Answers the pending advice requests.
    pub fn answer_advice(&mut self) {
        for request in std::mem::take(&mut self.advice) {
            let keys = request.workers.iter();
            let named: Vec<Arc<str>> = keys.filter_map(|key| self.cell.worker_id(*key)).collect();
            let allowed = named.iter().filter_map(|id| {
                let number = worker_number(id)?;
                Self::is_allowed(number).then(|| (id.clone(), "ticket".into()))
            });
            let reply = AdviceReply {
                allowed: allowed.collect(),
                ticket_validity: Duration::from_secs(2),
            };
            self.cell
                .advice_settled(request.step, &named, Some(reply), true, self.now);
        }
    }

    /// Returns the advice requests that are not answered yet.
    pub fn advice_requests(&self) -> &[hs_cell::AdviceRequest] {
        &self.advice
    }

    /// Returns whether the advice service allows a worker: those with even numbers.
    pub fn is_allowed(number: usize) -> bool {
        number.is_multiple_of(2)
    }

    /// Returns whether a queue uses advice.
    pub fn is_advised(&self, queue: &str) -> bool {
        let mut queues = self.queues.iter();
        queues.any(|known| *known.name == *queue && known.advice.is_some())
    }
}
