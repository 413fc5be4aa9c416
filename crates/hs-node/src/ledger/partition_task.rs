//! The task of one ledger partition: candidate, then owner.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_event::EventCode;
use hs_ledger::{
    Admission, AdmitSpec, FlushEnd, LedgerOptions, LedgerOwner, LedgerPartition, PartitionImage,
    ReadBack, RecordKey, Stamp, TaskKey, TaskState,
};
use hs_wire::{NotRunReason, Submission, WorkClass, WorkReply};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

use super::fate::PlacedWorker;
use super::message::{ChangeDone, TaskChange};
use super::runner::{RunPlan, TaskRunner};
use super::runner_port::RunnerPort;
use super::{LedgerAnswer, LedgerCall, PARTITIONS, PartitionMessage, PartitionStatus};
use crate::port::{ClockPort, Platform, StorePort, StoreValue, StoreWrite};
use crate::shared::NodeShared;

/// Longest time for one store call. A slow store shall not be taken for one that is down.
const STORE_LIMIT: Duration = Duration::from_secs(2);

/// Time between two looks of a candidate at the partition.
const CANDIDATE_EVERY: Duration = Duration::from_secs(1);

/// Time without a write of the owner after which the first candidate takes over.
const TAKE_OVER_AFTER: Duration = Duration::from_secs(3);

/// Additional time for each further candidate, so that they don't race.
const CANDIDATE_STEP: Duration = Duration::from_millis(500);

/// Longest sleep of the task.
const IDLE_WAKE: Duration = Duration::from_secs(1);

/// Retry hint while the store takes no writes, in milliseconds.
const STORE_RETRY_MS: u64 = 1000;

enum CommitWaiter {
    Answer {
        record: RecordKey,
        reply: oneshot::Sender<LedgerAnswer>,
    },
    Reused {
        key: String,
        reply: oneshot::Sender<LedgerAnswer>,
    },
    Change {
        done: ChangeDone,
        reply: oneshot::Sender<ChangeDone>,
    },
}

struct OwnedPartition {
    partition: LedgerPartition,
    is_announced: bool,
    is_store_down: bool,
    commits: BTreeMap<Stamp, Vec<CommitWaiter>>,
    answers: HashMap<RecordKey, Vec<oneshot::Sender<LedgerAnswer>>>,
    signals: HashMap<RecordKey, watch::Sender<bool>>,
}

struct SeenRevision {
    revision: u64,
    since: Instant,
}

/// Owns one ledger partition, or watches it as a candidate.
pub struct PartitionTask<P: Platform> {
    shared: Arc<NodeShared<P>>,
    number: u32,
    receiver: mpsc::UnboundedReceiver<PartitionMessage>,
    owned: Option<OwnedPartition>,
    owner: Option<String>,
    seen: Option<SeenRevision>,
    next_look: Instant,
    is_reading: bool,
    takeovers: u32,
    hand_over: Option<oneshot::Sender<()>>,
}

impl<P: Platform> PartitionTask<P> {
    /// Builds the task.
    pub fn new(
        shared: Arc<NodeShared<P>>,
        number: u32,
        receiver: mpsc::UnboundedReceiver<PartitionMessage>,
    ) -> Self {
        let next_look = shared.platform.clock().now();
        Self {
            shared,
            number,
            receiver,
            owned: None,
            owner: None,
            seen: None,
            next_look,
            is_reading: false,
            takeovers: 0,
            hand_over: None,
        }
    }

