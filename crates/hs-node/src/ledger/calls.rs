//! Handling of submit, query and cancel calls by the owner of a partition.

use hs_event::EventCode;
use hs_ledger::{Admission, AdmitSpec, RecordKey, TaskKey};
use hs_wire::{NotRunReason, Submission, WorkClass, WorkReply};
use tokio::sync::oneshot;

use super::owned::{CommitWaiter, STORE_RETRY_AFTER_MS};
use super::{LedgerAnswer, LedgerCall, PartitionTask};
use crate::port::Platform;

/// Spec of a submission that does not match the manifest. It is admitted so that its refusal is
/// recorded.
const REFUSED_WORK_SPEC: AdmitSpec = AdmitSpec {
    class: WorkClass::Order,
    tasks: 1,
    repeatable: false,
    expires_at_ms: 0,
    revision: 0,
};

impl<P: Platform> PartitionTask<P> {
    /// Handles a call, or answers that this process does not own the partition if it is not active
    /// or is being released.
    pub(super) fn handle_call(&mut self, call: LedgerCall, reply: oneshot::Sender<LedgerAnswer>) {
        let is_owned = self.owned.as_ref().is_some_and(|owned| owned.is_active);
        if !is_owned || self.release_done.is_some() {
            let owner = self.owner.clone();
            let _ = reply.send(LedgerAnswer::NotOwned { owner });
            return;
        }
        match call {
            LedgerCall::Submit {
                submission,
                expires_at_ms,
            } => self.submit(&submission, expires_at_ms, reply),
            LedgerCall::Query { customer, key } => self.query(&customer, &key, reply),
            LedgerCall::Cancel { customer, key } => self.cancel(&customer, &key, reply),
        }
    }

    /// Admits a submission, and answers once its outcome is final and committed.
    pub(super) fn submit(
        &mut self,
        submission: &Submission,
        expires_at_ms: u64,
        reply: oneshot::Sender<LedgerAnswer>,
    ) {
        let now_ms = self.wall_ms();
        let checked = self.check_submission(submission);
        let Some(owned) = &mut self.owned else {
            return;
        };
        let mut spec = checked.as_ref().map_or(REFUSED_WORK_SPEC, |spec| *spec);
        spec.expires_at_ms = expires_at_ms;
        match owned.partition.admit(submission, &spec, now_ms) {
            Admission::New { record, .. } => {
                owned.outcome_waiters.entry(record).or_default().push(reply);
                match checked {
                    Err(reason) => {
                        let _ = owned.partition.refuse_waiting(record, reason, "", now_ms);
                    }
                    Ok(_) => self.start_new_tasks(record),
                }
                self.answer_if_store_down(record);
            }
            Admission::Existing { record } => {
                owned.outcome_waiters.entry(record).or_default().push(reply);
                owned.answer_if_final(record);
                self.answer_if_store_down(record);
            }
            Admission::Unreadable => answer_unreadable(&submission.key, reply),
            Admission::Refused(NotRunReason::KeyReused) => {
                let waiter = CommitWaiter::KeyReused {
                    key: submission.key.clone(),
                    reply,
                };
                let stamp = owned.partition.last_stamp();
                owned.commit_waiters.entry(stamp).or_default().push(waiter);
            }
            Admission::Refused(reason) => {
                let detail = format!("no record was made: {reason:?}");
                let mut work_reply = WorkReply::unknown(&submission.key, detail);
                work_reply.retry_after_ms = Some(STORE_RETRY_AFTER_MS);
                let _ = reply.send(LedgerAnswer::Reply(work_reply));
            }
        }
    }

    /// Checks the workload and the customer of a submission against the current manifest, and
    /// returns what to admit.
    pub(super) fn check_submission(
        &self,
        submission: &Submission,
    ) -> Result<AdmitSpec, NotRunReason> {
        let view = self.shared.view().ok_or(NotRunReason::NotReady)?;
        let found = view.workload(&submission.workload);
        let (_, entry) = found.ok_or(NotRunReason::UnknownWorkload)?;
        if !view.has_customer(&submission.customer) {
            return Err(NotRunReason::UnknownCustomer);
        }
        if !entry.class.is_durable() {
            return Err(NotRunReason::UnsupportedClass);
        }
        Ok(AdmitSpec {
            class: entry.class,
            tasks: u32::from(entry.tasks),
            repeatable: entry.is_repeatable(),
            expires_at_ms: 0,
            revision: view.revision(),
        })
    }

