//! Oracle and trace of a simulation, from what the store, the workers and the clients see.

use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hs_cell::{JobId, RunEnd, TaskId, TaskRun};
use hs_control::port::StoreTxn;
use hs_control::{CancelReply, JobStateReply, SubmitReply};
use serde::Deserialize;

use crate::worker::OrderSender;

/// Key of the claim of the cell's owner.
pub const CLAIM_KEY: &str = "hs/owner";

/// Prefix of the keys of accepted jobs.
pub const JOB_PREFIX: &str = "hs/in/job/";

/// Time after the answer to a cancellation within which no run of the job starts any more.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// The claim of the cell's owner, as stored.
#[derive(Clone, Debug, Deserialize)]
pub struct StoredClaim {
    /// Fencing token.
    pub fence: u64,
    /// Name of the owner.
    pub node: String,
    /// Whether the owner has released the cell.
    pub released: bool,
}

/// Acquisition of the cell.
#[derive(Clone, Debug)]
pub struct Takeover {
    pub at: Duration,
    pub node: String,
}

/// What a task of a job takes.
#[derive(Clone, Copy, Debug)]
pub struct JobPlan {
    pub tasks: u16,
    pub cpu_milli: u32,
    pub duration: Duration,
    pub is_advised: bool,
}

/// What the oracle has seen.
#[derive(Default)]
pub struct Observer {
    jobs: BTreeMap<JobId, JobPlan>,
    /// Jobs that a client was told are accepted, with those written to the store by a test.
    accepted: BTreeSet<JobId>,
    /// Jobs that a client was told will not run.
    refused: BTreeSet<JobId>,
    /// Number of definite replies to queries and cancellations.
    pub definite_answers: u64,
    /// Number of submissions without a definite reply.
    pub unknown_submissions: u64,
    /// Times at which cancellations were answered.
    cancelled_at: BTreeMap<JobId, Duration>,
    /// Jobs whose outcome is stored.
    finished: BTreeSet<JobId>,
    /// Accepted jobs whose outcome is not stored.
    unfinished: BTreeSet<JobId>,
    /// Workers on which a run of a task is in progress.
    running: BTreeMap<TaskId, Vec<usize>>,
    /// Tasks of which an end as done was acknowledged.
    done: BTreeSet<TaskId>,
    /// Processes that have acted with a fence, which must be one.
    actors: BTreeMap<u64, (usize, u32)>,
    fences: BTreeMap<usize, u64>,
    last_claim: Option<StoredClaim>,
    pub takeovers: Vec<Takeover>,
    /// Number of times the cell was released.
    pub releases: u64,
    /// Times of the committed transactions of owners.
    pub commits: Vec<Duration>,
    /// Times of the starts of runs.
    pub starts: Vec<Duration>,
    /// Number of runs that ended in another way than done.
    pub broken_runs: u64,
    /// Number of runs that were lost with their workers.
    pub lost_runs: u64,
    /// Number of malformed calls of peers that were rejected.
    pub malformed_calls_rejected: usize,
    /// Number of pending jobs that a process was last told.
    pub pending: Option<u64>,
    violations: Vec<String>,
    unanswered: Vec<Box<dyn Any + Send>>,
    trace: Vec<String>,
}

impl Observer {
    /// Announces a job that a client is going to submit.
    pub fn plan_job(&mut self, id: JobId, plan: JobPlan) {
        self.jobs.insert(id, plan);
    }

    /// Returns what a task of a job takes.
    pub fn job(&self, id: JobId) -> JobPlan {
        self.jobs[&id]
    }

    /// Records the reply to a submission.
    pub fn submitted(&mut self, id: JobId, reply: SubmitReply) {
        match reply {
            SubmitReply::Accepted => self.stored(id),
            SubmitReply::Refused | SubmitReply::TooLarge => {
                self.refused.insert(id);
            }
            SubmitReply::Unknown => self.unknown_submissions += 1,
        }
    }

