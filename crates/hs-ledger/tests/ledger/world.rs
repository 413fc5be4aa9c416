//! Two processes, one store value and one worker, checked against a simple oracle.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use hs_ledger::{Admission, AdmitSpec, FlushOutcome, RetryCause, TaskState};
use hs_wire::{NotRunReason, Outcome, WorkId};

use crate::fixture::{NOW_MS, spec, submission};
use crate::linear::{Call, Seen};
use crate::process::{PendingAnswer, PendingStart, Process, Report};
use crate::step::{Action, Step};
use crate::store::FakeStore;

/// A task on the worker.
struct Run {
    key: String,
    task: u32,
    fate: Option<Report>,
}

/// The whole system and the oracle.
pub struct World {
    base: Instant,
    now_ms: u64,
    store: FakeStore,
    processes: [Process; 2],
    takeovers: u64,
    late_starts: Vec<PendingStart>,
    runs: HashMap<WorkId, Run>,
    fenced: HashSet<WorkId>,
    answered: HashMap<String, Outcome>,
    /// Calls (`true`) and replies with the number of the call and the key.
    pub log: Vec<(usize, bool, String, Call)>,
    calls: usize,
}

impl World {
    /// Runs the steps and returns the world after the last.
    pub fn run(steps: &[Step]) -> Self {
        let store = FakeStore::default();
        let mut world = Self {
            base: Instant::now(),
            now_ms: NOW_MS,
            processes: [0, 1].map(|number| Process::new(&store, number)),
            store,
            takeovers: 2,
            late_starts: Vec::new(),
            runs: HashMap::new(),
            fenced: HashSet::new(),
            answered: HashMap::new(),
            log: Vec::new(),
            calls: 0,
        };
        for step in steps {
            world.step(*step);
            for process in &world.processes {
                // A process that counts on its ownership is the owner in the store.
                let writer = world.store.image.as_ref().map(|image| &image.writer);
                let owned = writer == Some(&process.writer);
                assert!(
                    owned || !process.ledger.is_fresh(world.now()),
                    "fresh, not owner"
                );
            }
        }
        world
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms - NOW_MS)
    }

    fn step(&mut self, step: Step) {
        let Step { action, who, pick } = step;
        let (now, now_ms) = (self.now(), self.now_ms);
        let process = &mut self.processes[who];
        match action {
            Action::Submit => self.submit(who, pick % 3, usize::from(pick < 12)),
            Action::Place => process.place(pick, now_ms),
            Action::Start => self.start(who, pick % 20),
            Action::Finish => {
                let open = self.runs.iter_mut().filter(|(_, run)| run.fate.is_none());
                if let Some((_, run)) = open.min_by_key(|(id, _)| id.0.clone()) {
                    run.fate = Some([Report::Done, Report::Failed, Report::Stopped][pick % 3]);
                }
            }
            Action::Resolve => self.resolve(who),
            Action::Refuse => self.refuse(who, pick),
            Action::Cancel => {
                if let Some(record) = process.open(pick) {
                    let _ = process.ledger.request_cancel(record, now_ms);
                }
            }
            Action::Answer => self.answer(who),
            Action::BeginWrite => {
                if let Some(due) = process.ledger.next_flush(now) {
                    self.now_ms += u64::try_from((due - now).as_millis()).unwrap();
                    let flush = process.ledger.begin_flush(due, self.now_ms).unwrap();
                    assert!(
                        flush.body.len() <= process.ledger.size(),
                        "size is no upper bound"
                    );
                    process.flush = Some(flush);
                }
            }
            Action::EndWrite => self.end_write(who, pick),
            Action::ReadBack => {
                let found = self.store.image.clone();
                let found = found.map(|image| (self.store.revision, image));
                process.ledger.read_back(found, now);
            }
            Action::TakeOver => self.replace(who),
            Action::Release => process.ledger.release(),
            Action::LateWrite => {
                if let Some((revision, body)) = self.store.late.pop() {
                    self.store.put(revision, &body, now_ms);
                }
            }
            Action::LateStart => {
                if let Some(start) = self.late_starts.pop() {
                    self.run_task(&start);
                }
            }
            Action::Advance => self.now_ms += [40, 400, 3000][pick % 3],
        }
    }

    fn submit(&mut self, who: usize, key: usize, body: usize) {
        let expires_at_ms = self.now_ms + 1000;
        let spec = AdmitSpec {
            expires_at_ms,
            ..spec([1, 2, 2][key], key == 1)
        };
        let mut submission = submission(&format!("k{key}"), "payload");
        submission.workload = format!("w{body}");
        let process = &mut self.processes[who];
        let record = match process.ledger.admit(&submission, &spec, self.now_ms) {
            Admission::New { record, .. } | Admission::Existing { record } => Some(record),
            Admission::Refused(NotRunReason::KeyReused) => None,
            Admission::Refused(_) => return,
        };
        let (call, key) = (self.calls, submission.key);
        let seen = Seen::Nothing;
        self.calls += 1;
        self.log
            .push((call, true, key.clone(), Call::Submit { body, seen }));
        let stamp = process.ledger.last_stamp();
        process.answers.push(PendingAnswer {
            call,
            key,
            body,
            record,
            stamp,
        });
    }

    /// Sends a start whose placement is committed, or gives up a start before it is sent.
    fn start(&mut self, who: usize, pick: usize) {
        let process = &mut self.processes[who];
        let committed = process.ledger.committed();
        let mut starts = process.starts.iter();
        let Some(index) = starts.position(|start| pick < 2 || start.stamp <= committed) else {
            return;
        };
        let start = process.starts.remove(index);
        let PendingStart { record, task, .. } = start;
        if pick >= 2 {
            let fact = format!("placed {}", start.entry.task_id(task).unwrap());
            assert!(
                self.store.has(&fact),
                "a start was allowed before its commit"
            );
        }
        let ledger = &mut self.processes[who].ledger;
        if pick == 0 {
            let _ = ledger.end_task(record, task, TaskState::NotRun, "", self.now_ms);
        } else if pick < 3 || !self.run_task(&start) {
            let ledger = &mut self.processes[who].ledger;
            let _ = ledger.retry_task(record, task, RetryCause::NotRun, self.now_ms);
        }
    }

    /// Runs a start on the worker, unless it is fenced. Returns whether it was accepted.
    fn run_task(&mut self, start: &PendingStart) -> bool {
        let id = start.entry.task_id(start.task).unwrap();
        if self.fenced.contains(&id) {
            return false;
        }
        let (key, task) = (start.entry.key.clone(), start.task.task);
        let refused = self.answered.get(&key) == Some(&Outcome::NotRun);
        assert!(
            !refused,
            "{key} started after its caller was told that it did not run"
        );
        for (other, run) in &self.runs {
            let ended = run.fate.is_some() && start.entry.repeatable;
            let twice = (&run.key, run.task) == (&key, task) && *other != id && !ended;
            assert!(!twice, "task {task} of {key} started twice");
        }
        for called in [true, false] {
            self.log
                .push((self.calls, called, key.clone(), Call::Start));
        }
        self.calls += 1;
        let fate = None;
        self.runs.entry(id).or_insert(Run { key, task, fate });
        true
    }

    /// Compares the placed tasks with the worker's list after raising its fence. Each report arrives
    /// once more at the next time, as from a watch that is late.
    fn resolve(&mut self, who: usize) {
        let process = &mut self.processes[who];
        let mut reports = std::mem::take(&mut process.reports);
        for open in process.ledger.open_tasks() {
            let (record, task) = (open.record, open.task);
            let pending = |start: &PendingStart| (start.record, start.task) == (record, task);
            if open.state == TaskState::Placed && !process.starts.iter().any(pending) {
                let id = process.ledger.task_id(record, task).unwrap();
                let report = match self.runs.get(&id) {
                    Some(run) => run.fate,
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

    fn refuse(&mut self, who: usize, pick: usize) {
        let Some(record) = self.processes[who].open(pick) else {
            return;
        };
        let ledger = &mut self.processes[who].ledger;
        let _ = ledger.refuse_waiting(record, NotRunReason::QueueFull, "full", self.now_ms);
    }

    /// Answers the callers whose replies are committed.
    fn answer(&mut self, who: usize) {
        let process = &mut self.processes[who];
        let answers = std::mem::take(&mut process.answers);
        for answer in answers {
            let stamp = answer
                .record
                .and_then(|record| process.ledger.stamp(record));
            if stamp.unwrap_or(answer.stamp) > process.ledger.committed() {
                process.answers.push(answer);
                continue;
            }
            let PendingAnswer { key, body, .. } = answer;
            let expect = |fact: String| assert!(self.store.has(&fact), "answered before: {fact}");
            expect(format!("writer {}", process.writer));
            let mut seen = Seen::Reused;
            if let Some(record) = answer.record {
                let outcome = process.ledger.reply(record).outcome;
                let workload = &process.ledger.record(record).unwrap().workload;
                assert_eq!(
                    *workload,
                    format!("w{body}"),
                    "{key} was answered for another body"
                );
                seen = Seen::Outcome(outcome);
                expect(format!("outcome {key} {outcome}"));
                if outcome.is_final() {
                    let first = *self.answered.entry(key.clone()).or_insert(outcome);
                    assert_eq!(first, outcome, "{key} has two outcomes");
                }
                let has_run = self.runs.values().any(|run| run.key == key);
                assert!(
                    outcome != Outcome::NotRun || !has_run,
                    "{key} ran, answered not run"
                );
            }
            self.log
                .push((answer.call, false, key, Call::Submit { body, seen }));
        }
    }

    fn end_write(&mut self, who: usize, pick: usize) {
        let now = self.now();
        let process = &mut self.processes[who];
        let Some(flush) = process.flush.take() else {
            return;
        };
        let mut put = || self.store.put(flush.if_revision, &flush.body, self.now_ms);
        let end = match pick {
            0..2 => FlushOutcome::NotSent,
            2..5 => FlushOutcome::Unknown,
            5..8 => {
                put();
                FlushOutcome::Unknown
            }
            8..11 => {
                self.store.late.push((flush.if_revision, flush.body));
                FlushOutcome::Unknown
            }
            _ => match put() {
                Some(revision) => FlushOutcome::Written { revision },
                None => FlushOutcome::Conflict,
            },
        };
        process.ledger.end_flush(end, now);
        let undecided = end == FlushOutcome::Unknown;
        assert_eq!(
            process.ledger.needs_read_back(),
            undecided,
            "a doubtful write is not read back"
        );
        assert!(
            !undecided || process.ledger.next_flush(now).is_none(),
            "wrote before a read back"
        );
    }

    /// Replaces a process by one that takes the partition over after the wait of a candidate. Starts
    /// that the old one has sent may arrive later.
    fn replace(&mut self, who: usize) {
        if self
            .store
            .image
            .as_ref()
            .is_some_and(|image| !image.released)
        {
            self.now_ms = self.now_ms.max(self.store.changed_ms + 3000);
        }
        let old = std::mem::replace(
            &mut self.processes[who],
            Process::new(&self.store, self.takeovers),
        );
        self.takeovers += 1;
        let committed = old.ledger.committed();
        let sent = old
            .starts
            .into_iter()
            .filter(|start| start.stamp <= committed);
        self.late_starts.extend(sent);
    }
}
