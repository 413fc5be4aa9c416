//! Admission of submissions.

use hs_wire::{NotRunReason, Submission, WorkClass};

use crate::hash::{body_hash, identity_hash};
use crate::partition::RecordEntry;
use crate::size::{ADMISSION_LIMIT_BYTES, REFUSAL_LIMIT_BYTES};
use crate::{
    LedgerPartition, LedgerRecord, LedgerTask, OpenSubmission, RecordKey, Stamp, TaskState,
};

/// Properties of a submission that come from the manifest and the forwarding process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitSpec {
    /// Work class of the workload.
    pub class: WorkClass,
    /// Number of tasks; zero counts as one.
    pub tasks: u32,
    /// Whether a task may be attempted again after an attempt that ran was stopped.
    pub repeatable: bool,
    /// Wall-clock time in milliseconds after which the submission is refused as expired.
    pub expires_at_ms: u64,
    /// Manifest revision under which the submission is admitted.
    pub revision: u64,
}

/// Result of [`LedgerPartition::admit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// A record was created. No task may be started and no reply sent before `stamp` is committed.
    New {
        /// New record.
        record: RecordKey,
        /// Stamp of the admission.
        stamp: Stamp,
    },
    /// The key has a record with the same body. This may be a record of a refusal (`key_expired`,
    /// `ledger_full`) that this call created. The reply may be sent once the stamp of the record is
    /// committed.
    Existing {
        /// Record of the key.
        record: RecordKey,
    },
    /// Nothing was recorded, because the key may have a record that can't be used. The reply is
    /// `unknown`.
    Unreadable,
    /// Nothing was recorded.
    ///
    /// With `KeyReused`, the reply is `not_run`; it may be sent once the value that
    /// [`LedgerPartition::last_stamp`] returns now is committed. With any other reason the reply is
    /// `unknown`, since without a record a duplicate may still run.
    Refused(NotRunReason),
}

impl LedgerPartition {
    /// Creates the record of a submission, unless its key has one already.
    pub fn admit(&mut self, submission: &Submission, spec: &AdmitSpec, now_ms: u64) -> Admission {
        if self.is_lost {
            return Admission::Refused(NotRunReason::OwnerUnreachable);
        }
        let hash = body_hash(submission);
        if let Some(record) = self.find(&submission.customer, &submission.key) {
            return match self.records[record].record.body_hash == hash {
                true => Admission::Existing { record },
                false => Admission::Refused(NotRunReason::KeyReused),
            };
        }
        if self.may_have_unreadable(&submission.customer, &submission.key) {
            return Admission::Unreadable;
        }
        if self.is_releasing {
            return Admission::Refused(NotRunReason::ShuttingDown);
        }
        let too_old = submission
            .issued_at_ms
            .is_some_and(|issued| now_ms.saturating_sub(issued) > self.options.key_retention_ms());
        if too_old || now_ms > spec.expires_at_ms {
            return self.record_refusal(submission, spec, NotRunReason::KeyExpired, now_ms);
        }
        let record = self.new_record(submission, spec, now_ms);
        let entry = RecordEntry::new(record, self.last_stamp.next());
        if self.size_bytes + entry.size_bytes > ADMISSION_LIMIT_BYTES {
            return self.record_refusal(submission, spec, NotRunReason::LedgerFull, now_ms);
        }
        self.last_stamp = entry.stamp;
        let record = self.insert(entry);
        Admission::New {
            record,
            stamp: self.last_stamp,
        }
    }

    /// Records the refusal of a submission, if there is space for the record.
    ///
    /// Without the record, a duplicate that arrives later could run although the reply to the
    /// caller said that the work did not run.
    fn record_refusal(
        &mut self,
        submission: &Submission,
        spec: &AdmitSpec,
        reason: NotRunReason,
        now_ms: u64,
    ) -> Admission {
        let mut record = self.new_record(submission, spec, now_ms);
        record.open = None;
        record.expires_at_ms = 0;
        record.ended_ms = now_ms.max(1);
        record.reason = Some(reason);
        record.tasks.truncate(1);
        for task in &mut record.tasks {
            task.state = TaskState::NotRun;
        }
        let entry = RecordEntry::new(record, self.last_stamp.next());
        if self.size_bytes + entry.size_bytes > REFUSAL_LIMIT_BYTES {
            return Admission::Refused(reason);
        }
        self.last_stamp = entry.stamp;
        let record = self.insert(entry);
        Admission::Existing { record }
    }

    fn new_record(&self, submission: &Submission, spec: &AdmitSpec, now_ms: u64) -> LedgerRecord {
        LedgerRecord {
            customer: submission.customer.clone(),
            key: submission.key.clone(),
            workload: submission.workload.clone(),
            body_hash: body_hash(submission),
            salt: self.free_salt(&submission.customer, &submission.key),
            class: spec.class,
            repeatable: spec.repeatable,
            revision: spec.revision,
            expires_at_ms: spec.expires_at_ms,
            admitted_ms: now_ms,
            ended_ms: 0,
            open: Some(OpenSubmission {
                deadline_ms: submission.deadline_ms,
                wait_ms: submission.wait_ms,
                issued_at_ms: submission.issued_at_ms,
                payload: submission.payload.clone(),
            }),
            cancel: false,
            reason: None,
            detail: String::new(),
            tasks: vec![LedgerTask::default(); spec.tasks.max(1) as usize],
        }
    }

    /// Returns a salt that no record with the same hash of (customer, key) has.
    fn free_salt(&self, customer: &str, key: &str) -> u32 {
        let bucket = self.index.get(&identity_hash(customer, key));
        let salts = bucket.into_iter().flatten();
        let salts = salts.map(|other| self.records[*other].record.salt + 1);
        salts.max().unwrap_or(0)
    }
}
