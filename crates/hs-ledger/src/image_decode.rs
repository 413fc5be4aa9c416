//! Decoding of store values, record by record.

use std::collections::HashSet;

use hs_wire::lenient;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    ImageError, LedgerRecord, LedgerTask, OwnerAddress, PartitionImage, TaskState, UnreadableRecord,
};

/// Maximum of the counters of a record, half of their range.
const MAX_SMALL_COUNTER: u64 = u32::MAX as u64 / 2;

/// A store value whose records are not interpreted yet.
#[derive(Deserialize)]
struct RawImage {
    epoch: u64,
    owner: OwnerAddress,
    writer: String,
    seq: u64,
    #[serde(default)]
    released: bool,
    records: Vec<Box<RawValue>>,
}

/// Decodes a store value.
pub(crate) fn decode_image(body: &[u8]) -> Result<PartitionImage, ImageError> {
    let raw: RawImage = serde_json::from_slice(body)?;
    check_counter("epoch", raw.epoch, u64::MAX / 2)?;
    check_counter("sequence number", raw.seq, u64::MAX / 2)?;
    let mut image = PartitionImage {
        epoch: raw.epoch,
        owner: raw.owner,
        writer: raw.writer,
        seq: raw.seq,
        released: raw.released,
        records: Vec::with_capacity(raw.records.len()),
        unreadable: Vec::new(),
    };
    let repeated = repeated_identities(&raw.records);
    for record in raw.records {
        match decode_record(record.get(), &repeated) {
            Ok(record) => image.records.push(record),
            Err(cause) => image.unreadable.push(UnreadableRecord {
                customer: lenient::field(record.get(), "c"),
                key: lenient::field(record.get(), "k"),
                text: record.get().to_owned(),
                cause,
            }),
        }
    }
    Ok(image)
}

/// Customer and key of a record.
type Identity = (String, String);

/// Returns the identities that several records have. It is not known which of them is true, so that
/// none may be used: the work of each would run.
fn repeated_identities(records: &[Box<RawValue>]) -> HashSet<Identity> {
    let mut seen = HashSet::new();
    let identities = records.iter().filter_map(|record| identity(record.get()));
    identities
        .filter(|identity| !seen.insert(identity.clone()))
        .collect()
}

fn identity(text: &str) -> Option<Identity> {
    Some((lenient::field(text, "c")?, lenient::field(text, "k")?))
}

/// Decodes a record, or returns why it can't be used.
fn decode_record(text: &str, repeated: &HashSet<Identity>) -> Result<LedgerRecord, String> {
    let record: LedgerRecord = serde_json::from_str(text).map_err(|error| error.to_string())?;
    if identity(text).is_some_and(|identity| repeated.contains(&identity)) {
        return Err("the key has several records".to_owned());
    }
    if record.tasks.is_empty() {
        return Err("the record has no task".to_owned());
    }
    check_record(&record).map_err(|error| error.to_string())?;
    match record.tasks.iter().all(is_consistent) {
        true => Ok(record),
        false => Err("the state of a task contradicts its worker".to_owned()),
    }
}

/// Checks the counters that an owner raises. No partition reaches half of their range, so a higher
/// value was not written by an owner.
fn check_record(record: &LedgerRecord) -> Result<(), ImageError> {
    check_counter("salt", record.salt.into(), MAX_SMALL_COUNTER)?;
    let mut attempts = record.tasks.iter().map(|task| task.attempt);
    attempts.try_for_each(|attempt| check_counter("attempt", attempt.into(), MAX_SMALL_COUNTER))
}

/// Returns whether a task has a worker if and only if it has been placed. One that has lost its state
/// would count as waiting, and would be started a second time.
fn is_consistent(task: &LedgerTask) -> bool {
    match task.state {
        TaskState::Waiting => task.worker.is_empty(),
        TaskState::Placed => !task.worker.is_empty(),
        TaskState::Done
        | TaskState::Failed
        | TaskState::NotRun
        | TaskState::Unknown
        | TaskState::Cancelled => true,
    }
}

fn check_counter(counter: &'static str, value: u64, max: u64) -> Result<(), ImageError> {
    match value <= max {
        true => Ok(()),
        false => Err(ImageError::CounterRange { counter, value }),
    }
}
