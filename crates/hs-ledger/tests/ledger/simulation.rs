//! Simulation of two processes, one store value and one worker, with checks of each step.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use hs_ledger::{Admission, AdmitSpec, FlushOutcome, RetryCause, TaskState};
use hs_wire::{NotRunReason, Outcome, WorkId};

use crate::fixture::{NOW_MS, spec, submission};
use crate::linear::{Call, CallResult};
use crate::process::{PendingReply, PendingStart, Process, Report};
use crate::step::{Action, Step};
use crate::store::FakeStore;

/// Attempt that runs or has run on the worker.
struct Run {
    key: String,
    task: u32,
    /// Final report; `None` while the attempt runs.
    report: Option<Report>,
}

/// State of the simulated system, and what its checks need.
pub struct Simulation {
    base: Instant,
    now_ms: u64,
    store: FakeStore,
    processes: [Process; 2],
    created_processes: u64,
    delayed_starts: Vec<PendingStart>,
    runs: HashMap<WorkId, Run>,
    fenced: HashSet<WorkId>,
    replied_outcomes: HashMap<String, Outcome>,
    /// Calls (`true`) and replies, with the number of the call and the key.
    pub log: Vec<(usize, bool, String, Call)>,
    calls: usize,
}

impl Simulation {
    /// Runs the steps and returns the state after the last.
    pub fn run(steps: &[Step]) -> Self {
        let store = FakeStore::default();
        let mut simulation = Self {
            base: Instant::now(),
            now_ms: NOW_MS,
            processes: [0, 1].map(|number| Process::new(&store, number)),
            store,
            created_processes: 2,
            delayed_starts: Vec::new(),
            runs: HashMap::new(),
            fenced: HashSet::new(),
            replied_outcomes: HashMap::new(),
            log: Vec::new(),
            calls: 0,
        };
        for step in steps {
            simulation.step(*step);
            for process in &simulation.processes {
                // A process that relies on its ownership must be the owner in the store.
                let writer = simulation.store.image.as_ref().map(|image| &image.writer);
                let owned = writer == Some(&process.writer);
                assert!(
                    owned || !process.ledger.is_fresh(simulation.now()),
                    "a process that is not the owner is fresh"
                );
            }
        }
        simulation
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms - NOW_MS)
    }

    fn step(&mut self, step: Step) {
        let Step {
            action,
            process_index,
            choice,
        } = step;
        let (now, now_ms) = (self.now(), self.now_ms);
        let process = &mut self.processes[process_index];
        match action {
            Action::Submit => self.submit(process_index, choice % 3, usize::from(choice < 12)),
            Action::Place => process.place(choice, now_ms),
            Action::Start => self.start(process_index, choice % 20),
            Action::Finish => {
                let open = self.runs.iter_mut().filter(|(_, run)| run.report.is_none());
                if let Some((_, run)) = open.min_by_key(|(id, _)| id.0.clone()) {
                    run.report = Some([Report::Done, Report::Failed, Report::Stopped][choice % 3]);
                }
            }
            Action::Resolve => self.resolve(process_index),
            Action::Refuse => self.refuse(process_index, choice),
            Action::Cancel => {
                if let Some(record) = process.open_record(choice) {
                    let _ = process.ledger.request_cancel(record, now_ms);
                }
            }
            Action::Reply => self.send_replies(process_index),
            Action::BeginWrite => {
                if let Some(due) = process.ledger.next_flush(now) {
                    self.now_ms += u64::try_from((due - now).as_millis()).unwrap();
                    let flush = process.ledger.begin_flush(due, self.now_ms).unwrap();
                    assert!(
                        flush.body.len() <= process.ledger.size_bytes(),
                        "the value is larger than the size of the partition"
                    );
                    process.flush = Some(flush);
                }
            }
            Action::EndWrite => self.end_write(process_index, choice),
            Action::ReadBack => {
                let found = self.store.image.clone();
                let found = found.map(|image| (self.store.revision, image));
                process.ledger.read_back(found, now);
            }
            Action::TakeOver => self.replace(process_index),
            Action::Release => process.ledger.release(),
            Action::DelayedWrite => {
                if let Some((revision, body)) = self.store.delayed_writes.pop() {
                    self.store.put(revision, &body, now_ms);
                }
            }
            Action::DelayedStart => {
                if let Some(start) = self.delayed_starts.pop() {
                    self.run_task(&start);
                }
            }
            Action::Advance => self.now_ms += [40, 400, 3000][choice % 3],
        }
    }

    fn submit(&mut self, process_index: usize, key: usize, body: usize) {
        let expires_at_ms = self.now_ms + 1000;
        let spec = AdmitSpec {
            expires_at_ms,
            ..spec([1, 2, 2][key], key == 1)
        };
        let mut submission = submission(&format!("k{key}"), "payload");
        submission.workload = format!("w{body}");
        let process = &mut self.processes[process_index];
        let record = match process.ledger.admit(&submission, &spec, self.now_ms) {
            Admission::New { record, .. } | Admission::Existing { record } => Some(record),
            Admission::Refused(NotRunReason::KeyReused) => None,
            Admission::Unreadable => panic!("every record was written by an owner"),
            Admission::Refused(_) => return,
        };
        let (call, key) = (self.calls, submission.key);
        let result = CallResult::NoReply;
        self.calls += 1;
        self.log
            .push((call, true, key.clone(), Call::Submit { body, result }));
        let stamp = process.ledger.last_stamp();
        process.pending_replies.push(PendingReply {
            call,
            key,
            body,
            record,
            stamp,
        });
    }

    /// Sends a start whose placement is committed, or abandons a start before it is sent.
    fn start(&mut self, process_index: usize, choice: usize) {
        let process = &mut self.processes[process_index];
        let committed = process.ledger.committed();
        let mut starts = process.pending_starts.iter();
        let Some(index) = starts.position(|start| choice < 2 || start.stamp <= committed) else {
            return;
        };
        let start = process.pending_starts.remove(index);
        let PendingStart { record, task, .. } = start;
        if choice >= 2 {
            let fact = format!("placed {}", start.placed_record.task_id(task).unwrap());
            assert!(
                self.store.has_stored(&fact),
                "a start was allowed before its commit"
            );
        }
        let ledger = &mut self.processes[process_index].ledger;
        if choice == 0 {
            let _ = ledger.end_task(record, task, TaskState::NotRun, "", self.now_ms);
        } else if choice < 3 || !self.run_task(&start) {
            let ledger = &mut self.processes[process_index].ledger;
            let _ = ledger.retry_task(record, task, RetryCause::NotRun, self.now_ms);
        }
    }

    /// Starts an attempt on the worker unless it is fenced, and returns whether it was started.
    fn run_task(&mut self, start: &PendingStart) -> bool {
        let id = start.placed_record.task_id(start.task).unwrap();
        if self.fenced.contains(&id) {
            return false;
        }
        let (key, task) = (start.placed_record.key.clone(), start.task.task);
        let refused = self.replied_outcomes.get(&key) == Some(&Outcome::NotRun);
        assert!(
            !refused,
            "{key} started after the reply that it did not run"
        );
        for (other, run) in &self.runs {
            let ended = run.report.is_some() && start.placed_record.repeatable;
            let twice = (&run.key, run.task) == (&key, task) && *other != id && !ended;
            assert!(!twice, "task {task} of {key} started twice");
        }
        for called in [true, false] {
            self.log
                .push((self.calls, called, key.clone(), Call::Start));
        }
        self.calls += 1;
        let report = None;
        self.runs.entry(id).or_insert(Run { key, task, report });
        true
    }

    /// Raises the fencing token of the worker and compares the placed tasks with its task list.
    /// Each report arrives a second time at the next call, as from a delayed watch.
    fn resolve(&mut self, process_index: usize) {
        let process = &mut self.processes[process_index];
        let mut reports = std::mem::take(&mut process.reports);
        for open in process.ledger.open_tasks() {
            let (record, task) = (open.record, open.task);
            let pending = |start: &PendingStart| (start.record, start.task) == (record, task);
            if open.state == TaskState::Placed && !process.pending_starts.iter().any(pending) {
                let id = process.ledger.task_id(record, task).unwrap();
                let report = match self.runs.get(&id) {
                    Some(run) => run.report,
                    None => Some(Report::Absent),
                };
                if report.is_none() || self.runs.contains_key(&id) || self.fenced.insert(id) {
                    process
                        .reports
                        .extend(report.map(|report| (record, task, report)));
                }
            }
        }
        reports.extend(&process.reports);
        for (record, task, report) in reports {
            let _ = process.report(record, task, report, self.now_ms);
        }
    }

    fn refuse(&mut self, process_index: usize, choice: usize) {
        let Some(record) = self.processes[process_index].open_record(choice) else {
            return;
        };
        let ledger = &mut self.processes[process_index].ledger;
        let _ = ledger.refuse_waiting(record, NotRunReason::QueueFull, "full", self.now_ms);
    }

    /// Replies to the callers whose replies are committed.
    fn send_replies(&mut self, process_index: usize) {
        let process = &mut self.processes[process_index];
        let pending_replies = std::mem::take(&mut process.pending_replies);
        for pending in pending_replies {
            let stamp = pending
                .record
                .and_then(|record| process.ledger.stamp(record));
            if stamp.unwrap_or(pending.stamp) > process.ledger.committed() {
                process.pending_replies.push(pending);
                continue;
            }
            let PendingReply { key, body, .. } = pending;
            let expect = |fact: String| {
                assert!(
                    self.store.has_stored(&fact),
                    "a reply was sent before its commit: {fact}"
                )
            };
            expect(format!("writer {}", process.writer));
            let mut result = CallResult::KeyReused;
            if let Some(record) = pending.record {
                let outcome = process.ledger.reply(record).outcome;
                let workload = &process.ledger.record(record).unwrap().workload;
                assert_eq!(
                    *workload,
                    format!("w{body}"),
                    "{key} got the reply to another body"
                );
                result = CallResult::Outcome(outcome);
                expect(format!("outcome {key} {outcome}"));
                if outcome.is_final() {
                    let first = *self.replied_outcomes.entry(key.clone()).or_insert(outcome);
                    assert_eq!(first, outcome, "{key} has two outcomes");
                }
                let has_run = self.runs.values().any(|run| run.key == key);
                assert!(
                    outcome != Outcome::NotRun || !has_run,
                    "{key} ran although its reply was not run"
                );
            }
            self.log
                .push((pending.call, false, key, Call::Submit { body, result }));
        }
    }

    fn end_write(&mut self, process_index: usize, choice: usize) {
        let now = self.now();
        let process = &mut self.processes[process_index];
        let Some(flush) = process.flush.take() else {
            return;
        };
        let mut put = || self.store.put(flush.if_revision, &flush.body, self.now_ms);
        let outcome = match choice {
            0..2 => FlushOutcome::NotSent,
            2..5 => FlushOutcome::Unknown,
            5..8 => {
                put();
                FlushOutcome::Unknown
            }
            8..11 => {
                self.store
                    .delayed_writes
                    .push((flush.if_revision, flush.body));
                FlushOutcome::Unknown
            }
            _ => match put() {
                Some(revision) => FlushOutcome::Written { revision },
                None => FlushOutcome::Conflict,
            },
        };
        process.ledger.end_flush(outcome, now);
        let is_unknown = outcome == FlushOutcome::Unknown;
        assert_eq!(
            process.ledger.needs_read_back(),
            is_unknown,
            "a write is read back exactly if its outcome is unknown"
        );
        assert!(
            !is_unknown || process.ledger.next_flush(now).is_none(),
            "a write is due before the read back"
        );
    }

    /// Replaces a process by one that takes over the partition, after the wait of a candidate
    /// unless the partition was released. Starts that the old process has sent may arrive later.
    fn replace(&mut self, process_index: usize) {
        if self
            .store
            .image
            .as_ref()
            .is_some_and(|image| !image.released)
        {
            self.now_ms = self.now_ms.max(self.store.changed_ms + 3000);
        }
        let old = std::mem::replace(
            &mut self.processes[process_index],
            Process::new(&self.store, self.created_processes),
        );
        self.created_processes += 1;
        let committed = old.ledger.committed();
        let sent = old
            .pending_starts
            .into_iter()
            .filter(|start| start.stamp <= committed);
        self.delayed_starts.extend(sent);
    }
}
