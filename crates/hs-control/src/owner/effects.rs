//! Execution of the effects that the cell asks for.

use std::sync::Arc;

use hs_cell::{CellEffect, CrashEvent, ReleasedRun, StartOrder, StartRefusal, TaskRun, WorkerKey};
use hs_event::EventCode;

use super::OwnerTask;
use crate::port::Platform;
use crate::traffic::TrafficKind;

impl<P: Platform> OwnerTask<P> {
    pub(super) fn apply_effect(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Start(key, order) => self.send_start(key, order),
            CellEffect::Stop(key, run) => self.send_stop(key, run),
            CellEffect::Advise(request) => {
                self.load.advice_requests += 1;
                EventCode::AdviceRequested.log(format_args!(
                    "step={} named={}",
                    request.step,
                    request.workers.len()
                ));
                let ids = request.workers.iter();
                let workers: Vec<Arc<str>> =
                    ids.filter_map(|key| self.cell.worker_id(*key)).collect();
                let bytes = workers.iter().map(|id| id.len()).sum();
                self.status.traffic.record(TrafficKind::Advice, bytes);
                self.advice_dispatcher.enqueue(request, workers);
            }
            CellEffect::Acknowledge(key, number) => {
                if let Some(link) = self.links.get(&key) {
                    link.acknowledge(number);
                }
            }
            CellEffect::Forget(key) => {
                self.links.remove(&key);
            }
            CellEffect::Report(event) => self.report_crash_event(event),
            CellEffect::Release(released) => self.report_release(&released),
        }
    }

    fn send_start(&mut self, key: WorkerKey, order: StartOrder) {
        let run = order.run;
        let worker = self.cell.worker_id(key).unwrap_or_default();
        let now = self.platform.now();
        let Some(link) = self.links.get(&key) else {
            log::warn!("no link to worker {worker} for the start of {}", run.task);
            self.cell.start_refused(key, run, StartRefusal::Late, now);
            return;
        };
        self.status.traffic.record_start(&order);
        link.start(order, now);
        let fields = format_args!(" worker={worker}");
        self.run_lines.log(EventCode::StartSent, run, now, fields);
        self.metrics.record_start();
        self.load.starts += 1;
        if let Some(wait) = self.cell.queue_wait(run.task.job(), now) {
            self.metrics.record_start_wait(wait);
        }
    }

    fn send_stop(&mut self, key: WorkerKey, run: TaskRun) {
        let now = self.platform.now();
        let Some(link) = self.links.get(&key) else {
            let worker = self.cell.worker_id(key).unwrap_or_default();
            let fields = format_args!(" worker={worker}");
            self.run_lines
                .log(EventCode::StopDeferred, run, now, fields);
            return;
        };
        if link.stop(run, now) {
            self.load.stops += 1;
            self.run_lines
                .log(EventCode::StopSent, run, now, format_args!(""));
        }
    }

    fn report_release(&self, released: &ReleasedRun) {
        let now = self.platform.now();
        let renewed_ms = released
            .renewed_at
            .map(|at| now.saturating_duration_since(at).as_millis());
        let fields = format_args!(
            " worker={} born_ms={} renewed_ms_ago={renewed_ms:?} counted_by={:?}",
            released.worker, released.started_ms, released.counted_by,
        );
        self.run_lines
            .log(EventCode::RunReleased, released.run, now, fields);
    }

    fn report_crash_event(&self, event: CrashEvent) {
        match event {
            CrashEvent::WorkerCrashed { worker, run, alone } => {
                self.metrics.record_worker_crash(alone);
                EventCode::WorkerCrashed.log(format_args!(
                    "task={} run={} worker={worker} alone={alone}",
                    run.task, run.run
                ));
            }
            CrashEvent::TaskSuspected { task, crashes } => {
                EventCode::TaskSuspected.log(format_args!("task={task} crashes={crashes}"));
            }
            CrashEvent::TaskCleared { task } => {
                EventCode::TaskCleared.log(format_args!("task={task}"));
            }
            CrashEvent::TaskGivenUp {
                task,
                crashes,
                alone,
            } => {
                self.metrics.record_task_given_up();
                EventCode::TaskGivenUp
                    .log(format_args!("task={task} crashes={crashes} alone={alone}"));
            }
        }
    }
}
