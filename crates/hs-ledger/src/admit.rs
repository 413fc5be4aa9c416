//! Admission of submissions.

use hs_wire::{NotRunReason, Submission, WorkClass};

use crate::{LedgerPartition, RecordKey, Stamp};

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
    pub fn admit(
        &mut self,
        _submission: &Submission,
        _spec: &AdmitSpec,
        _now_ms: u64,
    ) -> Admission {
        todo!()
    }
}
