//! Random batches through the log of records, against a plain map of last states.

use std::collections::{BTreeMap, HashMap};

use hs_cell::{
    JobId, JobOutcome, JobRecord, LogWrites, RecordLog, RecordRow, RecordStamp, SegmentState,
    StoredRecords,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Jobs that batches are about.
const JOBS: u64 = 10;

/// Sequences of batches.
const SEQUENCES: u64 = 2000;

/// Transactions after which everything that can be cleaned up is.
const CLEAN_UP: usize = 40;

#[derive(Clone, Debug)]
struct Batch {
    /// Jobs that make progress.
    progress: Vec<u64>,
    /// Jobs that end.
    ended: Vec<u64>,
    entries: usize,
    /// Whether a new owner follows, which knows only the store.
    takeover: bool,
}

impl Arbitrary for Batch {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut jobs = |bound: u64| -> Vec<u64> {
            let count = u64::arbitrary(g) % bound;
            (0..count).map(|_| u64::arbitrary(g) % JOBS).collect()
        };
        Self {
            progress: jobs(7),
            ended: jobs(3),
            entries: 1 + usize::arbitrary(g) % 8,
            takeover: u8::arbitrary(g).is_multiple_of(4),
        }
    }
}

/// The store: records, and outcomes in the items of jobs.
#[derive(Default)]
struct Store {
    records: StoredRecords,
    outcomes: HashMap<JobId, JobOutcome>,
}

impl Store {
    fn write(&mut self, writes: &LogWrites) {
        for (job, record) in &writes.records {
            self.records.records.insert(*job, record.clone());
        }
        for job in &writes.dropped_records {
            self.records.records.remove(job);
        }
        if let Some((stamp, rows)) = &writes.segment {
            self.records.segments.insert(*stamp, rows.clone());
        }
        for stamp in &writes.dropped_segments {
            self.records.segments.remove(stamp);
        }
        self.outcomes.extend(writes.outcomes.iter().copied());
    }

    /// Reads the states as a new owner does.
    fn restore(&self) -> (RecordLog, HashMap<JobId, SegmentState>) {
        let (mut log, mut states) = RecordLog::restore(self.records.clone());
        for (job, outcome) in &self.outcomes {
            log.forget_job(*job);
            states.insert(*job, SegmentState::Ended(*outcome));
        }
        (log, states)
    }
}

fn play(batches: &[Batch]) {
    let mut store = Store::default();
    let mut log = RecordLog::default();
    let mut model: BTreeMap<JobId, SegmentState> = BTreeMap::new();
    let mut stamp = RecordStamp::default();
    let mut write = |store: &mut Store, log: &mut RecordLog, rows: &[RecordRow], entries| {
        stamp.sequence += 1;
        let writes = log.plan(stamp, rows, entries);
        assert!(writes.entry_count() <= entries, "{writes:?} of {entries}");
        store.write(&writes);
        log.committed(writes);
    };
    let mut progress = 0;
    for batch in batches {
        let mut rows: BTreeMap<JobId, RecordRow> = BTreeMap::new();
        for number in &batch.progress {
            let job = JobId(*number);
            progress += 1;
            let record = JobRecord {
                first_occurrence: progress,
                ..JobRecord::default()
            };
            if !matches!(model.get(&job), Some(SegmentState::Ended(_))) {
                model.insert(job, SegmentState::Progress(record.clone()));
                rows.insert(job, RecordRow::Progress(job, record));
            }
        }
        for number in &batch.ended {
            let job = JobId(*number);
            model.insert(job, SegmentState::Ended(JobOutcome::Completed));
            rows.insert(job, RecordRow::Finished(job, JobOutcome::Completed));
        }
        let rows: Vec<RecordRow> = rows.into_values().collect();
        write(&mut store, &mut log, &rows, batch.entries);
        let (restored, states) = store.restore();
        let states: BTreeMap<JobId, SegmentState> = states.into_iter().collect();
        assert_eq!(states, model, "after {batch:?}");
        if batch.takeover {
            log = restored;
        }
    }
    // Nothing is left of jobs that have ended, once they all have.
    let rows: Vec<RecordRow> = model
        .keys()
        .map(|job| RecordRow::Finished(*job, JobOutcome::Completed))
        .collect();
    write(&mut store, &mut log, &rows, 4);
    for _ in 0..CLEAN_UP {
        write(&mut store, &mut log, &[], 4);
    }
    assert!(!log.needs_cleanup());
    assert_eq!(store.outcomes.len(), model.len());
    assert!(store.records.records.is_empty(), "{:?}", store.records);
    assert!(store.records.segments.is_empty(), "{:?}", store.records);
}

/// Guards against a record that is lost, or replaced by an older one, between items and segments.
#[test]
fn the_last_write_about_a_job_counts() {
    fn holds(batches: Vec<Batch>) -> bool {
        play(&batches);
        true
    }
    QuickCheck::new()
        .tests(SEQUENCES)
        .max_tests(SEQUENCES)
        .quickcheck(holds as fn(Vec<Batch>) -> bool);
}

/// Guards against a store that fills with segments of which a single row counts.
#[test]
fn old_segments_are_emptied() {
    let mut log = RecordLog::default();
    for number in 1..=100u64 {
        let rows: Vec<RecordRow> = [number, 1000]
            .map(|job| RecordRow::Progress(JobId(job), JobRecord::default()))
            .into();
        let sequence = number;
        let writes = log.plan(RecordStamp { fence: 1, sequence }, &rows, 1);
        log.committed(writes);
    }
    let mut sequence = 100;
    while !log.jobs_to_rewrite(8).is_empty() {
        sequence += 1;
        let jobs = log.jobs_to_rewrite(8).into_iter();
        let rows: Vec<RecordRow> = jobs
            .map(|job| RecordRow::Progress(job, JobRecord::default()))
            .collect();
        let writes = log.plan(RecordStamp { fence: 1, sequence }, &rows, 20);
        log.committed(writes);
        assert!(sequence < 200, "{} segments stay", log.segment_count());
    }
    assert!(
        log.segment_count() <= 70,
        "{} segments stay",
        log.segment_count()
    );
}