    /// Records that a job is in the store.
    pub fn stored(&mut self, id: JobId) {
        self.accepted.insert(id);
        if !self.finished.contains(&id) {
            self.unfinished.insert(id);
        }
    }

    /// Records the reply to a query.
    pub fn queried(&mut self, id: JobId, reply: JobStateReply) {
        match reply {
            JobStateReply::State(_) => self.definite_answers += 1,
            JobStateReply::NoJob => self.violate(format!("a client is told of no job {id}")),
            JobStateReply::Unknown => {}
        }
    }

    /// Records the reply to a cancellation.
    pub fn cancelled(&mut self, now: Duration, id: JobId, reply: CancelReply) {
        match reply {
            CancelReply::Cancelled => self.definite_answers += 1,
            CancelReply::NoJob | CancelReply::TooMany if self.accepted.contains(&id) => {
                self.violate(format!("a cancellation finds no job {id}"));
            }
            CancelReply::NoJob => {}
            CancelReply::Unknown | CancelReply::TooMany => return,
        }
        self.cancelled_at.entry(id).or_insert(now);
    }

    /// Returns the number of jobs whose cancellation was answered.
    pub fn answered_cancellations(&self) -> usize {
        self.cancelled_at.len()
    }

    /// Keeps the sender of a reply that is not sent, so that the caller waits.
    pub fn keep_unanswered<T: Any + Send>(&mut self, reply: T) {
        self.unanswered.push(Box::new(reply));
    }

