//! Callers that retry, and checks of the replies that they got against the logs of the workers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hs_standin::{WorkerLog, WorkerStart};
use hs_wire::{Outcome, Submission, TaskPhase, WorkReply};

use super::{Caller, TestPlatform};

/// One submission, and all replies that its caller got.
#[derive(Debug)]
pub struct KeyAudit {
    pub work: Submission,
    /// Whether the workload is not repeatable, so that each task may start at most once.
    pub at_most_once: bool,
    /// Number of tasks of the workload.
    pub tasks: usize,
    pub replies: Vec<WorkReply>,
}

impl KeyAudit {
    /// Returns the first final outcome that the caller got, if there was one.
    pub fn outcome(&self) -> Option<Outcome> {
        let is_final =
            |reply: &&WorkReply| !matches!(reply.outcome, Outcome::Accepted | Outcome::Unknown);
        self.replies
            .iter()
            .find(is_final)
            .map(|reply| reply.outcome)
    }

    /// Checks that each answer of done work is that of its own key.
    fn assert_own_answers(&self) {
        let key = &self.work.key;
        let done = self.replies.iter();
        for reply in done.filter(|reply| reply.outcome == Outcome::Done) {
            let own = vec![key.clone(); self.tasks];
            assert_eq!(reply.results, own, "own answer of {key}");
        }
    }

    /// Checks the replies to a check that is done. Unlike durable work, a repeatable check may have
    /// run again after a lost answer, so that more starts than tasks may be done.
    ///
    /// # Panics
    ///
    /// Panics if fewer starts than tasks are done, or if the caller got the answer of another.
    pub fn assert_done_check(&self, logs: &[WorkerLog]) {
        let starts = logs.iter().flat_map(|log| &log.0);
        let done = starts
            .filter(|start| start.payload == self.work.payload && start.phase == TaskPhase::Done);
        let done = done.count();
        assert!(done >= self.tasks, "{done} starts are done: {self:?}");
        self.assert_own_answers();
    }

    /// Checks the replies against the workers' logs.
    ///
    /// # Panics
    ///
    /// Panics if work ran that was reported as not run, if work that may run at most once started
    /// again, if a task ran twice at the same time, if the caller got the answer of another, or if
    /// a final outcome changed.
    pub fn assert_consistent(&self, logs: &[WorkerLog]) {
        let key = &self.work.key;
        let starts: Vec<&WorkerStart> = logs
            .iter()
            .flat_map(|log| &log.0)
            .filter(|start| start.payload == self.work.payload)
            .collect();
        let outcome = self.outcome();
        match outcome {
            Some(Outcome::NotRun) => {
                assert!(
                    starts.is_empty(),
                    "{key} ran though reported as not run: {starts:?} {self:?}"
                );
            }
            Some(Outcome::Done) => {
                let done = starts
                    .iter()
                    .filter(|start| start.phase == TaskPhase::Done)
                    .count();
                assert_eq!(done, self.tasks, "{key} is done: {starts:?} {self:?}");
            }
            _ => {}
        }
        self.assert_own_answers();
        for reply in &self.replies {
            let is_final = !matches!(reply.outcome, Outcome::Accepted | Outcome::Unknown);
            assert!(
                !is_final || Some(reply.outcome) == outcome,
                "{key} changed: {self:?}"
            );
        }
        if self.at_most_once {
            assert!(
                starts.len() <= self.tasks,
                "{key} started twice: {starts:?} {self:?}"
            );
        }
        let same_task =
            |start: &WorkerStart| start.id.0.rsplit_once('.').map(|(task, _)| task.to_owned());
        for (index, first) in starts.iter().enumerate() {
            for second in starts.iter().skip(index + 1) {
                let overlap = first.started_ms < second.ended_ms.unwrap_or(u64::MAX)
                    && second.started_ms < first.ended_ms.unwrap_or(u64::MAX);
                assert!(
                    same_task(first) != same_task(second) || !overlap,
                    "a task of {key} ran twice at the same time: {first:?} {second:?}"
                );
            }
        }
    }
}

/// Submits work repeatedly under the same key, at the entry processes in rotation, until its
/// outcome is final or `limit` has passed.
pub async fn submit_until_final(
    caller: Caller,
    entries: Vec<SocketAddr>,
    first: usize,
    mut audit: KeyAudit,
    limit: Duration,
) -> KeyAudit {
    let begin = Instant::now();
    let mut attempt = first;
    while audit.outcome().is_none() && begin.elapsed() < limit {
        let entry = entries[attempt % entries.len()];
        attempt += 1;
        match caller.submit(entry, &audit.work).await {
            Some(reply) => audit.replies.push(reply),
            None => tokio::time::sleep(Duration::from_millis(50)).await,
        }
        if audit.outcome().is_none() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    audit
}

impl TestPlatform {
    /// Checks the replies of all callers against the workers' logs, and that no worker was over
    /// capacity.
    pub async fn assert_consistent(&self, audits: &[KeyAudit]) {
        let logs = self.logs().await;
        for audit in audits {
            audit.assert_consistent(&logs);
        }
        self.assert_within_capacity().await;
    }
}
