//! Restores the state of a cell from the store.

use hs_event::{EventCode, LogText};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{
    Cell, JobChunks, JobEnd, JobId, JobRecord, JobSpec, RecordLog, SegmentState, StoredRecords,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::keys::{self, IntakeKey, ProgressKey};
use crate::large_record::ChunkedValue;
use crate::port::{Platform, PortError, StoreItem, StorePort};
use crate::work_portions::WorkPortions;

/// Timeout of reading one page in the first attempt.
pub(crate) const PAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Upper bound of the timeout of reading one page, which doubles with each attempt.
const MAX_PAGE_TIMEOUT: Duration = Duration::from_millis(6400);

/// Number of parts of the state that are read at once over a slow link or after a failed attempt, so that
/// confirmations of the claim do not wait for all of them.
const FEW_READS_AT_ONCE: usize = 2;

/// How the state of a cell is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadPace {
    reads_at_once: usize,
    page_timeout: Duration,
}

impl ReadPace {
    /// Returns the pace of the first attempt of a process.
    pub(crate) fn new(has_slow_link: bool) -> Self {
        Self {
            reads_at_once: match has_slow_link {
                true => FEW_READS_AT_ONCE,
                false => Semaphore::MAX_PERMITS,
            },
            page_timeout: PAGE_TIMEOUT,
        }
    }

    /// Returns the pace of the attempt after a failed one.
    pub(crate) fn next(self) -> Self {
        Self {
            reads_at_once: FEW_READS_AT_ONCE,
            page_timeout: (self.page_timeout * 2).min(MAX_PAGE_TIMEOUT),
        }
    }
}

/// Value of the item of an accepted job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum JobValue<Spec = JobSpec> {
    /// The job has not ended.
    #[serde(rename = "a")]
    Accepted(Spec),
    /// The job has ended.
    #[serde(rename = "e")]
    Ended(JobEnd),
}

impl JobValue {
    /// Decodes a value. Returns `None` if it is malformed.
    pub(crate) fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

/// The state of a cell as read from the store.
#[derive(Debug, Default)]
pub(crate) struct StoredCell {
    jobs: Vec<(JobId, JobValue)>,
    cancelled: Vec<JobId>,
    records: StoredRecords,
    /// Chunks of large records, by their numbers.
    chunks: BTreeMap<JobId, BTreeMap<u32, Vec<u8>>>,
    /// Jobs whose records are in chunks, and the numbers of these.
    chunked: BTreeMap<JobId, Range<u32>>,
    /// Revision after which changes of the intake must be watched so that none is missed.
    pub intake_revision: u64,
}

/// Reads the state of the cell. Its parts can be read in parallel, because no other owner can write to
/// the store meanwhile.
///
/// # Errors
///
/// Returns the store's error if a page can't be read.
pub(crate) async fn read_cell<S: StorePort>(
    store: &S,
    pace: ReadPace,
) -> Result<StoredCell, PortError> {
    let mut cell = StoredCell::default();
    let mut prefixes = vec![keys::RUN.to_owned(), keys::SEGMENT.to_owned()];
    prefixes.push(keys::CANCEL.to_owned());
    prefixes.extend(keys::job_prefixes());
    let mut reads = JoinSet::new();
    let turns = Arc::new(Semaphore::new(pace.reads_at_once));
    for prefix in prefixes {
        let store = store.clone();
        let turns = turns.clone();
        reads.spawn(async move {
            // The semaphore is never closed.
            let _turn = turns.acquire().await.ok();
            read_all(&store, &prefix, pace.page_timeout).await
        });
    }
    let mut revision = u64::MAX;
    let mut portions = WorkPortions::default();
    while let Some(read) = reads.join_next().await {
        let (items, read_at) = read.unwrap_or_else(|error| {
            Err(PortError::NoReply {
                operation: "state read",
                peer: "store".to_owned(),
                opened_at: None,
                cause: error.to_string(),
            })
        })?;
        revision = revision.min(read_at);
        for item in items {
            if !cell.add_item(&item) {
                EventCode::RecordUnreadable.log(format_args!("key={}", LogText(&item.key)));
            }
            portions.item_done().await;
        }
    }
    cell.join_chunks();
    cell.intake_revision = revision;
    Ok(cell)
}

/// Reads all items with a prefix, and returns them with a revision up to which no change is missing.
///
/// # Errors
///
/// Returns the store's error if a page can't be read, or has no items although more should follow: what was read so far
/// must not be taken for everything.
pub(crate) async fn read_all<S: StorePort>(
    store: &S,
    prefix: &str,
    page_timeout: Duration,
) -> Result<(Vec<StoreItem>, u64), PortError> {
    let mut items: Vec<StoreItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map_or("", |item| item.key.as_str());
        let page = store.range(prefix, after, page_timeout).await?;
        revision.get_or_insert(page.revision);
        let is_empty = page.items.is_empty();
        items.extend(page.items);
        match (page.has_more, is_empty) {
            (false, _) => return Ok((items, revision.unwrap_or(0))),
            (true, false) => {}
            (true, true) => {
                return Err(PortError::NoReply {
                    operation: "state read",
                    peer: "store".to_owned(),
                    opened_at: None,
                    cause: format!("a page of {prefix} has no items, and more follow"),
                });
            }
        }
    }
}

