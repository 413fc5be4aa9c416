//! Log lines and gauges that describe the cell and the load of its owner.

use std::time::Instant;

use hs_event::{EventCode, LogText};

use super::{MAX_LOGGED_RESERVATIONS, MAX_LOGGED_WAITS, MAX_LOGGED_WORKERS, OwnerTask};
use crate::link::LinkHandle;
use crate::port::Platform;

impl<P: Platform> OwnerTask<P> {
    /// Publishes the size of the cell and the load of this task, and describes the steps that wait longest.
    pub(super) fn report_load(&mut self, now: Instant) {
        let cell = &self.cell;
        let (unfinished_jobs, allocated_runs) = (cell.unfinished_jobs(), cell.allocated_runs());
        let waiting_steps = cell.waiting_steps();
        self.metrics
            .record_cell_size(unfinished_jobs, allocated_runs, waiting_steps);
        let (open_starts, max_open_starts) = (cell.open_starts(), cell.max_open_starts());
        let oldest_start = cell.oldest_open_start(now).unwrap_or_default();
        let waiting_orders = self.links.values().map(LinkHandle::waiting_orders);
        let waiting_orders: usize = waiting_orders.sum();
        self.metrics
            .record_orders(open_starts, max_open_starts, waiting_orders);
        let traffic = self.status.traffic.take();
        self.metrics.record_traffic(&traffic);
        EventCode::OwnerLoad.log(format_args!(
            "jobs={unfinished_jobs} runs={allocated_runs} waiting_steps={waiting_steps} \
             open_starts={open_starts} max_open_starts={max_open_starts} oldest_start_ms={} \
             waiting_orders={waiting_orders} mean_lag_ms={} members={} {}{traffic}",
            oldest_start.as_millis(),
            self.lag.mean_lag().as_millis(),
            self.status.members().len(),
            self.load.take(),
        ));
        let census = self.cell.worker_census(now);
        EventCode::WorkerCensus.log(format_args!(
            "accepting={} probation={} quarantined={} unreported={} lease_expired={} leaving={} \
             free_cpu_milli={}",
            census.accepting,
            census.on_probation,
            census.quarantined,
            census.unreported,
            census.lease_expired,
            census.leaving,
            census.free_cpu_milli,
        ));
        self.report_evidence();
        self.report_reservations(now);
        for wait in self.cell.longest_waits(MAX_LOGGED_WAITS, now) {
            EventCode::StepWaiting.log(format_args!(
                "step={} queue={} age_ms={} timeliness={} position={} waiting={} placed={} \
                 cpu_milli={} advice={:?} denied={} allowed={} valid={} allowed_fits={} \
                 valid_fits={} reserved={} kept_out={}",
                wait.step,
                wait.queue,
                wait.age.as_millis(),
                wait.timeliness,
                wait.position,
                wait.waiting,
                wait.placed,
                wait.cpu_milli,
                wait.advice,
                wait.denied,
                wait.allowed,
                wait.valid,
                wait.allowed_fits,
                wait.valid_fits,
                wait.reserved,
                wait.kept_out,
            ));
        }
    }

    /// Publishes which gangs hold which workers.
    fn report_reservations(&mut self, now: Instant) {
        self.metrics
            .record_reserved_workers(self.cell.reserved_workers());
        let states = self
            .cell
            .reservation_states(MAX_LOGGED_RESERVATIONS, MAX_LOGGED_WORKERS, now);
        for state in states {
            EventCode::WorkersReserved.log(format_args!(
                "step={} count={} workers={} age_ms={} start_in_ms={}",
                state.step,
                state.worker_count,
                LogText(&state.workers),
                state.age.as_millis(),
                state.start_in.as_millis(),
            ));
        }
    }

    /// Publishes what is known about speeds and interference, if it is observed.
    fn report_evidence(&mut self) {
        let Some(counts) = self.cell.evidence_counts() else {
            return;
        };
        self.metrics.record_evidence(counts);
        EventCode::EvidenceCensus.log(format_args!(
            "fast={} usual={} slow={} unknown={} pairs={} confident_pairs={}",
            counts.fast,
            counts.usual,
            counts.slow,
            counts.unknown,
            counts.pairs,
            counts.confident_pairs,
        ));
        for event in self.cell.take_interference_events() {
            let code = match event.is_confident {
                true => EventCode::InterferenceFound,
                false => EventCode::InterferenceEnded,
            };
            code.log(format_args!(
                "kind={:?} beside={:?} slow_down={:.2}",
                event.kind, event.beside, event.slow_down
            ));
        }
    }
}
