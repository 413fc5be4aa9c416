//! Jobs whose records exceed the size of a value of the store, and writes that the store never accepts.

use std::time::Duration;

use hs_cell::{
    CellOptions, JobId, JobOutcome, JobRecord, JobSpec, JobState, StampedRecord, StepId, StepSpec,
    TaskRun,
};
use hs_control::{AccessOptions, JobStateReply, SubmitReply};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::platform::{CallKind, FakePlatform, WorkerBehaviour};
use crate::process::{ELECTION_TIME, Process, job_spec, put_job};
use crate::store::CLAIM;

/// Size of a value of the store in bytes.
const VALUE_BYTES: usize = 4 << 10;

/// Number of tasks of a step of the large job. Its record takes some ten values of the store.
const LARGE_STEP: u16 = 300;

pub const LARGE: JobId = JobId(1);
pub const SMALL: JobId = JobId(2);

/// Time in which a job is accepted and started.
pub const START_TIME: Duration = Duration::from_secs(3);

/// Time in which a run that no worker has is started again.
const LOSS_TIME: Duration = Duration::from_secs(30);

/// Time in which a submission has to be answered that can never be accepted.
const REFUSAL_TIME: Duration = Duration::from_millis(50);

pub fn large_spec(steps: usize, count: u16) -> JobSpec {
    let step = StepSpec {
        count,
        estimate_ms: 3_000,
        ..StepSpec::default()
    };
    JobSpec {
        steps: vec![step; steps],
        ..job_spec()
    }
}

async fn start(platform: &FakePlatform) -> Process {
    start_with(platform, VALUE_BYTES).await
}

pub async fn start_with(platform: &FakePlatform, max_value_bytes: usize) -> Process {
    platform.state().store.max_value_bytes = Some(max_value_bytes);
    platform.state().keeps_started_runs = true;
    platform.add_worker("w1", 64_000, WorkerBehaviour::Answers);
    let cell = CellOptions {
        max_value_bytes,
        ..CellOptions::default()
    };
    let process = Process::start_cell(platform, AccessOptions::default(), cell).await;
    sleep(ELECTION_TIME).await;
    process
}

pub async fn submit(process: &Process, id: JobId, spec: JobSpec) -> SubmitReply {
    process.control.submit(id, spec, START_TIME).await
}

async fn state(process: &Process, id: JobId) -> JobStateReply {
    process.control.state(id, Duration::ZERO).await
}

pub fn start_count(platform: &FakePlatform) -> usize {
    let state = platform.state();
    let starts = state
        .calls
        .iter()
        .filter(|call| call.kind == CallKind::Start);
    starts.count()
}

/// Returns the record of a job, as the next owner joins it.
pub fn stored_record(platform: &FakePlatform, id: JobId) -> Option<JobRecord> {
    let state = platform.state();
    let numbers = state.store.value(&format!("hs/run/{id}"))?;
    let numbers: serde_json::Value = serde_json::from_slice(&numbers).ok()?;
    let (first, count) = (numbers["f"].as_u64()?, numbers["x"].as_u64()?);
    let numbers = first..first + count;
    let chunks = numbers.map(|number| state.store.value(&format!("hs/run/{id}/{number}")));
    let value: Option<Vec<Vec<u8>>> = chunks.collect();
    let record: StampedRecord = serde_json::from_slice(&value?.concat()).ok()?;
    Some(record.record)
}

/// Returns the fencing token of the owner, which each new owner raises.
fn claim_fence(platform: &FakePlatform) -> Option<u64> {
    let claim = platform.state().store.value(CLAIM)?;
    let claim: serde_json::Value = serde_json::from_slice(&claim).ok()?;
    claim["fence"].as_u64()
}

/// Stores a record in chunks of a size, numbered from `first` on. Returns the number that follows.
pub fn put_chunks(
    platform: &FakePlatform,
    id: JobId,
    record: &[u8],
    size: usize,
    first: usize,
) -> usize {
    let key = format!("hs/run/{id}");
    let chunks: Vec<&[u8]> = record.chunks(size).collect();
    let numbers = serde_json::json!({ "x": chunks.len(), "f": first });
    platform.put(key.clone(), numbers.to_string().into_bytes());
    for (number, chunk) in chunks.iter().enumerate() {
        platform.put(format!("{key}/{}", first + number), chunk.to_vec());
    }
    first + chunks.len()
}

