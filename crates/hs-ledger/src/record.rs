//! Durable record of one submission.

use hs_wire::{NotRunReason, Outcome, Submission, WorkClass, WorkId};
use serde::{Deserialize, Serialize};

use crate::hash::record_id;
use crate::task::{is_false, is_zero_u32, is_zero_u64};
use crate::{LedgerTask, TaskKey, TaskState};

/// Part of a submission that its record keeps only while tasks are open.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenSubmission {
    /// Copy of [`Submission::deadline_ms`].
    #[serde(rename = "d")]
    pub deadline_ms: u64,
    /// Copy of [`Submission::wait_ms`].
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
    /// Copy of [`Submission::issued_at_ms`].
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub issued_at_ms: Option<u64>,
    /// Copy of [`Submission::payload`].
    #[serde(rename = "p", default, skip_serializing_if = "String::is_empty")]
    pub payload: String,
}

/// Durable record of the submission that a (customer, key) pair identifies, with the state of its
/// tasks.
///
/// The encoded field names are short, since every flush writes the whole partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerRecord {
    /// Customer of the submission.
    #[serde(rename = "c")]
    pub customer: String,
    /// Idempotency key of the submission.
    #[serde(rename = "k")]
    pub key: String,
    /// Workload of the submission.
    #[serde(rename = "w")]
    pub workload: String,
    /// Hash of customer, workload and payload. Another submission with the same key is refused if
    /// its hash differs.
    #[serde(rename = "h")]
    pub body_hash: u64,
    /// Distinguishes records whose (customer, key) pairs have the same hash.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero_u32")]
    pub salt: u32,
    /// Work class of the workload.
    #[serde(rename = "l")]
    pub class: WorkClass,
    /// Whether a task may be attempted again after an attempt that ran was stopped.
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub repeatable: bool,
    /// Manifest revision under which the record was admitted.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero_u64")]
    pub revision: u64,
    /// Copy of [`AdmitSpec::expires_at_ms`](crate::AdmitSpec::expires_at_ms); zero once the record
    /// is closed.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero_u64")]
    pub expires_at_ms: u64,
    /// Wall-clock time of the admission in milliseconds.
    #[serde(rename = "a")]
    pub admitted_ms: u64,
    /// Wall-clock time at which the last open task ended, in milliseconds; zero while tasks are
    /// open.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero_u64")]
    pub ended_ms: u64,
    /// Other fields of the submission; absent once the record is closed.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub open: Option<OpenSubmission>,
    /// Whether the caller has requested cancellation.
    #[serde(rename = "q", default, skip_serializing_if = "is_false")]
    pub cancel: bool,
    /// First reason for which tasks did not run.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<NotRunReason>,
    /// Explanation of `reason` for a person.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// Tasks of the submission; [`TaskKey::task`] is the index.
    #[serde(rename = "t")]
    pub tasks: Vec<LedgerTask>,
}

impl LedgerRecord {
    /// Returns the outcome that follows from the states of the tasks.
    ///
    /// If some tasks succeeded and the others did not run, the outcome is [`Outcome::Failed`],
    /// since neither [`Outcome::Done`] nor [`Outcome::NotRun`] applies to all of them.
    pub fn outcome(&self) -> Outcome {
        let has = |state: TaskState| self.tasks.iter().any(|task| task.state == state);
        let all = |state: TaskState| self.tasks.iter().all(|task| task.state == state);
        if self.tasks.iter().any(|task| task.state.is_open()) {
            Outcome::Accepted
        } else if has(TaskState::Failed) {
            Outcome::Failed
        } else if has(TaskState::Unknown) {
            Outcome::Unknown
        } else if has(TaskState::Cancelled) {
            Outcome::Cancelled
        } else if all(TaskState::NotRun) {
            Outcome::NotRun
        } else if all(TaskState::Done) {
            Outcome::Done
        } else {
            Outcome::Failed
        }
    }

    /// Returns the id under which an attempt is started, or `None` if the record has no such task.
    pub fn task_id(&self, task: TaskKey) -> Option<WorkId> {
        self.tasks.get(task.task as usize)?;
        let record = record_id(&self.customer, &self.key, self.salt, self.admitted_ms);
        Some(WorkId(format!("{record}.{}.{}", task.task, task.attempt)))
    }

    /// Returns the submission, or `None` once the record is closed.
    pub fn submission(&self) -> Option<Submission> {
        let open = self.open.as_ref()?;
        Some(Submission {
            key: self.key.clone(),
            customer: self.customer.clone(),
            workload: self.workload.clone(),
            deadline_ms: open.deadline_ms,
            wait_ms: open.wait_ms,
            issued_at_ms: open.issued_at_ms,
            payload: open.payload.clone(),
        })
    }
}
