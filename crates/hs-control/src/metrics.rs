//! Metrics of a process.

use std::time::Duration;

use hs_cell::{EvidenceCounts, RunEnd, StartRefusal};
use hs_metrics::MetricRegistry;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::access::Access;
use crate::control::SubmitReply;
use crate::traffic::TrafficCounts;

/// Bucket bounds of the histograms in seconds, dense around the 20 ms of an idle cell and the 1.2 s that
/// urgent work may wait.
const HISTOGRAM_BOUNDS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.2, 3.0, 10.0, 60.0,
];

/// Instruments of a process. Every label has a fixed set of values; there is none for jobs or queues.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    registry: MetricRegistry,
    submissions: Counter<u64>,
    refused_calls: Counter<u64>,
    starts: Counter<u64>,
    start_refusals: Counter<u64>,
    run_ends: Counter<u64>,
    takeovers: Counter<u64>,
    crashed_runs: Counter<u64>,
    tasks_given_up: Counter<u64>,
    turned_away: Counter<u64>,
    commits: Histogram<f64>,
    refused_writes: Counter<u64>,
    start_waits: Histogram<f64>,
    owner_bytes: Counter<u64>,
    unfinished_jobs: Gauge<u64>,
    allocated_runs: Gauge<u64>,
    waiting_steps: Gauge<u64>,
    reserved_workers: Gauge<u64>,
    open_starts: Gauge<u64>,
    max_open_starts: Gauge<u64>,
    waiting_orders: Gauge<u64>,
    workers_by_speed: Gauge<u64>,
    interfering_pairs: Gauge<u64>,
}

impl ControlMetrics {
    /// Creates the instruments in a registry.
    pub fn new(registry: MetricRegistry) -> Self {
        let meter = registry.meter();
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let histogram = |name: &'static str, text: &'static str| {
            let builder = meter.f64_histogram(name).with_description(text);
            builder.with_boundaries(HISTOGRAM_BOUNDS_S.to_vec()).build()
        };
        Self {
            submissions: counter("hornbeamshunt_submissions", "Submissions by result"),
            refused_calls: counter(
                "hornbeamshunt_refused_calls",
                "Calls refused because of the configuration, by reason",
            ),
            starts: counter("hornbeamshunt_starts", "Starts sent to workers"),
            start_refusals: counter("hornbeamshunt_start_refusals", "Starts refused by reason"),
            run_ends: counter("hornbeamshunt_run_ends", "Ends of runs by how"),
            takeovers: counter(
                "hornbeamshunt_takeovers",
                "Times that this process took the cell",
            ),
            crashed_runs: counter(
                "hornbeamshunt_crashed_runs",
                "Runs that ended with a crash of their worker",
            ),
            tasks_given_up: counter(
                "hornbeamshunt_tasks_given_up",
                "Tasks given up after crashes of workers",
            ),
            owner_bytes: counter(
                "hornbeamshunt_owner_bytes",
                "Bytes that the owner sends and receives by kind",
            ),
            turned_away: counter(
                "hornbeamshunt_turned_away",
                "Requests and connections turned away by reason",
            ),
            refused_writes: counter(
                "hornbeamshunt_refused_writes",
                "Transactions of the owner that the store never accepts",
            ),
            commits: histogram(
                "hornbeamshunt_commit_seconds",
                "Duration of the owner's writes",
            ),
            start_waits: histogram(
                "hornbeamshunt_start_wait_seconds",
                "Time from the owner's knowledge of a job to its first start",
            ),
            unfinished_jobs: gauge("hornbeamshunt_unfinished_jobs", "Jobs that have not ended"),
            allocated_runs: gauge("hornbeamshunt_runs", "Runs that hold room on workers"),
            waiting_steps: gauge("hornbeamshunt_waiting_steps", "Steps with waiting tasks"),
            reserved_workers: gauge(
                "hornbeamshunt_reserved_workers",
                "Workers that waiting gangs have reserved",
            ),
            open_starts: gauge(
                "hornbeamshunt_open_starts",
                "Starts that are given out and not answered",
            ),
            max_open_starts: gauge(
                "hornbeamshunt_max_open_starts",
                "Starts that may be given out and not answered",
            ),
            waiting_orders: gauge(
                "hornbeamshunt_waiting_orders",
                "Starts and stops that wait for their turn at a worker",
            ),
            workers_by_speed: gauge("hornbeamshunt_workers_by_speed", "Workers by speed class"),
            interfering_pairs: gauge(
                "hornbeamshunt_interfering_pairs",
                "Pairs of kinds that are known to interfere",
            ),
            registry,
        }
    }