/// Guards against a cell that stops because the record of one job exceeds a value of the store: its write was repeated for
/// ever, and no other job started.
#[tokio::test(start_paused = true)]
async fn a_job_with_a_large_record_stops_no_other() {
    let platform = FakePlatform::default();
    let process = start(&platform).await;
    let accepted = submit(&process, LARGE, large_spec(3, LARGE_STEP)).await;
    assert_eq!(accepted, SubmitReply::Accepted);
    sleep(START_TIME).await;
    assert!(start_count(&platform) > 100, "the large job does not run");
    let record = stored_record(&platform, LARGE).expect("a record in chunks");
    let tasks = record.steps.iter().map(|step| step.tasks.len());
    assert_eq!(tasks.sum::<usize>(), 3 * usize::from(LARGE_STEP));
    assert_eq!(
        submit(&process, SMALL, job_spec()).await,
        SubmitReply::Accepted
    );
    sleep(START_TIME).await;
    let keys = platform.state().store.keys(&format!("hs/run/{SMALL}"));
    assert_eq!(keys.len(), 1, "the small job has no record");
    assert_eq!(platform.state().store.rejections, 0);
}

/// Guards against chunks that stay in the store once the job has ended.
#[tokio::test(start_paused = true)]
async fn the_chunks_of_an_ended_job_are_deleted() {
    let platform = FakePlatform::default();
    let process = start(&platform).await;
    submit(&process, LARGE, large_spec(3, LARGE_STEP)).await;
    sleep(START_TIME).await;
    assert!(platform.state().store.keys("hs/run/").len() > 2);
    process.control.cancel(LARGE, None, START_TIME).await;
    sleep(START_TIME).await;
    let ended = JobStateReply::State(JobState::Ended(JobOutcome::Cancelled));
    assert_eq!(state(&process, LARGE).await, ended);
    assert!(platform.state().store.keys("hs/run/").is_empty());
}

/// Guards against an owner that starts running tasks again, because it does not join the chunks of their record, or joins
/// those of an earlier record too.
#[tokio::test(start_paused = true)]
async fn a_new_owner_joins_the_chunks_of_a_record() {
    struct Case {
        name: &'static str,
        /// Number of the first chunk.
        first: usize,
        /// Whether the item of the record names the chunks.
        is_complete: bool,
        starts: usize,
    }
    let cases = [
        Case {
            name: "all chunks",
            first: 0,
            is_complete: true,
            starts: 0,
        },
        Case {
            name: "all chunks, beside the number of others",
            first: 400,
            is_complete: true,
            starts: 0,
        },
        Case {
            name: "no record",
            first: 0,
            is_complete: false,
            starts: 1,
        },
    ];
    // A process whose handle is dropped would not let the paused time go on.
    let mut processes = Vec::new();
    for Case {
        name,
        first,
        is_complete,
        starts,
    } in cases
    {
        let platform = FakePlatform::default();
        put_job(&platform, LARGE.0, Some("w1"));
        let key = format!("hs/run/{LARGE}");
        let record = platform.state().store.value(&key).expect("a record");
        let next = put_chunks(&platform, LARGE, &record, 16, first);
        if !is_complete {
            platform.put(key.clone(), b"{\"x\":0}".to_vec());
        }
        let earlier = b"of an earlier record".to_vec();
        platform.put(format!("{key}/{next}"), earlier.clone());
        if let Some(number) = first.checked_sub(1) {
            platform.put(format!("{key}/{number}"), earlier);
        }
        let step = StepId {
            job: LARGE,
            occurrence: 0,
            step: 0,
        };
        let task = step.task(0);
        platform.report_run("w1", TaskRun { task, run: 1 });
        processes.push(start(&platform).await);
        sleep(START_TIME).await;
        assert_eq!(start_count(&platform), starts, "{name}");
    }
}

