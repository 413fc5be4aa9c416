//! Reads of the partition's value, and the takeover by a candidate.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hs_event::EventCode;
use hs_ledger::{LedgerOwner, LedgerPartition, PartitionImage, ReadBack, Stamp};

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
