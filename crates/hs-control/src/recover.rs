//! Reads the state of a cell back from the store.

use hs_event::EventCode;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{Cell, JobId, JobOutcome, JobRecord, JobSpec};
use serde::{Deserialize, Serialize};

use crate::keys::{self, IntakeKey};
use crate::port::{Platform, PortError, StoreItem, StorePort};

/// Time that a page may take before it is asked for again.
const PAGE_LIMIT: Duration = Duration::from_millis(800);

/// Value of an accepted job's item.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum JobValue<Spec = JobSpec> {
    /// The job is not finished.
    #[serde(rename = "a")]
    Accepted(Spec),
    /// The job has ended.
    #[serde(rename = "e")]
    Ended(JobOutcome),
}

impl JobValue {
    /// Reads a value. Returns `None` if it is not readable.
    pub(crate) fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

/// What the store holds of a cell.
#[derive(Debug, Default)]
pub(crate) struct StoredCell {
    jobs: Vec<(JobId, JobValue)>,
    cancelled: Vec<JobId>,
    records: HashMap<JobId, JobRecord>,
    /// Revision from which changes of the intake have to be watched.
    pub intake_revision: u64,
}

/// Reads the state of the cell.
///
/// # Errors
///
/// Returns the store's error if a page can't be read.
pub(crate) async fn read_cell<S: StorePort>(store: &S) -> Result<StoredCell, PortError> {
    let mut cell = StoredCell::default();
    // Progress first: a job that ends in between is then read as ended, not as never placed.
    let (runs, _) = read_all(store, keys::RUN).await?;
    for item in runs {
        let id = item
            .key
            .strip_prefix(keys::RUN)
            .and_then(|id| id.parse().ok());
        let record = item.value.as_deref().map(serde_json::from_slice);
        match (id, record) {
            (Some(id), Some(Ok(record))) => {
                cell.records.insert(id, record);
            }
            _ => EventCode::RecordUnreadable.log(format_args!("key={}", item.key)),
        }
    }
    let (intake, revision) = read_all(store, keys::INTAKE).await?;
    cell.intake_revision = revision;
    for item in intake {
        match keys::parse_intake(&item.key) {
            Some(IntakeKey::Job(id)) => match item.value.as_deref().and_then(JobValue::parse) {
                Some(value) => cell.jobs.push((id, value)),
                None => EventCode::RecordUnreadable.log(format_args!("key={}", item.key)),
            },
            Some(IntakeKey::Cancel(id)) => cell.cancelled.push(id),
            None => EventCode::RecordUnreadable.log(format_args!("key={}", item.key)),
        }
    }
    Ok(cell)
}

/// Reads all items with a prefix, and a revision before which nothing is missed.
pub(crate) async fn read_all<S: StorePort>(
    store: &S,
    prefix: &str,
) -> Result<(Vec<StoreItem>, u64), PortError> {
    let mut items: Vec<StoreItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map_or("", |item| item.key.as_str());
        let page = store.range(prefix, after, PAGE_LIMIT).await?;
        revision.get_or_insert(page.revision);
        let empty = page.items.is_empty();
        items.extend(page.items);
        if !page.has_more || empty {
            return Ok((items, revision.unwrap_or(0)));
        }
    }
}

impl StoredCell {
    /// Puts everything into a cell whose workers are known.
    pub(crate) fn restore<P: Platform>(self, cell: &mut Cell, platform: &P, lease_end: Instant) {
        let now = platform.now();
        let now_ms = platform.unix_ms();
        let empty = JobRecord::default();
        for (id, value) in self.jobs {
            match value {
                JobValue::Ended(outcome) => cell.add_ended(id, outcome, now),
                JobValue::Accepted(spec) => {
                    let record = self.records.get(&id).unwrap_or(&empty);
                    cell.restore(id, Arc::new(spec), record, lease_end, now, now_ms);
                }
            }
        }
        for id in self.cancelled {
            cell.cancel(id);
        }
    }
}