/// Guards against a record that the store never accepts: it may cost its own job, and not the cell.
#[tokio::test(start_paused = true)]
async fn a_refused_record_costs_one_job() {
    let platform = FakePlatform::default();
    let process = start(&platform).await;
    let rejected = format!("hs/run/{LARGE}");
    platform.state().store.rejected_keys.push(rejected);
    let both = tokio::join!(
        submit(&process, LARGE, job_spec()),
        submit(&process, SMALL, job_spec())
    );
    assert_eq!(both, (SubmitReply::Accepted, SubmitReply::Accepted));
    sleep(START_TIME).await;
    let failed = JobStateReply::State(JobState::Ended(JobOutcome::Failed));
    assert_eq!(state(&process, LARGE).await, failed);
    let keys = platform.state().store.keys(&format!("hs/run/{SMALL}"));
    assert_eq!(keys.len(), 1, "the other job has no record");
    assert_eq!(start_count(&platform), 1);
}

/// Guards against jobs that fail, or start twice, because the store accepts nothing, or not their records, for a while.
#[tokio::test(start_paused = true)]
async fn no_job_fails_while_the_store_rejects_writes_for_a_while() {
    struct Case {
        name: &'static str,
        rejected_key: String,
        /// Whether the job has started when the store begins to reject writes.
        has_started: bool,
        rejected_for: Duration,
    }
    let claim = CLAIM.to_owned();
    let cases = [
        Case {
            name: "the claim, after the start of the job",
            rejected_key: claim.clone(),
            has_started: true,
            rejected_for: START_TIME,
        },
        Case {
            name: "the claim, before the start of the job",
            rejected_key: claim,
            has_started: false,
            rejected_for: START_TIME,
        },
        Case {
            name: "the record, once",
            rejected_key: format!("hs/run/{SMALL}"),
            has_started: false,
            rejected_for: Duration::from_millis(60),
        },
    ];
    let mut processes = Vec::new();
    for Case {
        name,
        rejected_key,
        has_started,
        rejected_for,
    } in cases
    {
        let platform = FakePlatform::default();
        let process = start(&platform).await;
        let reject = || platform.state().store.rejected_keys.push(rejected_key);
        if has_started {
            submit(&process, SMALL, job_spec()).await;
            sleep(START_TIME).await;
            reject();
        } else {
            reject();
            submit(&process, SMALL, job_spec()).await;
        }
        sleep(rejected_for).await;
        assert!(platform.state().store.rejections > 0, "{name}");
        platform.state().store.rejected_keys.clear();
        sleep(START_TIME).await;
        let failed = JobStateReply::State(JobState::Ended(JobOutcome::Failed));
        assert_ne!(state(&process, SMALL).await, failed, "{name}");
        assert_eq!(start_count(&platform), 1, "{name}");
        processes.push(process);
    }
}

/// Guards against a job that fails because its row was refused twice, while the store refused the claim alone as well.
#[tokio::test(start_paused = true)]
async fn a_refusal_counts_only_if_the_claim_is_accepted() {
    let platform = FakePlatform::default();
    let process = start(&platform).await;
    // Twice the write with the record and the confirmation after it, and then an accepted confirmation.
    let rejections = [true, true, false, true, true, false];
    platform.state().store.claim_rejections.extend(rejections);
    submit(&process, SMALL, job_spec()).await;
    sleep(START_TIME).await;
    assert_eq!(platform.state().store.rejections, 4);
    let running = JobStateReply::State(JobState::Running);
    assert_eq!(state(&process, SMALL).await, running);
    assert_eq!(start_count(&platform), 1);
}

/// Guards against an owner that gives the cell up because the store refused a confirmation of its claim.
#[tokio::test(start_paused = true)]
async fn a_refused_confirmation_leaves_the_cell_with_its_owner() {
    let platform = FakePlatform::default();
    let process = start(&platform).await;
    let fence = claim_fence(&platform);
    assert!(fence.is_some(), "the cell has no owner");
    platform.state().store.claim_rejections.push_back(true);
    sleep(START_TIME).await;
    assert_eq!(platform.state().store.rejections, 1);
    assert_eq!(claim_fence(&platform), fence);
    let accepted = submit(&process, SMALL, job_spec()).await;
    assert_eq!(accepted, SubmitReply::Accepted);
}

