//! Admission of submissions.

use hs_wire::{NotRunReason, Submission, WorkClass};

use crate::hash::{body_hash, name_hash};
use crate::partition::RecordEntry;
use crate::size::{ADMIT_BYTES, REFUSAL_BYTES};
use crate::{
    LedgerPartition, LedgerRecord, LedgerTask, OpenSubmission, RecordKey, Stamp, TaskState,
};

/// What the manifest and the forwarding process say about a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitSpec {
    /// Class of the workload.
    pub class: WorkClass,
    /// Number of tasks; zero counts as one.
    pub tasks: u32,
    /// Whether a task that was stopped may be attempted again.
    pub repeatable: bool,
    /// Wall time in milliseconds after which the submission is refused as expired.
    pub expires_at_ms: u64,
    /// Manifest revision under which the submission is admitted.
    pub revision: u64,
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// A record was made. Nothing may be started or answered before `stamp` is committed.
    New {
        /// The record.
        record: RecordKey,
        /// Stamp of its admission.
        stamp: Stamp,
    },
    /// The key has a record with the same body, or was refused for good just now (`key_expired`,
    /// `ledger_full`). It may be answered once the record's stamp is committed.
    Existing {
        /// The record.
        record: RecordKey,
    },
    /// Nothing was recorded.
    ///
    /// `KeyReused` is answered as not run once [`LedgerPartition::last_stamp`] of this moment is
    /// committed. Any other reason leaves no trace that would stop a duplicate, so that the caller
    /// is told `unknown`.
    Refused(NotRunReason),
}

impl LedgerPartition {
    /// Records a submission, unless its key has a record already.
    pub fn admit(&mut self, submission: &Submission, spec: &AdmitSpec, now_ms: u64) -> Admission {
        if self.lost {
            return Admission::Refused(NotRunReason::OwnerUnreachable);
        }
        let hash = body_hash(submission);
        if let Some(record) = self.find(&submission.customer, &submission.key) {
            return match self.records[record].record.body_hash == hash {
                true => Admission::Existing { record },
                false => Admission::Refused(NotRunReason::KeyReused),
            };
        }
        if self.releasing {
            return Admission::Refused(NotRunReason::ShuttingDown);
        }
        let too_old = submission
            .issued_at_ms
            .is_some_and(|issued| now_ms.saturating_sub(issued) > self.options.key_retention_ms());
        if too_old || now_ms > spec.expires_at_ms {
            return self.tombstone(submission, spec, NotRunReason::KeyExpired, now_ms);
        }
        let record = self.new_record(submission, spec, now_ms);
        let entry = RecordEntry::new(record, self.last.next());
        if self.bytes + entry.bytes > ADMIT_BYTES {
            return self.tombstone(submission, spec, NotRunReason::LedgerFull, now_ms);
        }
        self.last = entry.last;
        let record = self.insert(entry);
        Admission::New {
            record,
            stamp: self.last,
        }
    }

    /// Records that a submission was refused.
    ///
    /// Without the record, a duplicate that arrives later could still run although the caller was
    /// told that the work did not.
    fn tombstone(
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
        let entry = RecordEntry::new(record, self.last.next());
        if self.bytes + entry.bytes > REFUSAL_BYTES {
            return Admission::Refused(reason);
        }
        self.last = entry.last;
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

    /// Returns a salt that no record with the same hash has.
    fn free_salt(&self, customer: &str, key: &str) -> u32 {
        let bucket = self.index.get(&name_hash(customer, key));
        let salts = bucket.into_iter().flatten();
        let salts = salts.map(|other| self.records[*other].record.salt + 1);
        salts.max().unwrap_or(0)
    }
}
