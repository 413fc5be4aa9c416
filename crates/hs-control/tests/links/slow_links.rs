//! Large records on a slow link to the store. A former owner has started all tasks, so that the record is large from the
//! beginning.

use hs_cell::{StampedRecord, StepRecord, TaskRecord};
use hs_control::SubmitReply;
use tokio::time::sleep;

use crate::large_records::{
    LARGE, SMALL, START_TIME, large_spec, put_chunks, start_count, start_with, stored_record,
    submit,
};
use crate::platform::FakePlatform;
use crate::process::{job_spec, put_job};

/// Number of steps and of tasks in each of the job whose runs are lost.
const LOST_STEPS: usize = 8;
const LOST_STEP: u16 = 4096;

/// Size of a value of the store in bytes.
const SLOW_VALUE_BYTES: usize = 256 << 10;

/// Speed of the link, on which the record takes more than 2 s.
const BYTES_PER_SECOND: usize = 400_000;

/// Stores a job whose tasks have all started on the worker, which has none of the runs: they start again, and the whole
/// record changes.
fn put_lost_runs(platform: &FakePlatform, max_value_bytes: usize) {
    put_job(platform, LARGE.0, Some("w1"));
    let key = format!("hs/run/{LARGE}");
    let record = platform.state().store.value(&key).expect("a record");
    let mut record: StampedRecord = serde_json::from_slice(&record).expect("a valid record");
    let steps = &mut record.record.steps;
    let task = steps[0].tasks[0].clone();
    steps[0].tasks = (0..LOST_STEP)
        .map(|index| TaskRecord {
            index,
            ..task.clone()
        })
        .collect();
    let first = steps[0].clone();
    *steps = (0..LOST_STEPS)
        .map(|step| StepRecord {
            step: u16::try_from(step).expect("few steps"),
            ..first.clone()
        })
        .collect();
    let spec = large_spec(LOST_STEPS, LOST_STEP);
    let job = serde_json::json!({ "a": spec }).to_string();
    platform.put(format!("hs/in/job/{LARGE}"), job.into_bytes());
    let record = serde_json::to_vec(&record).expect("a record");
    put_chunks(platform, LARGE, &record, max_value_bytes / 2, 0);
}

/// Guards against a cell that stops because the link of its owner is too slow for the record of one job: a transaction with
/// all of it was repeated for ever, and the claim was not confirmed meanwhile.
#[tokio::test(start_paused = true)]
async fn a_large_record_on_a_slow_link_stops_no_other_job() {
    let platform = FakePlatform::default();
    put_lost_runs(&platform, SLOW_VALUE_BYTES);
    platform.state().store.bytes_per_second = Some(BYTES_PER_SECOND);
    let process = start_with(&platform, SLOW_VALUE_BYTES).await;
    sleep(START_TIME).await;
    let accepted = submit(&process, SMALL, job_spec()).await;
    assert_eq!(accepted, SubmitReply::Accepted);
    sleep(2 * START_TIME).await;
    assert!(start_count(&platform) > 100, "the large job does not run");
    let keys = platform.state().store.keys(&format!("hs/run/{SMALL}"));
    assert_eq!(keys.len(), 1, "the small job has no record");
    let record = stored_record(&platform, LARGE).expect("a record in chunks");
    let tasks = || record.steps.iter().flat_map(|step| &step.tasks);
    assert_eq!(tasks().count(), LOST_STEPS * usize::from(LOST_STEP));
    let second_runs = tasks().filter(|task| task.run == 2).count();
    assert!(second_runs > 100, "{second_runs} second runs are recorded");
}

/// Guards against a cell that stops because the link of its owner became slow after the portions of a large record had
/// grown: a portion that takes longer than the timeout of a write is repeated.
#[tokio::test(start_paused = true)]
async fn a_link_that_becomes_slow_stops_no_other_job() {
    let platform = FakePlatform::default();
    put_lost_runs(&platform, SLOW_VALUE_BYTES);
    let process = start_with(&platform, SLOW_VALUE_BYTES).await;
    sleep(START_TIME).await;
    platform.state().store.bytes_per_second = Some(BYTES_PER_SECOND);
    sleep(START_TIME).await;
    let accepted = submit(&process, SMALL, job_spec()).await;
    assert_eq!(accepted, SubmitReply::Accepted);
    sleep(2 * START_TIME).await;
    let keys = platform.state().store.keys(&format!("hs/run/{SMALL}"));
    assert_eq!(keys.len(), 1, "the small job has no record");
}