    /// Starts the first attempts at all tasks of a new record.
    pub(super) fn start_new_tasks(&mut self, record: RecordKey) {
        let Some(owned) = &self.owned else {
            return;
        };
        let Some(entry) = owned.partition.record(record) else {
            return;
        };
        let tasks = (0..entry.tasks.len() as u32).map(|task| (TaskKey { task, attempt: 0 }, None));
        let tasks = tasks.collect();
        self.spawn_runners(record, tasks);
    }

    /// Answers the callers that wait for an uncommitted record at once if the store accepts no
    /// writes, since its commit may never come.
    pub(super) fn answer_if_store_down(&mut self, record: RecordKey) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if !owned.is_store_down || owned.is_committed(record) {
            return;
        }
        let reply = owned.reply_uncommitted(record);
        for waiter in owned.outcome_waiters.remove(&record).unwrap_or_default() {
            let _ = waiter.send(LedgerAnswer::Reply(reply.clone()));
        }
    }

    /// Answers a caller whose wait has expired with the current state of its work.
    pub(super) fn wait_expired(
        &mut self,
        customer: &str,
        key: &str,
        reply: oneshot::Sender<LedgerAnswer>,
    ) {
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        let Some(record) = owned.partition.find(customer, key) else {
            return;
        };
        // If there is a newer owner that this one does not know of, open work may have ended there.
        let is_current = !owned.is_open(record) || owned.partition.is_fresh(now);
        let work_reply = match owned.is_committed(record) && is_current {
            true => owned.reply(record),
            false => owned.reply_uncommitted(record),
        };
        let _ = reply.send(LedgerAnswer::Reply(work_reply));
    }

    /// Answers a query about a record once its last change is committed.
    pub(super) fn query(
        &mut self,
        customer: &str,
        key: &str,
        reply: oneshot::Sender<LedgerAnswer>,
    ) {
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        let is_fresh = owned.partition.is_fresh(now);
        match owned.partition.find(customer, key) {
            Some(record) if is_fresh || !owned.is_open(record) => {
                owned.answer_at_commit(record, reply);
            }
            None if owned.partition.may_have_unreadable(customer, key) => {
                answer_unreadable(key, reply);
            }
            None if is_fresh => {
                let _ = reply.send(LedgerAnswer::NoRecord);
            }
            // There may be a newer owner, with a record or an outcome that this one does not know.
            Some(_) | None => {
                let _ = reply.send(LedgerAnswer::NotOwned { owner: None });
            }
        }
    }

    /// Requests the cancellation of a record, and answers once it is committed. Work that can no
    /// longer be cancelled is answered like a query.
    pub(super) fn cancel(
        &mut self,
        customer: &str,
        key: &str,
        reply: oneshot::Sender<LedgerAnswer>,
    ) {
        let now_ms = self.wall_ms();
        let Some(owned) = &mut self.owned else {
            return;
        };
        let Some(record) = owned.partition.find(customer, key) else {
            self.query(customer, key, reply);
            return;
        };
        if owned.partition.request_cancel(record, now_ms).is_ok() {
            EventCode::WorkCancelled.log(format_args!("customer={customer} key={key}"));
            if let Some(signal) = owned.cancel_signals.get(&record) {
                let _ = signal.send(true);
            }
            owned.answer_at_commit(record, reply);
        } else {
            self.query(customer, key, reply);
        }
    }
}

/// Answers that the state of a key is not known, because its record can't be read.
fn answer_unreadable(key: &str, reply: oneshot::Sender<LedgerAnswer>) {
    let work_reply = WorkReply::unknown(key, "the record of the key can't be read");
    let _ = reply.send(LedgerAnswer::Reply(work_reply));
}
