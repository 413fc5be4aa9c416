//! Which workers may run a step, where a policy outside decides.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::effect::{AdviceRequest, CellEffect};
use crate::queue_spec::AdviceSpec;
use crate::{StepId, WorkerKey};

/// Longest time that a call for advice may be out before it counts as lost.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time before its end at which a ticket is no longer used, since a start takes a store write and a
/// call to the worker.
pub(crate) const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// Most workers that one call may name.
const MAX_NAMED: usize = 100;

/// Fewest workers that a first call names.
const MIN_NAMED: usize = 8;

/// Share of workers that is expected to be allowed, before any reply is known.
const EXPECTED_SHARE: f64 = 0.4;

/// Room asked for as a multiple of what the step takes, since some allowed workers are busy.
const ROOM_FACTOR: f64 = 2.0;

/// The reply to a call for advice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdviceReply {
    /// Allowed workers with their tickets.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// Validity of the tickets, counted from the reply.
    pub valid: Duration,
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

    fn is_busy(&self, now: Instant) -> bool {
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

    fn share(self) -> f64 {
        (self.allowed / self.named).clamp(0.05, 1.0)
    }
}

impl Cell {
    /// Takes the reply to a call for advice on the workers `named`, or `None` if the call failed.
    ///
    /// A reply counts for the workers that its own call named, since a later call may be out already.
    pub fn advice_settled(
        &mut self,
        step: StepId,
        named: &[Arc<str>],
        reply: Option<AdviceReply>,
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
        advice.asked_at = None;
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
        let until = now + reply.valid;
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

    /// Asks for advice on a step where that helps.
    ///
    /// A step without an allowed worker that has room asks about further workers. The tickets of
    /// allowed workers are renewed before they end, since the set of a step never changes.
    ///
    /// `keep` says whether tickets are renewed although the step would find no room now.
    pub(crate) fn ask_advice(
        &mut self,
        id: StepId,
        spec: AdviceSpec,
        wanted: u32,
        keep: bool,
        now: Instant,
    ) {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        if step.is_none_or(|step| step.advice.is_busy(now)) {
            return;
        }
        let Some((queue, eligible)) = self.eligible(id, now) else {
            return;
        };
        let share = self.shares.get(&queue).copied().unwrap_or_default().share();
        let priority = self.queues.get(&queue).map_or(0, |queue| queue.priority);
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (Some(step), Some(step_spec)) = (job.step(id), job.step_spec(id)) else {
            return;
        };
        let advice = &step.advice;
        let need = step_spec.held();
        let limit = match step_spec.max_per_worker {
            0 => u32::MAX,
            limit => u32::from(limit),
        };
        let room = |key: WorkerKey| {
            let worker = &self.workers[key];
            need.count_in(worker.entry.capacity).min(limit)
        };
        let free = |key: WorkerKey| need.count_in(self.workers[key].free()).min(limit);
        let renew_within = spec.cost(advice.tickets.len()) + TICKET_MARGIN * 2;
        let known: Vec<WorkerKey> = eligible
            .iter()
            .copied()
            .filter(|key| advice.tickets.iter().any(|t| t.worker == *key))
            .collect();
        let expiring = |key: &WorkerKey| {
            let mut tickets = advice.tickets.iter();
            tickets.any(|t| t.worker == *key && now + renew_within >= t.until)
        };
        let allowed_room: u32 = known
            .iter()
            .map(|key| free(*key))
            .fold(0, u32::saturating_add);
        let enough = if step_spec.gang { wanted } else { 1 };
        let mut named: Vec<WorkerKey> = match keep || allowed_room >= enough {
            true => known.iter().copied().filter(expiring).collect(),
            false => Vec::new(),
        };
        if allowed_room < wanted {
            let unknown = |key: &WorkerKey| !known.contains(key) && !advice.denied.contains(key);
            let mut fresh: Vec<WorkerKey> = eligible.iter().copied().filter(unknown).collect();
            fresh.sort_by_key(|key| std::cmp::Reverse(free(*key)));
            let per_worker = fresh.first().map_or(1, |key| room(*key).max(1));
            let missing = f64::from(wanted - allowed_room) / f64::from(per_worker);
            let count = (missing * ROOM_FACTOR / share).ceil() as usize;
            let first_call = advice.tickets.is_empty() && advice.denied.is_empty();
            // Later calls only ask about workers that could take a task at once.
            if !first_call {
                fresh.retain(|key| free(*key) > 0);
            }
            named.extend(fresh.into_iter().take(count.max(MIN_NAMED)));
        }
        named.truncate(MAX_NAMED);
        if named.is_empty() {
            return;
        }
        let cost = spec.cost(named.len());
        let request = AdviceRequest {
            step: id,
            workers: named,
            cost,
            priority,
        };
        if let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) {
            step.advice.asked_at = Some(now);
            step.advice.retry_at = None;
        }
        self.effects.push(CellEffect::Advise(request));
    }
}
