//! Reads of the partition's value, and the takeover by a candidate.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hs_event::EventCode;
use hs_ledger::{
    ImageError, LedgerOwner, LedgerPartition, PartitionHead, PartitionImage, ReadBack, Stamp,
};

use super::owned::OwnedPartition;
use super::partition_task::{STORE_LIMIT, SeenRevision};
use super::{PartitionMessage, PartitionTask};
use crate::port::{Platform, StorePort, StoreValue};

/// Time between two looks of a candidate at the partition.
const CANDIDATE_EVERY: Duration = Duration::from_secs(1);

/// Time without a write of the owner after which the first candidate takes over.
const TAKE_OVER_AFTER: Duration = Duration::from_secs(3);

/// Additional time for each further candidate, so that they don't race.
const CANDIDATE_STEP: Duration = Duration::from_millis(500);

impl<P: Platform> PartitionTask<P> {
    /// Reads the value where that is due: to decide a write without reply, or as a candidate.
    pub(super) fn look(&mut self) {
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

    pub(super) fn read(&mut self, found: Option<StoreValue>) {
        let result = match self.owned {
            Some(_) => self.read_back(found),
            None => self.read_head(found),
        };
        if let Err(error) = result {
            log::error!("ledger partition {} is unreadable: {error}", self.number);
        }
    }

    /// Decides a write whose reply was lost.
    fn read_back(&mut self, found: Option<StoreValue>) -> Result<(), ImageError> {
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return Ok(());
        };
        if owned.partition.needs_read_back() {
            let result = owned.partition.read_back(decode(found)?, now);
            owned.is_store_down &= result != ReadBack::Written;
            EventCode::WriteReadBack
                .log(format_args!("partition={} result={result:?}", self.number));
        }
        Ok(())
    }

    /// Looks at the owner as a candidate, and takes over if it is gone.
    fn read_head(&mut self, found: Option<StoreValue>) -> Result<(), ImageError> {
        let revision = found.as_ref().map_or(0, |value| value.revision);
        let head = found
            .as_ref()
            .map(|value| PartitionHead::decode(&value.body))
            .transpose()?;
        let is_free = head.as_ref().is_none_or(|head| head.released);
        self.owner = head.filter(|_| !is_free).map(|head| head.owner.addr);
        let Some(rank) = self.candidate_rank() else {
            return Ok(());
        };
        let now = self.now();
        let since = match &self.seen {
            Some(seen) if seen.revision == revision => seen.since,
            _ => now,
        };
        self.seen = Some(SeenRevision { revision, since });
        let first_wait = if is_free {
            Duration::ZERO
        } else {
            TAKE_OVER_AFTER
        };
        let patience = first_wait + CANDIDATE_STEP * rank as u32;
        if now.saturating_duration_since(since) >= patience {
            let image = decode(found)?.map(|(_, image)| image);
            self.take_over(image, revision);
        }
        Ok(())
    }

    pub(super) fn take_over(&mut self, image: Option<PartitionImage>, revision: u64) {
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
            settled: Stamp::ZERO,
        });
        self.flush();
    }

    pub(super) fn candidate_rank(&self) -> Option<usize> {
        // Work could not be started without a manifest.
        self.shared.view()?;
        let candidates = self.shared.members.borrow().candidates(self.number);
        candidates.iter().position(|(_, is_self)| *is_self)
    }

    pub(super) fn key(&self) -> String {
        format!("ledger/{}", self.number)
    }
}

fn decode(found: Option<StoreValue>) -> Result<Option<(u64, PartitionImage)>, ImageError> {
    let decode = |value: StoreValue| Ok((value.revision, PartitionImage::decode(&value.body)?));
    found.map(decode).transpose()
}
