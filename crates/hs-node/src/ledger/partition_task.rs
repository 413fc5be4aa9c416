//! The task of one ledger partition, as a candidate or as the owner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_event::EventCode;
use hs_ledger::{FlushOutcome, LedgerOptions};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use super::owned::OwnedPartition;
use super::{PARTITION_COUNT, PartitionMessage, PartitionStatus};
use crate::port::{ClockPort, Platform, StorePort, StoreWrite};
use crate::shared::NodeShared;
use crate::supervise::{TaskInbox, catch_panic};

/// Timeout of one store call. It is long enough not to mistake a slow store for one that is down.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time between two runs of [`PartitionTask::advance`].
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Maximum number of log lines about unreadable records at a takeover.
const MAX_REPORTS: usize = 20;

/// A store revision that a candidate has read, and when it first read it.
pub(super) struct SeenRevision {
    pub(super) revision: u64,
    pub(super) since: Instant,
}

/// Owns one ledger partition, or watches it as a candidate.
pub struct PartitionTask<P: Platform> {
    pub(super) shared: Arc<NodeShared<P>>,
    pub(super) number: u32,
    receiver: TaskInbox<mpsc::UnboundedReceiver<PartitionMessage>>,
    pub(super) owned: Option<OwnedPartition>,
    /// Peer address of the owner, if known.
    pub(super) owner: Option<String>,
    pub(super) last_seen: Option<SeenRevision>,
    pub(super) next_read: Instant,
    pub(super) is_reading: bool,
    /// Why the store value could not be decoded when it was last read, as it was logged.
    pub(super) unreadable: Option<String>,
    /// Set once the release of the partition is requested; notified when it is complete.
    pub(super) release_done: Option<oneshot::Sender<()>>,
}

impl<P: Platform> PartitionTask<P> {
    /// Creates the task of the partition `number`, which starts as a candidate and handles the
    /// messages of `receiver`.
    pub fn new(
        shared: Arc<NodeShared<P>>,
        number: u32,
        receiver: TaskInbox<mpsc::UnboundedReceiver<PartitionMessage>>,
    ) -> Self {
        let next_read = shared.platform.clock().now();
        Self {
            shared,
            number,
            receiver,
            owned: None,
            owner: None,
            last_seen: None,
            next_read,
            is_reading: false,
            unreadable: None,
            release_done: None,
        }
    }

    /// Runs until every handle has been dropped or the partition is released.
    pub async fn run(mut self) {
        // After a panic, the process takes the partition over again like that of a dead owner.
        self.shared.ledger.set_owned(self.number, false);
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
                && let Some(done) = self.release_done.take()
            {
                let _ = done.send(());
                return;
            }
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.shared.platform.clock().now()
    }

    pub(super) fn wall_ms(&self) -> u64 {
        self.shared.platform.clock().wall_ms()
    }

    fn next_wake(&self) -> Instant {
        let now = self.now();
        let idle = now + MAX_SLEEP;
        match &self.owned {
            Some(owned) => owned
                .partition
                .next_flush(now)
                .map_or(idle, |flush| flush.min(idle)),
            None if self.is_reading => idle,
            None => self.next_read,
        }
    }

    fn handle(&mut self, message: PartitionMessage) {
        match message {
            PartitionMessage::Call { call, reply } => self.handle_call(call, reply),
            PartitionMessage::WaitExpired {
                customer,
                key,
                reply,
            } => self.wait_expired(&customer, &key, reply),
            PartitionMessage::Flushed { epoch, outcome } => self.flush_ended(epoch, outcome),
            PartitionMessage::Read { found } => {
                self.is_reading = false;
                if let Some(Ok(found)) = found {
                    self.handle_read(found);
                }
            }
            PartitionMessage::Change {
                epoch,
                record,
                change,
                reply,
            } => self.apply_change(epoch, record, change, reply),
            PartitionMessage::RunnerPanicked {
                epoch,
                record,
                tasks,
            } => self.replace_runner(epoch, record, &tasks),
            PartitionMessage::Release { done } => {
                self.release_done = Some(done);
                if let Some(owned) = &mut self.owned {
                    owned.partition.release();
                }
            }
            PartitionMessage::Status { reply } => {
                let _ = reply.send(self.status());
            }
        }
    }

    /// Performs what is due: drops a lost ownership, activates a confirmed one, notifies the
    /// waiters of committed changes, writes, and reads.
    fn advance(&mut self) {
        self.drop_if_lost();
        self.activate_if_owned();
        self.process_commits();
        self.flush();
        self.read_if_due();
    }

