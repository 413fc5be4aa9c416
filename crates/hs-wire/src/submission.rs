//! The request with which a caller submits work.

use serde::{Deserialize, Serialize};

/// One piece of work that a caller submits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Idempotency key, unique per customer. Submissions with the same key and the same body are
    /// one piece of work, however often and to whichever entry process they are sent.
    pub key: String,
    /// Name of the customer to whom the work is accounted.
    pub customer: String,
    /// Name of the workload in the manifest, which defines class, resources and limits.
    pub workload: String,
    /// Time in milliseconds after which work that has not started is of no use to the caller.
    pub deadline_ms: u64,
    /// Longest time in milliseconds that the call waits for an outcome. Defaults to `deadline_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
    /// Time of the first attempt by the caller's clock, in milliseconds since the Unix epoch. A
    /// durable submission older than the retention time of its record is refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub issued_at_ms: Option<u64>,
    /// Opaque input of the work.
    #[serde(default)]
    pub payload: String,
}

impl Submission {
    /// Returns the longest time that the call waits for an outcome, in milliseconds.
    pub fn wait_limit_ms(&self) -> u64 {
        self.wait_ms.unwrap_or(self.deadline_ms)
    }
}
