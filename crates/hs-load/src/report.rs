//! Results of a load run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Scenario;

/// Result of a load run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Arrival pattern that was sent.
    pub scenario: Scenario,
    /// Seed of the schedule.
    pub seed: u64,
    /// Factor that multiplied the length of the scenario.
    pub scale: f64,
    /// Prefix of all keys of the run, which identifies its work in other logs.
    pub key_prefix: String,
    /// Number of scheduled submissions, each of which was attempted.
    pub submissions: u64,
    /// Time from the first intended send to the last outcome, in milliseconds.
    pub elapsed_ms: u64,
    /// Longest delay of a send past its intended time, in microseconds. A long delay means that the
    /// load tool or `max_in_flight` was the bottleneck.
    pub latest_send_us: u64,
    /// Replies that carried another key or another submission's results, or the wrong number of
    /// results.
    pub wrong_answers: u64,
    /// Submissions whose outcome is unknown: no reply, an invalid reply, or durable work that was
    /// lost or did not end in time.
    pub unanswered: u64,
    /// Descriptions of the first wrong answers.
    pub examples: Vec<String>,
    /// One row for each class, then one for each class, customer and phase.
    pub rows: Vec<LoadRow>,
}

/// Result for the submissions of one class, or of one class, customer and phase.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRow {
    /// Name of the class.
    pub class: String,
    /// Name of the customer; absent in the row of a whole class.
    pub customer: Option<String>,
    /// Name of the phase of the intended send times; absent in the row of a whole class.
    pub phase: Option<String>,
    /// Number of submissions.
    pub count: u64,
    /// Number of submissions by outcome. The names are those of `Outcome`, with the reason if there
    /// is one, as in `not_run.queue_full`, and also `no_reply`, `not_sent`, `unreadable`,
    /// `wrong_answer` and `lost` (accepted, but not found by a later query).
    pub outcomes: BTreeMap<String, u64>,
    /// Number of retries of durable work that got no usable reply.
    pub resent: u64,
    /// Waiting time of work that ran: the time from the intended send time to the send, plus the
    /// time from the arrival at the entry process to the start, which the process reports in whole
    /// milliseconds.
    pub wait: TimeSummary,
    /// Time from the intended send time to the outcome, for all submissions. For work that is
    /// polled it is up to 400 ms too long, the longest delay between two queries.
    pub total: TimeSummary,
    /// Total time of work that ran, minus the run time that its payload requests.
    pub added: TimeSummary,
}

/// Summary of a distribution of times, in microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimeSummary {
    /// Number of samples.
    pub count: u64,
    /// Mean.
    pub mean_us: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl LoadReport {
    /// Returns the row of a whole class, over all customers and phases.
    pub fn class_row(&self, class: &str) -> Option<&LoadRow> {
        let mut rows = self.rows.iter();
        rows.find(|row| row.class == class && row.customer.is_none())
    }

    /// Returns the row of a class, customer and phase.
    pub fn row(&self, class: &str, customer: &str, phase: &str) -> Option<&LoadRow> {
        let mut rows = self.rows.iter();
        rows.find(|row| {
            row.class == class
                && row.customer.as_deref() == Some(customer)
                && row.phase.as_deref() == Some(phase)
        })
    }
}