/// Guards against a segment that exceeds a value of the store, since it has the records of many jobs.
#[tokio::test(start_paused = true)]
async fn the_records_of_many_jobs_fit_in_values() {
    const JOBS: u64 = 40;
    let platform = FakePlatform::default();
    let process = start(&platform).await;
    let mut submissions = JoinSet::new();
    for number in 1..=JOBS {
        let control = process.control.clone();
        submissions.spawn(async move {
            let spec = large_spec(1, 20);
            control.submit(JobId(number), spec, START_TIME).await
        });
    }
    let replies = submissions.join_all().await;
    assert!(replies.iter().all(|reply| *reply == SubmitReply::Accepted));
    sleep(START_TIME).await;
    for number in 1..=JOBS {
        let reply = state(&process, JobId(number)).await;
        assert_eq!(reply, JobStateReply::State(JobState::Running), "{number}");
    }
    assert_eq!(platform.state().store.rejections, 0);
}

/// Guards against a record that has too many chunks after its job was accepted: it may cost its own job, and no other.
#[tokio::test(start_paused = true)]
async fn a_record_with_too_many_chunks_costs_one_job() {
    let platform = FakePlatform::default();
    put_job(&platform, LARGE.0, Some("w1"));
    let record = platform.state().store.value(&format!("hs/run/{LARGE}"));
    let mut record: StampedRecord =
        serde_json::from_slice(&record.expect("a record")).expect("a valid record");
    record.record.steps[0].tasks[0].checkpoint = "x".repeat(500 * VALUE_BYTES);
    let record = serde_json::to_vec(&record).expect("a record");
    put_chunks(&platform, LARGE, &record, VALUE_BYTES, 0);
    // No worker has the run of the record, so that the task starts again.
    let process = start(&platform).await;
    submit(&process, SMALL, job_spec()).await;
    sleep(LOSS_TIME).await;
    let failed = JobStateReply::State(JobState::Ended(JobOutcome::Failed));
    assert_eq!(state(&process, LARGE).await, failed);
    let keys = platform.state().store.keys(&format!("hs/run/{SMALL}"));
    assert_eq!(keys.len(), 1, "the small job has no record");
    assert_eq!(platform.state().store.rejections, 0);
}

/// Guards against a job that is accepted although the store can never hold it or its record, and against one whose row is
/// repeated until the deadlines of all rows in its transaction.
#[tokio::test(start_paused = true)]
async fn a_job_that_cannot_be_stored_is_refused_at_once() {
    struct Case {
        name: &'static str,
        spec: JobSpec,
        is_key_rejected: bool,
        reply: SubmitReply,
    }
    let cases = [
        Case {
            name: "too many tasks",
            spec: large_spec(64, 4096),
            is_key_rejected: false,
            reply: SubmitReply::TooLarge,
        },
        Case {
            name: "a long input",
            spec: JobSpec {
                input: "x".repeat(VALUE_BYTES).into(),
                ..job_spec()
            },
            is_key_rejected: false,
            reply: SubmitReply::TooLarge,
        },
        Case {
            name: "a row that the store rejects",
            spec: job_spec(),
            is_key_rejected: true,
            reply: SubmitReply::Refused,
        },
    ];
    let mut processes = Vec::new();
    for Case {
        name,
        spec,
        is_key_rejected,
        reply,
    } in cases
    {
        let platform = FakePlatform::default();
        let process = start(&platform).await;
        if is_key_rejected {
            let key = format!("hs/in/job/{LARGE}");
            platform.state().store.rejected_keys.push(key);
        }
        let submitted_at = Instant::now();
        let (refused, other) = tokio::join!(
            async {
                let refused = submit(&process, LARGE, spec).await;
                (refused, submitted_at.elapsed())
            },
            submit(&process, SMALL, job_spec())
        );
        assert_eq!(refused.0, reply, "{name}");
        assert!(refused.1 <= REFUSAL_TIME, "{name}: {:?}", refused.1);
        assert_eq!(other, SubmitReply::Accepted, "{name}");
        processes.push(process);
    }
}