impl StoredCell {
    /// Adds an item. Returns whether it could be decoded.
    fn add_item(&mut self, item: &StoreItem) -> bool {
        let value = item.value.as_deref().unwrap_or_default();
        if item.key.starts_with(keys::RUN) {
            return match keys::parse_progress_key(&item.key) {
                Some(ProgressKey::Record(id)) => self.add_record(id, value),
                Some(ProgressKey::Chunk(id, number)) => {
                    let chunks = self.chunks.entry(id).or_default();
                    chunks.insert(number, value.to_vec());
                    true
                }
                None => false,
            };
        }
        if let Some(stamp) = item.key.strip_prefix(keys::SEGMENT) {
            let rows = serde_json::from_slice(value);
            let (Ok(stamp), Ok(rows)) = (stamp.parse(), rows) else {
                return false;
            };
            self.records.segments.insert(stamp, rows);
            return true;
        }
        match keys::parse_intake_key(&item.key) {
            Some(IntakeKey::Job(id)) => match JobValue::parse(value) {
                Some(value) => self.jobs.push((id, value)),
                None => return false,
            },
            Some(IntakeKey::Cancel(id)) => self.cancelled.push(id),
            None => return false,
        }
        true
    }

    fn add_record(&mut self, id: JobId, value: &[u8]) -> bool {
        if let Ok(record) = serde_json::from_slice(value) {
            self.records.records.insert(id, record);
            return true;
        }
        let Ok(chunked) = serde_json::from_slice::<ChunkedValue>(value) else {
            return false;
        };
        let end = chunked.first.saturating_add(chunked.chunks);
        self.chunked.insert(id, chunked.first..end);
        true
    }

    /// Decodes the records that are in chunks.
    fn join_chunks(&mut self) {
        for (id, chunks) in std::mem::take(&mut self.chunks) {
            let used = self.chunked.get(&id).cloned().unwrap_or_default();
            let job_chunks = JobChunks {
                stored: chunks.keys().copied().collect(),
                used: used.clone(),
            };
            self.records.chunks.insert(id, job_chunks);
            if used.is_empty() {
                continue;
            }
            let value = chunks.range(used.clone()).flat_map(|(_, chunk)| chunk);
            let value: Vec<u8> = value.copied().collect();
            match serde_json::from_slice(&value) {
                Ok(record) => {
                    self.records.records.insert(id, record);
                }
                Err(_) => EventCode::RecordUnreadable.log(format_args!(
                    "key={} chunks={}",
                    LogText(&keys::progress(id)),
                    used.len()
                )),
            }
        }
    }

    /// Restores jobs and runs in a cell whose workers are already known. Returns the log of which item
    /// holds which record.
    ///
    /// The cell must not be advanced before this has ended, since it does not know yet which runs the remaining
    /// jobs have.
    pub(crate) async fn restore<P: Platform>(
        self,
        cell: &mut Cell,
        platform: &P,
        lease_end: Instant,
    ) -> RecordLog {
        let now = platform.now();
        let now_ms = platform.unix_ms();
        let (mut log, mut states) = RecordLog::restore(self.records);
        let mut portions = WorkPortions::default();
        for (id, value) in self.jobs {
            let state = states.remove(&id);
            match (value, state) {
                (JobValue::Ended(end), _) => {
                    log.forget_job(id);
                    cell.restore_ended(id, end, lease_end, now);
                }
                (JobValue::Accepted(_), Some(SegmentState::Ended(end))) => {
                    cell.restore_ended(id, end, lease_end, now);
                }
                (JobValue::Accepted(spec), Some(SegmentState::Progress(record))) => {
                    cell.restore(id, Arc::new(spec), &record, lease_end, now, now_ms);
                }
                (JobValue::Accepted(spec), None) => {
                    let record = JobRecord::default();
                    cell.restore(id, Arc::new(spec), &record, lease_end, now, now_ms);
                }
            }
            portions.item_done().await;
        }
        // These are records of jobs whose own items have been deleted.
        for id in states.into_keys() {
            log.forget_job(id);
        }
        for id in self.cancelled {
            cell.cancel(id, now);
        }
        log
    }
}