    /// Records a committed transaction.
    pub fn committed(&mut self, now: Duration, process: usize, revision: u64, txn: &StoreTxn) {
        let entries = txn.writes.len() + txn.deletes.len();
        self.note(
            now,
            format!("p{process} commits {revision}, entries={entries}"),
        );
        for (key, value) in &txn.writes {
            if key == CLAIM_KEY {
                let claim = serde_json::from_slice(value).expect("the claim is readable");
                self.claimed(now, claim);
                self.commits.push(now);
            }
            let job = key.strip_prefix(JOB_PREFIX).and_then(|id| id.parse().ok());
            if let Some(id) = job.filter(|_| value.starts_with(br#"{"e""#)) {
                self.finished.insert(id);
                self.unfinished.remove(&id);
            }
        }
        for key in &txn.deletes {
            let job = key.strip_prefix(JOB_PREFIX).and_then(|id| id.parse().ok());
            if let Some(id) = job.filter(|id| !self.finished.contains(id)) {
                self.violate(format!("job {id} is deleted before its end"));
            }
        }
    }

    fn claimed(&mut self, now: Duration, claim: StoredClaim) {
        let last = self.last_claim.replace(claim.clone());
        if let Some(last) = last.as_ref().filter(|last| last.fence > claim.fence) {
            let text = format!("{} writes under {} after {last:?}", claim.node, claim.fence);
            self.violate(text);
        }
        if last.is_none_or(|last| last.fence != claim.fence) {
            self.note(
                now,
                format!("{} takes over, fence={}", claim.node, claim.fence),
            );
            self.takeovers.push(Takeover {
                at: now,
                node: claim.node.clone(),
            });
        }
        if claim.released {
            self.note(now, format!("{} releases", claim.node));
            self.releases += 1;
        }
    }

    /// Records that a worker has accepted an order.
    pub fn acted(&mut self, sender: OrderSender, worker: usize) {
        let actor = *self.actors.entry(sender.fence).or_insert(sender.process);
        if actor != sender.process {
            let fence = sender.fence;
            self.violate(format!(
                "{actor:?} and {:?} act with {fence}",
                sender.process
            ));
        }
        let highest = self.fences.entry(worker).or_default();
        let is_lower = sender.fence < *highest;
        *highest = sender.fence.max(*highest);
        if is_lower {
            self.violate(format!(
                "worker {worker} accepts an order with a lower fence"
            ));
        }
    }

    /// Records the start of a run.
    pub fn started(&mut self, now: Duration, worker: usize, run: TaskRun) {
        self.note(now, format!("w{worker} starts {run:?}"));
        self.starts.push(now);
        let workers = self.running.entry(run.task).or_default();
        workers.push(worker);
        if workers.len() > 1 {
            let workers = workers.clone();
            self.violate(format!("{:?} runs on {workers:?} at {now:?}", run.task));
        }
        if self.done.contains(&run.task) {
            self.violate(format!("{:?} starts after its acknowledged end", run.task));
        }
        let id = run.task.job();
        let cancelled_at = self.cancelled_at.get(&id).copied();
        if let Some(at) = cancelled_at.filter(|at| now > *at + CANCEL_TIME) {
            self.violate(format!("{run:?} starts at {now:?}, cancelled at {at:?}"));
        }
        if self.refused.contains(&id) && !self.accepted.contains(&id) {
            self.violate(format!("job {id} runs although it was refused"));
        }
    }

    /// Records the end of a run.
    pub fn ended(&mut self, now: Duration, worker: usize, run: TaskRun, end: RunEnd) {
        self.note(now, format!("w{worker} ends {run:?} as {end:?}"));
        if end != RunEnd::Done {
            self.broken_runs += 1;
        }
        if let Some(workers) = self.running.get_mut(&run.task) {
            workers.retain(|other| *other != worker);
        }
    }

    /// Records that a run was lost with its worker.
    pub fn lost(&mut self, now: Duration, worker: usize, run: TaskRun) {
        self.note(now, format!("w{worker} loses {run:?}"));
        self.lost_runs += 1;
        if let Some(workers) = self.running.get_mut(&run.task) {
            workers.retain(|other| *other != worker);
        }
    }

    /// Records that a worker has started again, which has seen no fence.
    pub fn started_again(&mut self, now: Duration, worker: usize) {
        self.note(now, format!("w{worker} starts again"));
        self.fences.remove(&worker);
    }

    /// Records that the owner has acknowledged the end of a run.
    pub fn acknowledged(&mut self, now: Duration, worker: usize, run: TaskRun, end: RunEnd) {
        self.note(
            now,
            format!("w{worker} forgets the end of {run:?} as {end:?}"),
        );
        if end == RunEnd::Done {
            self.done.insert(run.task);
        }
    }

    /// Records a start that exceeds the capacity of a worker.
    pub fn capacity_exceeded(&mut self, worker: usize, run: TaskRun) {
        self.violate(format!("{run:?} exceeds the capacity of worker {worker}"));
    }

    fn violate(&mut self, text: String) {
        self.violations.push(text);
    }

    fn note(&mut self, now: Duration, text: String) {
        let line = format!("{:.4} {text}", now.as_secs_f64());
        log::debug!("{line}");
        self.trace.push(line);
    }

    /// Panics if a rule was violated.
    pub fn assert_rules_hold(&self) {
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }

    /// Returns the number of accepted jobs whose outcome is not stored.
    pub fn unfinished_jobs(&self) -> usize {
        self.unfinished.len()
    }

    /// Returns the accepted jobs.
    pub fn accepted(&self) -> Vec<JobId> {
        self.accepted.iter().copied().collect()
    }

    /// Returns the number of accepted jobs.
    pub fn accepted_jobs(&self) -> usize {
        self.accepted.len()
    }

    /// Returns the node that owns the cell by the store.
    pub fn owner_node(&self) -> Option<&str> {
        let takeover = self.takeovers.last()?;
        let claim = self.last_claim.as_ref()?;
        (!claim.released).then_some(takeover.node.as_str())
    }

    /// Returns the number of takeovers since a time.
    pub fn takeovers_since(&self, time: Duration) -> usize {
        self.takeovers
            .iter()
            .filter(|takeover| takeover.at >= time)
            .count()
    }

    /// Returns the number of starts since a time.
    pub fn starts_since(&self, time: Duration) -> usize {
        self.starts.iter().filter(|at| **at >= time).count()
    }

    /// Returns the events in order.
    pub fn trace(&self) -> &[String] {
        &self.trace
    }
}
