//! Reads of the store value of the partition, and the takeover by a candidate.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hs_event::EventCode;
use hs_ledger::{
    ImageError, LedgerOwner, LedgerPartition, PartitionHead, PartitionImage, ReadBackOutcome, Stamp,
};

use super::owned::OwnedPartition;
use super::partition_task::{STORE_TIMEOUT, SeenRevision};
use super::{PartitionMessage, PartitionTask};
use crate::port::{Platform, StorePort, StoreValue};
use crate::supervise::catch_panic;

/// Interval between reads of the partition by a candidate.
const CANDIDATE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a write by the owner after which the first candidate takes over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Additional delay for each further candidate, so that candidates do not race.
const CANDIDATE_STAGGER: Duration = Duration::from_millis(500);

impl<P: Platform> PartitionTask<P> {
    /// Starts a read of the value if one is due: as the owner, to determine whether a write without
    /// a reply took effect; as a candidate, to watch the owner.
    pub(super) fn read_if_due(&mut self) {
        let now = self.now();
        if self.is_reading || now < self.next_read || self.release_done.is_some() {
            return;
        }
        let is_due = match &self.owned {
            Some(owned) => owned.partition.needs_read_back(),
            None => self.candidate_rank().is_some(),
        };
        if !is_due {
            if self.owned.is_none() {
                self.next_read = now + CANDIDATE_READ_INTERVAL;
            }
            return;
        }
        self.next_read = now + CANDIDATE_READ_INTERVAL;
        self.is_reading = true;
        let shared = self.shared.clone();
        let number = self.number;
        let key = self.store_key();
        tokio::spawn(async move {
            let store = shared.platform.store().clone();
            let read = async move { store.get(&key, STORE_TIMEOUT).await };
            let found = catch_panic(&"store read", read).await;
            shared.ledger.send(number, PartitionMessage::Read { found });
        });
    }

    /// Handles the value that was read, as the owner or as a candidate.
    pub(super) fn handle_read(&mut self, found: Option<StoreValue>) {
        let result = match self.owned {
            Some(_) => self.read_back(found),
            None => self.check_current_owner(found),
        };
        match result {
            Ok(()) => self.unreadable = None,
            Err(error) => self.log_unreadable(&error),
        }
    }

    /// Logs that the store value can't be decoded, once for each cause. It is read once a second.
    fn log_unreadable(&mut self, error: &ImageError) {
        let cause = error.to_string();
        if self.unreadable.as_ref() != Some(&cause) {
            EventCode::PartitionUnreadable.log(format_args!(
                "partition={} cause=\"{cause:.200}\"",
                self.number
            ));
            self.unreadable = Some(cause);
        }
    }

    /// Determines from the value in the store whether a write whose reply was lost took effect.
    fn read_back(&mut self, found: Option<StoreValue>) -> Result<(), ImageError> {
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return Ok(());
        };
        if owned.partition.needs_read_back() {
            let result = owned.partition.read_back(decode(found)?, now);
            owned.is_store_down &= result != ReadBackOutcome::Written;
            EventCode::WriteReadBack
                .log(format_args!("partition={} result={result:?}", self.number));
        }
        Ok(())
    }

    /// Checks as a candidate whether the owner still writes, and takes over if it does not.
    fn check_current_owner(&mut self, found: Option<StoreValue>) -> Result<(), ImageError> {
        let revision = found.as_ref().map_or(0, |value| value.revision);
        let head = found
            .as_ref()
            .map(|value| PartitionHead::decode(&value.body))
            .transpose()?;
        let is_unowned = head.as_ref().is_none_or(|head| head.released);
        self.owner = head.filter(|_| !is_unowned).map(|head| head.owner.addr);
        let Some(rank) = self.candidate_rank() else {
            return Ok(());
        };
        let now = self.now();
        let since = match &self.last_seen {
            Some(seen) if seen.revision == revision => seen.since,
            _ => now,
        };
        self.last_seen = Some(SeenRevision { revision, since });
        let base_delay = if is_unowned {
            Duration::ZERO
        } else {
            TAKEOVER_TIMEOUT
        };
        let takeover_delay = base_delay + CANDIDATE_STAGGER * rank as u32;
        if now.saturating_duration_since(since) >= takeover_delay {
            let image = decode(found)?.map(|(_, image)| image);
            self.take_over(image, revision);
        }
        Ok(())
    }

    /// Takes the partition over from the given image. The ownership begins once the first write is
    /// committed.
    pub(super) fn take_over(&mut self, image: Option<PartitionImage>, revision: u64) {
        let settings = &self.shared.settings;
        let owner = LedgerOwner {
            id: settings.id.clone(),
            addr: settings.peer_address().to_string(),
            writer: self.shared.next_writer(),
        };
        let partition = LedgerPartition::take_over(image, revision, owner, self.now());
        self.owned = Some(OwnedPartition {
            partition,
            is_active: false,
            is_store_down: false,
            commit_waiters: BTreeMap::new(),
            outcome_waiters: HashMap::new(),
            cancel_signals: HashMap::new(),
            processed_commit: Stamp::ZERO,
        });
        self.flush();
    }

    /// Returns the rank of this process among the candidates of the partition, or `None` if it is
    /// not one or has no manifest.
    pub(super) fn candidate_rank(&self) -> Option<usize> {
        // Without a manifest, this process could not start any work.
        self.shared.view()?;
        let candidates = self.shared.members.borrow().candidates(self.number);
        candidates.iter().position(|(_, is_self)| *is_self)
    }

    pub(super) fn store_key(&self) -> String {
        format!("ledger/{}", self.number)
    }
}

fn decode(found: Option<StoreValue>) -> Result<Option<(u64, PartitionImage)>, ImageError> {
    let decode = |value: StoreValue| Ok((value.revision, PartitionImage::decode(&value.body)?));
    found.map(decode).transpose()
}