    pub(crate) fn record_submission(&self, reply: SubmitReply) {
        let result = match reply {
            SubmitReply::Accepted => "accepted",
            SubmitReply::Refused => "refused",
            SubmitReply::Unknown => "unknown",
            SubmitReply::TooLarge => "too_large",
        };
        self.submissions.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_refused_call(&self, access: Access<'_>) {
        if let Some(reason) = access.refusal_reason() {
            self.refused_calls
                .add(1, &[KeyValue::new("reason", reason)]);
        }
    }

    pub(crate) fn record_start(&self) {
        self.starts.add(1, &[]);
    }

    pub(crate) fn record_start_wait(&self, wait: Duration) {
        self.start_waits.record(wait.as_secs_f64(), &[]);
    }

    pub(crate) fn record_start_refusal(&self, refusal: StartRefusal) {
        let reason = match refusal {
            StartRefusal::Old => "old",
            StartRefusal::Late => "late",
            StartRefusal::Room => "room",
            StartRefusal::Ticket => "ticket",
            StartRefusal::Unhealthy => "unhealthy",
            StartRefusal::OtherLife => "other_life",
            StartRefusal::Invalid => "invalid",
        };
        self.start_refusals
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_run_end(&self, end: RunEnd) {
        let how = match end {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Stopped => "stopped",
            RunEnd::Lapsed => "lapsed",
            RunEnd::Broken => "broken",
            RunEnd::Alone => "alone",
        };
        self.run_ends.add(1, &[KeyValue::new("how", how)]);
    }

    pub(crate) fn record_takeover(&self) {
        self.takeovers.add(1, &[]);
    }

    /// Counts a run that ended with its worker, and whether nothing else ran there.
    pub(crate) fn record_worker_crash(&self, alone: bool) {
        self.crashed_runs.add(1, &[KeyValue::new("alone", alone)]);
    }

    pub(crate) fn record_task_given_up(&self) {
        self.tasks_given_up.add(1, &[]);
    }

    /// Counts requests and connections that a listener has turned away, by a reason of a fixed set.
    pub fn record_turned_away(&self, reason: &'static str, count: u64) {
        self.turned_away
            .add(count, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_commit(&self, duration: Duration) {
        self.commits.record(duration.as_secs_f64(), &[]);
    }

    pub(crate) fn record_refused_write(&self) {
        self.refused_writes.add(1, &[]);
    }

    pub(crate) fn record_traffic(&self, traffic: &TrafficCounts) {
        for (kind, bytes) in traffic.0 {
            let kind = KeyValue::new("kind", kind.name());
            self.owner_bytes.add(bytes, &[kind]);
        }
    }

    pub(crate) fn record_evidence(&self, counts: EvidenceCounts) {
        let to_u64 = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        let classes = [
            ("fast", counts.fast),
            ("usual", counts.usual),
            ("slow", counts.slow),
            ("unknown", counts.unknown),
        ];
        for (class, count) in classes {
            self.workers_by_speed
                .record(to_u64(count), &[KeyValue::new("class", class)]);
        }
        self.interfering_pairs
            .record(to_u64(counts.confident_pairs), &[]);
    }

    pub(crate) fn record_cell_size(
        &self,
        unfinished_jobs: usize,
        allocated_runs: usize,
        waiting_steps: usize,
    ) {
        let to_u64 = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        self.unfinished_jobs.record(to_u64(unfinished_jobs), &[]);
        self.allocated_runs.record(to_u64(allocated_runs), &[]);
        self.waiting_steps.record(to_u64(waiting_steps), &[]);
    }

    /// Records the open starts, how many there may be, and the orders that wait on the links.
    pub(crate) fn record_orders(
        &self,
        open_starts: usize,
        max_open_starts: usize,
        waiting_orders: usize,
    ) {
        let to_u64 = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        self.open_starts.record(to_u64(open_starts), &[]);
        self.max_open_starts.record(to_u64(max_open_starts), &[]);
        self.waiting_orders.record(to_u64(waiting_orders), &[]);
    }

    pub(crate) fn record_reserved_workers(&self, count: usize) {
        self.reserved_workers
            .record(u64::try_from(count).unwrap_or(u64::MAX), &[]);
    }

    /// Returns all metrics in the text format of the metrics endpoint.
    pub fn render(&self) -> Vec<u8> {
        self.registry.render()
    }
}
