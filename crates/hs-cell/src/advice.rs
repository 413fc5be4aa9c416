//! Which workers may run a step, where a policy outside decides.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::{StepId, WorkerKey};

/// Longest time that a call for advice may be out before it counts as lost.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time before its end at which a ticket is no longer used, since a start takes a store write and a
/// call to the worker.
pub(crate) const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// Share of workers that is expected to be allowed, before any reply is known.
const EXPECTED_SHARE: f64 = 0.4;

/// The reply to a call for advice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdviceReply {
    /// Allowed workers with their tickets.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// Validity of the tickets, counted from the reply.
    pub ticket_validity: Duration,
}

/// A ticket for a step on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub worker: WorkerKey,
    pub ticket: Arc<str>,
    pub until: Instant,
}

/// What is known for a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    pub tickets: Vec<Ticket>,
    pub denied: Vec<WorkerKey>,
    pub asked_at: Option<Instant>,
    /// When the last reply came.
    pub answered_at: Option<Instant>,
    pub retry_at: Option<Instant>,
}

impl StepAdvice {
    pub(crate) fn ticket(&self, worker: WorkerKey, now: Instant) -> Option<&Arc<str>> {
        let mut tickets = self.tickets.iter();
        let ticket = tickets.find(|t| t.worker == worker && now + TICKET_MARGIN < t.until)?;
        Some(&ticket.ticket)
    }

    /// Returns the workers with a ticket that can still be used.
    pub(crate) fn valid_workers(&self, now: Instant) -> impl Iterator<Item = WorkerKey> + '_ {
        let valid = move |ticket: &&Ticket| now + TICKET_MARGIN < ticket.until;
        self.tickets
            .iter()
            .filter(valid)
            .map(|ticket| ticket.worker)
    }

    pub(crate) fn is_busy(&self, now: Instant) -> bool {
        let waits = self.asked_at.is_some_and(|at| now < at + CALL_LIMIT);
        let pauses = self.retry_at.is_some_and(|at| now < at);
        waits || pauses
    }
}

/// Learnt share of allowed workers of a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AllowedShare {
    named: f64,
    allowed: f64,
}

/// Weight of old replies when a new one is counted.
const SHARE_DECAY: f64 = 0.95;

impl Default for AllowedShare {
    fn default() -> Self {
        Self {
            named: 10.0,
            allowed: 10.0 * EXPECTED_SHARE,
        }
    }
}

impl AllowedShare {
    fn note(&mut self, named: usize, allowed: usize) {
        self.named = self.named * SHARE_DECAY + named as f64;
        self.allowed = self.allowed * SHARE_DECAY + allowed as f64;
    }

    pub(crate) fn share(self) -> f64 {
        (self.allowed / self.named).clamp(0.05, 1.0)
    }
}

impl Cell {
    /// Takes the reply to a part of a call for advice, on the workers `named`, or `None` if it failed.
    ///
    /// A reply counts for the workers that its own part named, since others are out. After the `last` part
    /// the step may ask again.
    pub fn advice_settled(
        &mut self,
        step: StepId,
        named: &[Arc<str>],
        reply: Option<AdviceReply>,
        last: bool,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let queue = job.spec.as_ref().map(|spec| spec.queue.clone());
        let Some(run) = job.step_mut(step) else {
            return;
        };
        let advice = &mut run.advice;
        if last {
            advice.asked_at = None;
            advice.answered_at = Some(now);
        }
        let Some(reply) = reply else {
            advice.retry_at = Some(now + RETRY_PAUSE);
            return;
        };
        let by_id = &self.by_id;
        let asked: Vec<WorkerKey> = named
            .iter()
            .filter_map(|id| by_id.get(id).copied())
            .collect();
        advice.tickets.retain(|t| !asked.contains(&t.worker));
        let until = now + reply.ticket_validity;
        for (id, ticket) in reply.allowed {
            if let Some(&worker) = by_id.get(&id).filter(|key| asked.contains(key)) {
                advice.tickets.push(Ticket {
                    worker,
                    ticket,
                    until,
                });
            }
        }
        let tickets = &advice.tickets;
        let allowed = |worker: &WorkerKey| tickets.iter().any(|t| t.worker == *worker);
        let denied: Vec<_> = asked.iter().copied().filter(|w| !allowed(w)).collect();
        if let Some(queue) = queue {
            let share = self.shares.entry(queue).or_default();
            share.note(asked.len(), asked.len() - denied.len());
        }
        advice.denied.extend(denied);
        self.touch();
    }
}
