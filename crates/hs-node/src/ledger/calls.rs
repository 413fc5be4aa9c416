//! Callers' calls to an owned partition.

use hs_event::EventCode;
use hs_ledger::{Admission, AdmitSpec, RecordKey, TaskKey};
use hs_wire::{NotRunReason, Submission, WorkClass, WorkReply};
use tokio::sync::oneshot;

use super::owned::{CommitWaiter, STORE_RETRY_MS};
use super::{LedgerAnswer, LedgerCall, PartitionTask};
use crate::port::Platform;

/// What is admitted of a submission that the manifest does not know, only to be refused for good.
const UNKNOWN_WORK: AdmitSpec = AdmitSpec {
    class: WorkClass::Order,
    tasks: 1,
    repeatable: false,
    expires_at_ms: 0,
    revision: 0,
};

impl<P: Platform> PartitionTask<P> {
    pub(super) fn call(&mut self, call: LedgerCall, reply: oneshot::Sender<LedgerAnswer>) {
        let is_owned = self.owned.as_ref().is_some_and(|owned| owned.is_announced);
        if !is_owned || self.hand_over.is_some() {
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

    pub(super) fn submit(
        &mut self,
        submission: &Submission,
        expires_at_ms: u64,
        reply: oneshot::Sender<LedgerAnswer>,
    ) {
        let now_ms = self.wall_ms();
        let checked = self.check(submission);
        let Some(owned) = &mut self.owned else {
            return;
        };
        let mut spec = checked.as_ref().map_or(UNKNOWN_WORK, |spec| *spec);
        spec.expires_at_ms = expires_at_ms;
        match owned.partition.admit(submission, &spec, now_ms) {
            Admission::New { record, .. } => {
                owned.answers.entry(record).or_default().push(reply);
                match checked {
                    Err(reason) => {
                        let _ = owned.partition.refuse(record, reason, "", now_ms);
                    }
                    Ok(_) => self.start_new(record),
                }
                self.answer_unstored(record);
            }
            Admission::Existing { record } => {
                owned.answers.entry(record).or_default().push(reply);
                owned.answer_if_final(record);
                self.answer_unstored(record);
            }
            Admission::Refused(NotRunReason::KeyReused) => {
                let waiter = CommitWaiter::Reused {
                    key: submission.key.clone(),
                    reply,
                };
                let stamp = owned.partition.last_stamp();
                owned.commits.entry(stamp).or_default().push(waiter);
            }
            Admission::Refused(reason) => {
                let detail = format!("no record was made: {reason:?}");
                let mut answer = WorkReply::unknown(&submission.key, detail);
                answer.retry_after_ms = Some(STORE_RETRY_MS);
                let _ = reply.send(LedgerAnswer::Reply(answer));
            }
        }
    }

    /// Looks up the submission's workload and customer in the manifest in force.
    pub(super) fn check(&self, submission: &Submission) -> Result<AdmitSpec, NotRunReason> {
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

    pub(super) fn start_new(&mut self, record: RecordKey) {
        let Some(owned) = &self.owned else {
            return;
        };
        let Some(kept) = owned.partition.record(record) else {
            return;
        };
        let tasks = (0..kept.tasks.len() as u32).map(|task| (TaskKey { task, attempt: 0 }, None));
        let tasks = tasks.collect();
        self.run_tasks(record, tasks);
    }

    /// Answers callers at once where no commit can be waited for, because the store takes no writes.
    pub(super) fn answer_unstored(&mut self, record: RecordKey) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if !owned.is_store_down || owned.is_committed(record) {
            return;
        }
        let reply = owned.reply_unstored(record);
        for waiter in owned.answers.remove(&record).unwrap_or_default() {
            let _ = waiter.send(LedgerAnswer::Reply(reply.clone()));
        }
    }

    pub(super) fn wait_over(
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
        // Open work may have ended at a newer owner that this one does not know of.
        let is_current = !owned.is_open(record) || owned.partition.is_fresh(now);
        let answer = match owned.is_committed(record) && is_current {
            true => owned.reply(record),
            false => owned.reply_unstored(record),
        };
        let _ = reply.send(LedgerAnswer::Reply(answer));
    }

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
            None if is_fresh => {
                let _ = reply.send(LedgerAnswer::NoRecord);
            }
            // A newer owner may have a record, or an outcome, that this one does not know.
            Some(_) | None => {
                let _ = reply.send(LedgerAnswer::NotOwned { owner: None });
            }
        }
    }

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
            if let Some(signal) = owned.signals.get(&record) {
                let _ = signal.send(true);
            }
            owned.answer_at_commit(record, reply);
        } else {
            self.query(customer, key, reply);
        }
    }
}
