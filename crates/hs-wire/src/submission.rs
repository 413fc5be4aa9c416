//! What a caller sends.

use serde::{Deserialize, Serialize};

/// One piece of work that a caller submits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Idempotency key, unique for the customer. The same key with the same body is one piece of
    /// work, however often and wherever it is sent.
    pub key: String,
    /// The customer that the work is accounted to.
    pub customer: String,
    /// The manifest entry that states class, resources and limits.
    pub workload: String,
    /// Time in milliseconds after which the caller has no use for a start that has not happened.
    pub deadline_ms: u64,
    /// Longest time in milliseconds that the call waits for an outcome. Absent: `deadline_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
    /// Caller's clock at the first attempt, in milliseconds since the Unix epoch. A durable
    /// submission older than the retention of its record is refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub issued_at_ms: Option<u64>,
    /// Opaque input of the work.
    #[serde(default)]
    pub payload: String,
}

impl Submission {
    /// Returns the time that the call waits for an outcome, in milliseconds.
    pub fn wait_limit_ms(&self) -> u64 {
        self.wait_ms.unwrap_or(self.deadline_ms)
    }
}
