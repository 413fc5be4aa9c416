//! Replies of the advice service: which workers may run a step, and the tickets for them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::census::AdviceWait;
use crate::expected_use::ExpectedUse;
use crate::{StepId, WorkerKey};

/// Time after which an unanswered advice request counts as lost.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a failed advice request is retried, doubled with each further one that fails.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum exponent of the factor by which the delay grows.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// Estimated share of allowed workers before any reply is known.
const INITIAL_ALLOWED_SHARE: f64 = 0.4;

/// Reply to an advice request, or to a part of one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdviceReply {
    /// IDs of the allowed workers with their tickets.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// Time for which the tickets are valid, counted from the reply.
    pub ticket_validity: Duration,
}

/// Ticket that permits a worker to run a step.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub worker: WorkerKey,
    pub ticket: Arc<str>,
    /// Time at which the ticket expires.
    pub until: Instant,
}

/// Advice obtained for a step, and the state of its requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Tickets, ordered by worker.
    pub tickets: Vec<Ticket>,
    /// Workers that the advice service has not allowed, in order.
    pub denied: Vec<WorkerKey>,
    /// Time of the request that is in flight.
    pub requested_at: Option<Instant>,
    /// Capacity that the step is expected to use once that request is answered.
    pub expected_uses: Vec<ExpectedUse>,
    /// Time at which the last request was completed.
    pub answered_at: Option<Instant>,
    /// Earliest time of the next request, after one that failed or if there was no worker to name.
    pub retry_at: Option<Instant>,
    /// Number of parts that have failed since the last reply.
    pub failures: u32,
}

impl StepAdvice {
    /// Returns the ticket for a worker, if it is valid at `time`.
    pub(crate) fn ticket(&self, worker: WorkerKey, time: Instant) -> Option<&Arc<str>> {
        let ticket = self.any_ticket(worker)?;
        (time < ticket.until).then_some(&ticket.ticket)
    }

    /// Returns the ticket for a worker, even if it has expired.
    pub(crate) fn any_ticket(&self, worker: WorkerKey) -> Option<&Ticket> {
        let position = self.tickets.binary_search_by_key(&worker, |t| t.worker);
        position.ok().map(|position| &self.tickets[position])
    }

    /// Returns whether a reply has allowed or denied a worker.
    pub(crate) fn is_known(&self, worker: WorkerKey) -> bool {
        self.denied.binary_search(&worker).is_ok() || self.any_ticket(worker).is_some()
    }

    /// Returns the workers whose tickets are valid at `time`.
    pub(crate) fn valid_workers(&self, time: Instant) -> impl Iterator<Item = WorkerKey> + '_ {
        let valid = move |ticket: &&Ticket| time < ticket.until;
        self.tickets
            .iter()
            .filter(valid)
            .map(|ticket| ticket.worker)
    }

    /// Returns whether a request is in flight, or the next one is delayed.
    pub(crate) fn is_blocked(&self, now: Instant) -> bool {
        self.wait(now) != AdviceWait::Idle
    }

    /// Returns what the next request has to wait for.
    pub(crate) fn wait(&self, now: Instant) -> AdviceWait {
        let is_in_flight = |at| now < at + REQUEST_TIMEOUT;
        if self.requested_at.is_some_and(is_in_flight) {
            AdviceWait::InFlight
        } else if self.retry_at.is_some_and(|at| now < at) {
            AdviceWait::Delayed
        } else {
            AdviceWait::Idle
        }
    }
}

/// Estimate of the share of named workers that the advice service allows, from its replies for one queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AllowedShare {
    named: f64,
    allowed: f64,
}

/// Factor by which the weight of earlier replies decays with each new one.
const SHARE_DECAY: f64 = 0.95;

impl Default for AllowedShare {
    fn default() -> Self {
        Self {
            named: 10.0,
            allowed: 10.0 * INITIAL_ALLOWED_SHARE,
        }
    }
}

impl AllowedShare {
    fn record_reply(&mut self, named: usize, allowed: usize) {
        self.named = self.named * SHARE_DECAY + named as f64;
        self.allowed = self.allowed * SHARE_DECAY + allowed as f64;
    }

    pub(crate) fn share(self) -> f64 {
        (self.allowed / self.named).clamp(0.05, 1.0)
    }
}

impl Cell {
    /// Processes the reply to the part of an advice request that named the workers `named`. The reply is
    /// `None` if the part failed.
    ///
    /// A reply only updates the workers that its own part named, since other parts may still be in flight.
    /// After the `last` part the step may send a new request.
    pub fn advice_settled(
        &mut self,
        step: StepId,
        named: &[Arc<str>],
        reply: Option<AdviceReply>,
        last: bool,
        now: Instant,
    ) {
        if last {
            self.advice_window.remove(step);
        }
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let queue = job.spec.as_ref().map(|spec| spec.queue.clone());
        let Some(step_run) = job.step_mut(step) else {
            return;
        };
        let advice = &mut step_run.advice;
        if last {
            advice.requested_at = None;
            advice.answered_at = Some(now);
        }
        let Some(reply) = reply else {
            let doublings = advice.failures.min(MAX_RETRY_DOUBLINGS);
            advice.retry_at = Some(now + RETRY_DELAY * 2u32.pow(doublings));
            advice.failures += 1;
            return;
        };
        advice.failures = 0;
        let workers_by_id = &self.workers_by_id;
        let mut named_keys: Vec<WorkerKey> = named
            .iter()
            .filter_map(|id| workers_by_id.get(id).copied())
            .collect();
        named_keys.sort_unstable();
        let is_named = |key: &WorkerKey| named_keys.binary_search(key).is_ok();
        advice.tickets.retain(|t| !is_named(&t.worker));
        let until = now + reply.ticket_validity;
        for (id, ticket) in reply.allowed {
            if let Some(&worker) = workers_by_id.get(&id).filter(|key| is_named(key)) {
                advice.tickets.push(Ticket {
                    worker,
                    ticket,
                    until,
                });
            }
        }
        advice.tickets.sort_unstable_by_key(|ticket| ticket.worker);
        let is_denied = |key: &WorkerKey| advice.any_ticket(*key).is_none();
        let denied: Vec<_> = named_keys.iter().copied().filter(is_denied).collect();
        if let Some(queue) = queue {
            let share = self.allowed_shares.entry(queue).or_default();
            share.record_reply(named_keys.len(), named_keys.len() - denied.len());
        }
        advice.denied.extend(denied);
        advice.denied.sort_unstable();
        advice.denied.dedup();
        self.hold_tickets(step);
        self.request_pass();
    }
}