    /// Runs until every handle is gone, or the partition is handed over.
    pub async fn run(mut self) {
        loop {
            let wake = self.next_wake();
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = sleep_until(wake.into()) => {}
            }
            self.advance();
            if self.owned.is_none()
                && let Some(done) = self.hand_over.take()
            {
                let _ = done.send(());
                return;
            }
        }
    }

    fn now(&self) -> Instant {
        self.shared.platform.clock().now()
    }

    fn wall_ms(&self) -> u64 {
        self.shared.platform.clock().wall_ms()
    }

    fn next_wake(&self) -> Instant {
        let now = self.now();
        let idle = now + IDLE_WAKE;
        match &self.owned {
            Some(owned) => owned
                .partition
                .next_flush(now)
                .map_or(idle, |flush| flush.min(idle)),
            None if self.is_reading => idle,
            None => self.next_look,
        }
    }

    fn handle(&mut self, message: PartitionMessage) {
        match message {
            PartitionMessage::Call { call, reply } => self.call(call, reply),
            PartitionMessage::WaitOver {
                customer,
                key,
                reply,
            } => self.wait_over(&customer, &key, reply),
            PartitionMessage::Flushed { epoch, end } => self.flushed(epoch, end),
            PartitionMessage::Read { found } => {
                self.is_reading = false;
                if let Ok(found) = found {
                    self.read(found);
                }
            }
            PartitionMessage::Change {
                epoch,
                record,
                change,
                reply,
            } => self.change(epoch, record, change, reply),
            PartitionMessage::HandOver { done } => {
                self.hand_over = Some(done);
                if let Some(owned) = &mut self.owned {
                    owned.partition.release();
                }
            }
            PartitionMessage::Status { reply } => {
                let _ = reply.send(self.status());
            }
        }
    }

    /// Does what is due: ends a lost ownership, answers what is committed, writes, reads.
    fn advance(&mut self) {
        self.end_lost();
        self.announce();
        self.settle();
        self.flush();
        self.look();
    }

    fn end_lost(&mut self) {
        if self
            .owned
            .as_ref()
            .is_some_and(|owned| owned.partition.is_lost())
        {
            // Runners and callers learn it from their dropped channels.
            self.owned = None;
            self.seen = None;
            self.shared.ledger.set_owned(self.number, false);
            EventCode::PartitionLost.log(format_args!("partition={}", self.number));
        }
    }

    fn announce(&mut self) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.is_announced || !owned.partition.is_owned() {
            return;
        }
        owned.is_announced = true;
        EventCode::PartitionTaken.log(format_args!(
            "partition={} epoch={} records={}",
            self.number,
            owned.partition.epoch(),
            owned.partition.len(),
        ));
        self.owner = Some(self.shared.settings.peer_address().to_string());
        self.shared.ledger.set_owned(self.number, true);
        self.resume();
    }

    /// Goes on with the open tasks of the previous owner.
    fn resume(&mut self) {
        let Some(owned) = &self.owned else {
            return;
        };
        let mut open: BTreeMap<RecordKey, Vec<(TaskKey, Option<String>)>> = BTreeMap::new();
        for task in owned.partition.open_tasks() {
            let worker = (task.state == TaskState::Placed).then(|| task.worker.to_owned());
            open.entry(task.record)
                .or_default()
                .push((task.task, worker));
        }
        for (record, tasks) in open {
            self.run_tasks(record, tasks);
        }
    }

    fn run_tasks(&mut self, record: RecordKey, tasks: Vec<(TaskKey, Option<String>)>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let Some(kept) = owned.partition.record(record) else {
            return;
        };
        let Some(submission) = kept.submission() else {
            return;
        };
        let (class, repeatable, admitted_ms) = (kept.class, kept.repeatable, kept.admitted_ms);
        let (signal, cancelled) = watch::channel(kept.cancel);
        let named: Vec<_> = tasks
            .into_iter()
            .filter_map(|(task, worker)| Some((task, kept.task_id(task)?, worker)))
            .collect();
        owned.signals.insert(record, signal);
        let epoch = owned.partition.epoch();
        let is_gang =
            class == WorkClass::Gang && named.iter().all(|(_, _, worker)| worker.is_none());
        let groups = match is_gang {
            true => vec![named],
            false => named.into_iter().map(|task| vec![task]).collect(),
        };
        for tasks in groups {
            let plan = RunPlan {
                submission: submission.clone(),
                repeatable,
                admitted_ms,
                tasks,
            };
            let port = RunnerPort::new(self.shared.ledger.clone(), self.number, epoch, record);
            let runner = TaskRunner::new(self.shared.clone(), port, plan, cancelled.clone());
            tokio::spawn(runner.run());
        }
    }

    fn call(&mut self, call: LedgerCall, reply: oneshot::Sender<LedgerAnswer>) {
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

    fn submit(
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
                let refusal = match checked {
                    Err(reason) => Some(reason),
                    // A store that takes no writes would hold the caller up to the end of its wait.
                    Ok(_) if owned.is_store_down => Some(NotRunReason::StoreUnavailable),
                    Ok(_) => None,
                };
                match refusal {
                    Some(reason) => {
                        let _ = owned.partition.refuse(record, reason, "", now_ms);
                    }
                    None => self.start_new(record),
                }
                self.answer_unstored(record);
            }
            Admission::Existing { record } => {
                owned.answers.entry(record).or_default().push(reply);
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
    fn check(&self, submission: &Submission) -> Result<AdmitSpec, NotRunReason> {
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

    fn start_new(&mut self, record: RecordKey) {
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
    fn answer_unstored(&mut self, record: RecordKey) {
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

    fn wait_over(&mut self, customer: &str, key: &str, reply: oneshot::Sender<LedgerAnswer>) {
        let now_ms = self.wall_ms();
        let Some(owned) = &mut self.owned else {
            return;
        };
        let Some(record) = owned.partition.find(customer, key) else {
            return;
        };
        let answer = if owned.is_committed(record) {
            owned.reply(record)
        } else {
            if owned.is_store_down {
                let reason = NotRunReason::StoreUnavailable;
                let _ = owned.partition.refuse(record, reason, "", now_ms);
            }
            owned.reply_unstored(record)
        };
        let _ = reply.send(LedgerAnswer::Reply(answer));
    }

    fn query(&mut self, customer: &str, key: &str, reply: oneshot::Sender<LedgerAnswer>) {
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        let is_fresh = owned.partition.is_fresh(now);
        match owned.partition.find(customer, key) {
            Some(record) if is_fresh || !partition_is_open(&owned.partition, record) => {
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

    fn cancel(&mut self, customer: &str, key: &str, reply: oneshot::Sender<LedgerAnswer>) {
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

    fn change(
        &mut self,
        epoch: u64,
        record: RecordKey,
        change: TaskChange,
        reply: oneshot::Sender<ChangeDone>,
    ) {
        let now_ms = self.wall_ms();
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.partition.epoch() != epoch {
            return;
        }
        let task = change.first_task();
        let made = match change {
            TaskChange::Placed(tasks) => {
                let mut last = Ok(owned.partition.last_stamp());
                for (task, worker) in &tasks {
                    last = last.and(owned.partition.mark_placed(record, *task, worker, now_ms));
                }
                last
            }
            TaskChange::Ended {
                task,
                state,
                result,
                reason,
            } => match reason {
                Some(reason) if state == TaskState::NotRun => {
                    owned.partition.refuse(record, reason, "", now_ms)
                }
                _ => owned
                    .partition
                    .mark_task(record, task, state, &result, now_ms),
            },
            TaskChange::Retry { task, cause } => {
                owned.partition.retry_task(record, task, cause, now_ms)
            }
            TaskChange::Absent { task } => owned.partition.mark_absent(record, task, now_ms),
        };
        let Ok(stamp) = made else {
            // The change came too late, for instance after a cancellation. The dropped channel tells
            // the runner to stop.
            return;
        };
        let done = owned.next_step(record, task);
        let waiter = CommitWaiter::Change { done, reply };
        owned.commits.entry(stamp).or_default().push(waiter);
    }

    fn settle(&mut self) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let committed = owned.partition.committed();
        while let Some(entry) = owned.commits.first_entry() {
            if *entry.key() > committed {
                break;
            }
            for waiter in entry.remove() {
                owned.wake(waiter);
            }
        }
        let partition = &owned.partition;
        let finished = |record: &RecordKey| {
            partition
                .stamp(*record)
                .is_none_or(|stamp| stamp <= committed)
                && partition
                    .record(*record)
                    .is_none_or(|kept| kept.outcome().is_final())
        };
        let ready: Vec<RecordKey> = owned.answers.keys().copied().filter(finished).collect();
        for record in ready {
            let reply = owned.reply(record);
            for waiter in owned.answers.remove(&record).unwrap_or_default() {
                let _ = waiter.send(LedgerAnswer::Reply(reply.clone()));
            }
            owned.partition.release_results(record);
        }
        let is_open = |record: &RecordKey| partition_is_open(&owned.partition, *record);
        owned.signals.retain(|record, _| is_open(record));
    }

    fn flush(&mut self) {
        let (now, now_ms) = (self.now(), self.wall_ms());
        let retention = self.shared.view().map(|view| view.retention());
        let Some(owned) = &mut self.owned else {
            return;
        };
        if let Some(retention) = retention {
            owned.partition.set_options(LedgerOptions {
                partitions: PARTITIONS,
                retention_ms: retention.as_millis() as u64,
            });
        }
        let Some(flush) = owned.partition.begin_flush(now, now_ms) else {
            return;
        };
        let epoch = owned.partition.epoch();
        let shared = self.shared.clone();
        let number = self.number;
        let key = self.key();
        tokio::spawn(async move {
            let store = shared.platform.store();
            let end = match store
                .put(&key, flush.if_revision, flush.body, STORE_LIMIT)
                .await
            {
                Ok(StoreWrite::Written(revision)) => FlushEnd::Written { revision },
                Ok(StoreWrite::Conflict(_)) => FlushEnd::Conflict,
                Err(error) if error.is_certain() => FlushEnd::NotSent,
                Err(_) => FlushEnd::Unknown,
            };
            shared.metrics.stored(match end {
                FlushEnd::Written { .. } => "written",
                FlushEnd::Conflict => "conflict",
                FlushEnd::NotSent => "not_sent",
                FlushEnd::Unknown => "unknown",
            });
            shared
                .ledger
                .send(number, PartitionMessage::Flushed { epoch, end });
        });
    }

    fn flushed(&mut self, epoch: u64, end: FlushEnd) {
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.partition.epoch() != epoch {
            return;
        }
        owned.partition.end_flush(end, now);
        let is_down = matches!(end, FlushEnd::NotSent | FlushEnd::Unknown);
        if is_down != owned.is_store_down {
            owned.is_store_down = is_down;
            let code = if is_down {
                EventCode::StoreDown
            } else {
                EventCode::StoreUp
            };
            code.log(format_args!("partition={} end={end:?}", self.number));
        }
    }

    /// Reads the value where that is due: to decide a write without reply, or as a candidate.
    fn look(&mut self) {
        let now = self.now();
        if self.is_reading || now < self.next_look || self.hand_over.is_some() {
            return;
        }
        let is_due = match &self.owned {
            Some(owned) => owned.partition.needs_read_back(),
            None => self.candidate_rank().is_some(),
        };
        if !is_due {
            if self.owned.is_none() {
                self.next_look = now + CANDIDATE_EVERY;
            }
            return;
        }
        self.next_look = now + CANDIDATE_EVERY;
        self.is_reading = true;
        let shared = self.shared.clone();
        let number = self.number;
        let key = self.key();
        tokio::spawn(async move {
            let found = shared.platform.store().get(&key, STORE_LIMIT).await;
            shared.ledger.send(number, PartitionMessage::Read { found });
        });
    }

    fn read(&mut self, found: Option<StoreValue>) {
        let revision = found.as_ref().map_or(0, |value| value.revision);
        let image = match found
            .map(|value| PartitionImage::decode(&value.body))
            .transpose()
        {
            Ok(image) => image,
            Err(error) => {
                log::error!("ledger partition {} is unreadable: {error}", self.number);
                return;
            }
        };
        let now = self.now();
        if let Some(owned) = &mut self.owned {
            if owned.partition.needs_read_back() {
                let found = image.map(|image| (revision, image));
                let result = owned.partition.read_back(found, now);
                owned.is_store_down &= result != ReadBack::Written;
                EventCode::WriteReadBack
                    .log(format_args!("partition={} result={result:?}", self.number));
            }
            return;
        }
        let addr = image.as_ref().map(|image| image.owner.addr.clone());
        self.owner = addr.filter(|addr| !addr.is_empty());
        let is_free = image.is_none() || self.owner.is_none();
        let Some(rank) = self.candidate_rank() else {
            return;
        };
        let since = match &self.seen {
            Some(seen) if seen.revision == revision => seen.since,
            _ => now,
        };
        self.seen = Some(SeenRevision { revision, since });
        let patience = match is_free && rank == 0 {
            true => Duration::ZERO,
            false => TAKE_OVER_AFTER + CANDIDATE_STEP * rank as u32,
        };
        if now.saturating_duration_since(since) >= patience {
            self.take_over(image, revision);
        }
    }

    fn take_over(&mut self, image: Option<PartitionImage>, revision: u64) {
        self.takeovers += 1;
        let settings = &self.shared.settings;
        let owner = LedgerOwner {
            id: settings.id.clone(),
            addr: settings.peer_address().to_string(),
            writer: format!("{}.{}", self.shared.owner(), self.takeovers),
        };
        let partition = LedgerPartition::take_over(image, revision, owner, self.now());
        self.owned = Some(OwnedPartition {
            partition,
            is_announced: false,
            is_store_down: false,
            commits: BTreeMap::new(),
            answers: HashMap::new(),
            signals: HashMap::new(),
        });
        self.flush();
    }

    fn candidate_rank(&self) -> Option<usize> {
        // Work could not be started without a manifest.
        self.shared.view()?;
        let candidates = self.shared.members.borrow().candidates(self.number);
        candidates.iter().position(|(_, is_self)| *is_self)
    }

    fn key(&self) -> String {
        format!("ledger/{}", self.number)
    }

    fn status(&self) -> PartitionStatus {
        let mut status = PartitionStatus {
            partition: self.number,
            owner: self.owner.clone(),
            ..PartitionStatus::default()
        };
        if let Some(owned) = &self.owned {
            status.is_owned = owned.is_announced;
            status.records = owned.partition.len();
            status.bytes = owned.partition.size();
            status.open_tasks = owned.partition.open_tasks().count();
        }
        status
    }
}

/// What is admitted of a submission that the manifest does not know, only to be refused for good.
const UNKNOWN_WORK: AdmitSpec = AdmitSpec {
    class: WorkClass::Order,
    tasks: 1,
    repeatable: false,
    expires_at_ms: 0,
    revision: 0,
};

fn partition_is_open(partition: &LedgerPartition, record: RecordKey) -> bool {
    partition
        .record(record)
        .is_some_and(|kept| !kept.outcome().is_final())
}

impl OwnedPartition {
    fn is_committed(&self, record: RecordKey) -> bool {
        self.partition
            .stamp(record)
            .is_none_or(|stamp| stamp <= self.partition.committed())
    }

    fn answer_at_commit(&mut self, record: RecordKey, reply: oneshot::Sender<LedgerAnswer>) {
        let stamp = self
            .partition
            .stamp(record)
            .unwrap_or_else(|| self.partition.committed());
        let waiter = CommitWaiter::Answer { record, reply };
        self.commits.entry(stamp).or_default().push(waiter);
    }

    /// Returns the reply about a record that is not in the store.
    ///
    /// It is never "not run", since a refusal in memory dies with this process, and the next owner of
    /// the partition would run a duplicate.
    fn reply_unstored(&self, record: RecordKey) -> WorkReply {
        let key = self.reply(record).key;
        let mut reply = WorkReply::unknown(&key, "the store does not take the record");
        reply.retry_after_ms = Some(STORE_RETRY_MS);
        reply
    }

    /// Returns the reply for the caller, in which workers have their names only.
    fn reply(&self, record: RecordKey) -> WorkReply {
        let mut reply = self.partition.reply(record);
        for worker in &mut reply.workers {
            *worker = PlacedWorker::parse(worker).name;
        }
        reply
    }

    fn next_step(&self, record: RecordKey, task: Option<TaskKey>) -> ChangeDone {
        let step = || {
            let task = task?;
            let kept = self.partition.record(record)?;
            let current = kept.tasks.get(task.task as usize)?;
            let next = TaskKey {
                task: task.task,
                attempt: current.attempt,
            };
            let id = kept.task_id(next)?;
            (current.state == TaskState::Waiting).then_some(ChangeDone::Waiting { task: next, id })
        };
        step().unwrap_or(ChangeDone::Settled)
    }

    fn wake(&self, waiter: CommitWaiter) {
        match waiter {
            CommitWaiter::Answer { record, reply } => {
                let answer = self.reply(record);
                let _ = reply.send(LedgerAnswer::Reply(answer));
            }
            CommitWaiter::Reused { key, reply } => {
                let reason = NotRunReason::KeyReused;
                let detail = "the key was used before with another customer, workload or payload";
                let answer = WorkReply::not_run(&key, reason, detail);
                let _ = reply.send(LedgerAnswer::Reply(answer));
            }
            CommitWaiter::Change { done, reply } => {
                let _ = reply.send(done);
            }
        }
    }
}
