//! Metrics of an entry process.

use std::time::Duration;

use hs_metrics::MetricRegistry;
use hs_wire::{Outcome, WorkClass};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// Bucket bounds of the wait histogram, in seconds. One of them is 1.2 s, the time that urgent work
/// may wait.
const WAIT_BUCKETS_SECONDS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.2, 5.0, 30.0, 300.0,
];

/// Metric instruments of an entry process. Each label has a fixed set of values; no label names a
/// customer or a task.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    registry: MetricRegistry,
    replies: Counter<u64>,
    waits: Histogram<f64>,
    forwards: Counter<u64>,
    retries: Counter<u64>,
    store_writes: Counter<u64>,
}

impl NodeMetrics {
    /// Creates the instruments and their registry.
    ///
    /// # Errors
    ///
    /// Returns the error of the metrics library if the exporter cannot be registered.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = MetricRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            replies: meter
                .u64_counter("hornbeamshunt_replies")
                .with_description("Replies to callers by class and outcome")
                .build(),
            waits: meter
                .f64_histogram("hornbeamshunt_wait_seconds")
                .with_description("Time from arrival to start by class")
                .with_boundaries(WAIT_BUCKETS_SECONDS.to_vec())
                .build(),
            forwards: meter
                .u64_counter("hornbeamshunt_forwards")
                .with_description("Reservations asked of peers by result")
                .build(),
            retries: meter
                .u64_counter("hornbeamshunt_retries")
                .with_description("Starts that were repeated on another worker")
                .build(),
            store_writes: meter
                .u64_counter("hornbeamshunt_store_writes")
                .with_description("Ledger writes to the store by result")
                .build(),
            registry,
        })
    }

    /// Counts a reply to a caller.
    pub fn record_reply(&self, class: WorkClass, outcome: Outcome) {
        let labels = [
            KeyValue::new("class", class.name()),
            KeyValue::new("outcome", outcome.name()),
        ];
        self.replies.add(1, &labels);
    }

    /// Records the time that work waited from its arrival to its start.
    pub fn record_wait(&self, class: WorkClass, wait: Duration) {
        self.waits
            .record(wait.as_secs_f64(), &[KeyValue::new("class", class.name())]);
    }

    /// Counts a reservation that was requested from a peer.
    pub fn record_forward(&self, is_granted: bool) {
        let result = if is_granted { "granted" } else { "refused" };
        self.forwards.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a start that was repeated on another worker.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a write of the ledger to the store; `result` becomes a label.
    pub fn record_store_write(&self, result: &'static str) {
        self.store_writes.add(1, &[KeyValue::new("result", result)]);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.registry.render()
    }
}
