//! Outcomes of work, and the reply to a caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Outcome of a piece of work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The work ran and succeeded.
    Done,
    /// The work ran and reported a failure.
    Failed,
    /// The work did not run, and this attempt can no longer start.
    NotRun,
    /// The work may have run.
    Unknown,
    /// The caller cancelled the work; a task that had started was stopped.
    Cancelled,
    /// The work is recorded durably and has not finished.
    Accepted,
}

impl Outcome {
    /// Returns the name used in JSON, logs and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
            Self::Accepted => "accepted",
        }
    }

    /// Returns whether the outcome can no longer change.
    pub fn is_final(self) -> bool {
        self != Self::Accepted
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Reason why work did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The submission is malformed.
    Malformed,
    /// The manifest has no such customer.
    UnknownCustomer,
    /// The manifest has no such workload.
    UnknownWorkload,
    /// The workload is a service. Services are started from the manifest, not by submissions.
    UnsupportedClass,
    /// The work exceeds the capacity of every worker or the quota even when they are unused.
    NeverFits,
    /// The customer's quota is used up.
    QuotaExceeded,
    /// The customer's queue is full.
    QueueFull,
    /// The deadline passed before the work started.
    DeadlinePassed,
    /// The worker refused the start, and the retry budget is exhausted or the deadline has passed.
    WorkerRefused,
    /// The owner of the record could not be reached, so nothing was sent to it.
    OwnerUnreachable,
    /// The ledger partition has no room for another record.
    LedgerFull,
    /// The idempotency key was used before with a different body.
    KeyReused,
    /// The submission is older than the retention time of its record.
    KeyExpired,
    /// The entry process is shutting down.
    ShuttingDown,
    /// The entry process has not loaded a manifest yet.
    NotReady,
    /// The caller cancelled the work before it started.
    Cancelled,
}

impl NotRunReason {
    /// Returns the HTTP status of a reply with this reason.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::UnknownCustomer
            | Self::UnknownWorkload
            | Self::UnsupportedClass
            | Self::NeverFits
            | Self::KeyReused
            | Self::KeyExpired => 422,
            Self::QuotaExceeded | Self::QueueFull | Self::DeadlinePassed => 429,
            Self::WorkerRefused
            | Self::OwnerUnreachable
            | Self::LedgerFull
            | Self::ShuttingDown
            | Self::NotReady => 503,
            Self::Cancelled => 200,
        }
    }

    /// Returns whether a later retry of the same submission may succeed.
    pub fn is_retryable(self) -> bool {
        matches!(self.status(), 429 | 503)
    }
}

/// The reply to a submission or to a query about one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkReply {
    /// Idempotency key of the submission.
    pub key: String,
    /// Outcome of the work.
    pub outcome: Outcome,
    /// Reason why the work did not run, for [`Outcome::NotRun`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<NotRunReason>,
    /// Details for a human reader.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// Results of the tasks, in the order of the tasks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<String>,
    /// Names of the workers on which the tasks ran, in the order of the tasks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<String>,
    /// Time from arrival to start, in milliseconds.
    #[serde(default)]
    pub waited_ms: u64,
    /// Manifest revision that was in effect when the outcome was decided.
    #[serde(default)]
    pub revision: u64,
    /// Time after which a retry is useful, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl WorkReply {
    /// Builds a reply without results.
    pub fn new(key: &str, outcome: Outcome) -> Self {
        Self {
            key: key.to_owned(),
            outcome,
            reason: None,
            detail: String::new(),
            results: Vec::new(),
            workers: Vec::new(),
            waited_ms: 0,
            revision: 0,
            retry_after_ms: None,
        }
    }

    /// Builds a reply for work that did not run, with a retry hint if the reason is retryable.
    pub fn not_run(key: &str, reason: NotRunReason, detail: impl Into<String>) -> Self {
        let mut reply = Self::new(key, Outcome::NotRun);
        reply.reason = Some(reason);
        reply.detail = detail.into();
        reply.retry_after_ms = reason.is_retryable().then_some(DEFAULT_RETRY_AFTER_MS);
        reply
    }

    /// Builds a reply for work that may have run.
    pub fn unknown(key: &str, detail: impl Into<String>) -> Self {
        let mut reply = Self::new(key, Outcome::Unknown);
        reply.detail = detail.into();
        reply
    }

    /// Returns the HTTP status of the reply.
    pub fn status(&self) -> u16 {
        match self.outcome {
            Outcome::Done | Outcome::Failed | Outcome::Cancelled => 200,
            Outcome::Accepted => 202,
            Outcome::Unknown => 504,
            Outcome::NotRun => self.reason.map_or(503, NotRunReason::status),
        }
    }
}

/// Retry hint in milliseconds where no better estimate exists.
pub const DEFAULT_RETRY_AFTER_MS: u64 = 500;
