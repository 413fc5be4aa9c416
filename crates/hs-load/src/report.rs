//! Results of a run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Scenario;

/// Result of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// What was sent.
    pub scenario: Scenario,
    /// Seed of the schedule.
    pub seed: u64,
    /// Factor on the length.
    pub scale: f64,
    /// Prefix of all keys of the run, by which its work can be found in other logs.
    pub key_prefix: String,
    /// Submissions of the schedule, all of which were sent.
    pub submissions: u64,
    /// Time from the first intended send to the last outcome, in milliseconds.
    pub elapsed_ms: u64,
    /// Longest time that a submission was sent after its intended time, in microseconds. If it is
    /// long, the load tool or `max_in_flight` was the bottleneck.
    pub latest_send_us: u64,
    /// Answers that carried another key or another caller's result.
    pub wrong_answers: u64,
    /// Submissions whose outcome never became known: no reply, an unreadable one, or durable work
    /// that did not end in time.
    pub unanswered: u64,
    /// Descriptions of the first wrong answers.
    pub examples: Vec<String>,
    /// One row for each class, then one for each class, customer and phase.
    pub rows: Vec<LoadRow>,
}

/// Result for the submissions of one class, customer and phase.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRow {
    /// Name of the class.
    pub class: String,
    /// Name of the customer; absent for all of them.
    pub customer: Option<String>,
    /// Name of the phase of the intended send time; absent for all of them.
    pub phase: Option<String>,
    /// Submissions.
    pub count: u64,
    /// Submissions by outcome. The names are those of `Outcome`, with a reason as in
    /// `not_run.queue_full`, and `no_reply`, `not_sent`, `unreadable`, `wrong_answer` and `lost`
    /// (accepted, but later not known).
    pub outcomes: BTreeMap<String, u64>,
    /// Times that durable work was sent again for lack of a usable answer.
    pub resent: u64,
    /// Waiting time of work that ran: from the intended send time to the send, and from the arrival
    /// at the entry process to the start as the process reports it, in whole milliseconds.
    pub wait: TimeSummary,
    /// Time from the intended send time to the outcome, of all submissions. For work that is
    /// queried it is up to 400 ms too long, the longest pause between two queries.
    pub total: TimeSummary,
    /// Total time of work that ran less the run time that its payload asks for.
    pub added: TimeSummary,
}

/// Distribution of a time, in microseconds.
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
    /// Returns the row for all submissions of a class.
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