    fn drop_if_lost(&mut self) {
        if self
            .owned
            .as_ref()
            .is_some_and(|owned| owned.partition.is_lost())
        {
            // Runners and callers notice the loss by their closed channels.
            self.owned = None;
            self.last_seen = None;
            self.shared.ledger.set_owned(self.number, false);
            let code = match self.release_done {
                Some(_) => EventCode::PartitionReleased,
                None => EventCode::PartitionLost,
            };
            code.log(format_args!("partition={}", self.number));
        }
    }

    /// Starts to handle calls and resumes open tasks once the first write of a takeover is
    /// committed.
    fn activate_if_owned(&mut self) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.is_active || !owned.partition.is_owned() {
            return;
        }
        owned.is_active = true;
        EventCode::PartitionTaken.log(format_args!(
            "partition={} epoch={} records={}",
            self.number,
            owned.partition.epoch(),
            owned.partition.len(),
        ));
        for record in owned.partition.unreadable().iter().take(MAX_REPORTS) {
            EventCode::RecordDamaged.log(format_args!(
                "partition={} customer={:.64} key={:.64} cause=\"{:.200}\"",
                self.number,
                record.customer.as_deref().unwrap_or_default(),
                record.key.as_deref().unwrap_or_default(),
                record.cause,
            ));
        }
        self.owner = Some(self.shared.settings.peer_address().to_string());
        self.shared.ledger.set_owned(self.number, true);
        self.resume_open_tasks();
    }

    fn process_commits(&mut self) {
        if let Some(owned) = &mut self.owned {
            owned.process_commits();
        }
    }

    /// Starts the write to the store that is due, if any.
    pub(super) fn flush(&mut self) {
        let (now, now_ms) = (self.now(), self.wall_ms());
        let retention = self.shared.view().map(|view| view.retention());
        let Some(owned) = &mut self.owned else {
            return;
        };
        if let Some(retention) = retention {
            owned.partition.set_options(LedgerOptions {
                partition_count: PARTITION_COUNT,
                retention_ms: retention.as_millis() as u64,
            });
        }
        let Some(flush) = owned.partition.begin_flush(now, now_ms) else {
            return;
        };
        let epoch = owned.partition.epoch();
        let shared = self.shared.clone();
        let number = self.number;
        let key = self.store_key();
        tokio::spawn(async move {
            let store = shared.platform.store().clone();
            let write = async move {
                store
                    .put(&key, flush.if_revision, flush.body, STORE_TIMEOUT)
                    .await
            };
            let outcome = match catch_panic(&"store write", write).await {
                Some(Ok(StoreWrite::Written(revision))) => FlushOutcome::Written { revision },
                Some(Ok(StoreWrite::Conflict(_))) => FlushOutcome::Conflict,
                Some(Err(error)) if error.had_no_effect() => FlushOutcome::NotSent,
                Some(Err(_)) | None => FlushOutcome::Unknown,
            };
            shared.metrics.record_store_write(match outcome {
                FlushOutcome::Written { .. } => "written",
                FlushOutcome::Conflict => "conflict",
                FlushOutcome::NotSent => "not_sent",
                FlushOutcome::Unknown => "unknown",
            });
            shared
                .ledger
                .send(number, PartitionMessage::Flushed { epoch, outcome });
        });
    }

    /// Passes the outcome of a write to the partition, and logs when the store starts or stops
    /// accepting writes.
    fn flush_ended(&mut self, epoch: u64, outcome: FlushOutcome) {
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.partition.epoch() != epoch {
            return;
        }
        owned.partition.end_flush(outcome, now);
        let is_down = matches!(outcome, FlushOutcome::NotSent | FlushOutcome::Unknown);
        if is_down != owned.is_store_down {
            owned.is_store_down = is_down;
            let code = if is_down {
                EventCode::StoreDown
            } else {
                EventCode::StoreUp
            };
            code.log(format_args!("partition={} end={outcome:?}", self.number));
        }
    }

    fn status(&self) -> PartitionStatus {
        let mut status = PartitionStatus {
            partition: self.number,
            owner: self.owner.clone(),
            ..PartitionStatus::default()
        };
        if let Some(owned) = &self.owned {
            status.is_owned = owned.is_active;
            status.records = owned.partition.len();
            status.bytes = owned.partition.size_bytes();
            status.open_tasks = owned.partition.open_tasks().count();
        }
        status
    }
}
