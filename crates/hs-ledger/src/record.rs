//! One durable record.

use hs_wire::{NotRunReason, Outcome, Submission, WorkClass, WorkId};
use serde::{Deserialize, Serialize};

use crate::hash::record_id;
use crate::task::{is_false, is_zero_u32, is_zero_u64};
use crate::{LedgerTask, TaskKey, TaskState};

/// What a record keeps of its submission only while it has open tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenSubmission {
    /// [`Submission::deadline_ms`].
    #[serde(rename = "d")]
    pub deadline_ms: u64,
    /// [`Submission::wait_ms`].
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
    /// [`Submission::issued_at_ms`].
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub issued_at_ms: Option<u64>,
    /// [`Submission::payload`].
    #[serde(rename = "p", default, skip_serializing_if = "String::is_empty")]
    pub payload: String,
}

/// One durable record: the state of one (customer, key).
///
/// Field names in the store value are short, since the whole partition is written with each flush.
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
    /// Hash of customer, workload and payload.
    #[serde(rename = "h")]
    pub body_hash: u64,
    /// Tells apart records whose (customer, key) have the same hash.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero_u32")]
    pub salt: u32,
    /// Class of the work.
    #[serde(rename = "l")]
    pub class: WorkClass,
    /// Whether a task that was stopped may be attempted again.
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub repeatable: bool,
    /// Manifest revision under which the record was admitted.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero_u64")]
    pub revision: u64,
    /// Wall time in milliseconds after which no start may be requested; zero once the record is
    /// closed.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero_u64")]
    pub expires_at_ms: u64,
    /// Wall time of the admission in milliseconds.
    #[serde(rename = "a")]
    pub admitted_ms: u64,
    /// Wall time of the end in milliseconds; zero while tasks are open.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero_u64")]
    pub ended_ms: u64,
    /// Rest of the submission, absent once the record is closed.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub open: Option<OpenSubmission>,
    /// Whether the caller has asked for cancellation.
    #[serde(rename = "q", default, skip_serializing_if = "is_false")]
    pub cancel: bool,
    /// Why tasks did not run.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<NotRunReason>,
    /// Details in plain words.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// Tasks.
    #[serde(rename = "t")]
    pub tasks: Vec<LedgerTask>,
}

impl LedgerRecord {
    /// Returns the outcome that follows from the tasks.
    ///
    /// Work of which some tasks succeeded and others did not run has failed: it neither succeeded nor
    /// did it not run.
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

    /// Returns the id of an attempt, or `None` if the record has no such task.
    pub fn task_id(&self, task: TaskKey) -> Option<WorkId> {
        self.tasks.get(task.task as usize)?;
        let record = record_id(&self.customer, &self.key, self.salt, self.admitted_ms);
        Some(WorkId(format!("{record}.{}.{}", task.task, task.attempt)))
    }

    /// Rebuilds the submission, or returns `None` once the record is closed.
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
