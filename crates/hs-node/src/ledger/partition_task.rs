//! The task of one ledger partition: candidate, then owner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_event::EventCode;
use hs_ledger::{FlushEnd, LedgerOptions};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use super::owned::OwnedPartition;
use super::{PARTITION_COUNT, PartitionMessage, PartitionStatus};
use crate::port::{ClockPort, Platform, StorePort, StoreWrite};
use crate::shared::NodeShared;

/// Longest time for one store call. A slow store shall not be taken for one that is down.
pub(super) const STORE_LIMIT: Duration = Duration::from_secs(2);

/// Longest sleep of the task.
const IDLE_WAKE: Duration = Duration::from_secs(1);

pub(super) struct SeenRevision {
    pub(super) revision: u64,
    pub(super) since: Instant,
}

/// Owns one ledger partition, or watches it as a candidate.
pub struct PartitionTask<P: Platform> {
    pub(super) shared: Arc<NodeShared<P>>,
    pub(super) number: u32,
    receiver: mpsc::UnboundedReceiver<PartitionMessage>,
    pub(super) owned: Option<OwnedPartition>,
    pub(super) owner: Option<String>,
    pub(super) seen: Option<SeenRevision>,
    pub(super) next_look: Instant,
    pub(super) is_reading: bool,
    pub(super) takeovers: u32,
    pub(super) hand_over: Option<oneshot::Sender<()>>,
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

    pub(super) fn now(&self) -> Instant {
        self.shared.platform.clock().now()
    }

    pub(super) fn wall_ms(&self) -> u64 {
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
            PartitionMessage::WaitExpired {
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
            PartitionMessage::Release { done } => {
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
            let code = match self.hand_over {
                Some(_) => EventCode::PartitionReleased,
                None => EventCode::PartitionLost,
            };
            code.log(format_args!("partition={}", self.number));
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

    fn settle(&mut self) {
        if let Some(owned) = &mut self.owned {
            owned.settle();
        }
    }

    pub(super) fn flush(&mut self) {
        let (now, now_ms) = (self.now(), self.wall_ms());
        let retention = self.shared.view().map(|view| view.retention());
        let Some(owned) = &mut self.owned else {
            return;
        };
        if let Some(retention) = retention {
            owned.partition.set_options(LedgerOptions {
                partitions: PARTITION_COUNT,
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
                Err(error) if error.had_no_effect() => FlushEnd::NotSent,
                Err(_) => FlushEnd::Unknown,
            };
            shared.metrics.record_store_write(match end {
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
