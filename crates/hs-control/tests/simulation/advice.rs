//! The advice service of the simulated platform. It handles one call of each process at a time.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use hs_cell::{AdviceReply, StepId};

use crate::world::{Reply, World};

/// Time of a call that names no worker.
const BASE_TIME: Duration = Duration::from_millis(8);

/// Time of a call for each worker that it names.
const TIME_PER_WORKER: Duration = Duration::from_micros(400);

/// Time for which a ticket is valid.
const TICKET_VALIDITY: Duration = Duration::from_secs(2);

/// The service allows one worker of so many.
const WORKERS_PER_ALLOWED: u64 = 3;

/// State of the advice service.
#[derive(Debug, Default)]
pub struct SimAdvice {
    /// Time until which the service works on the calls of a process.
    busy_until: BTreeMap<usize, Duration>,
    /// Number of calls.
    pub calls: u64,
}

/// Returns whether a worker may run a step.
fn is_allowed(step: StepId, worker: &str) -> bool {
    let mut hasher = DefaultHasher::new();
    (step, worker).hash(&mut hasher);
    hasher.finish().is_multiple_of(WORKERS_PER_ALLOWED)
}

/// Returns the ticket with which a worker runs a step until a time.
fn ticket(step: StepId, worker: &str, end: Duration) -> String {
    format!("{step}|{worker}|{}", end.as_nanos())
}

/// Returns whether a ticket permits a worker to run a step now.
pub fn is_valid_ticket(text: &str, step: StepId, worker: &str, now: Duration) -> bool {
    let prefix = format!("{step}|{worker}|");
    let end = text.strip_prefix(&prefix).and_then(|end| end.parse().ok());
    end.is_some_and(|end: u128| now.as_nanos() <= end)
}

impl World {
    /// Processes a call of a process to the advice service.
    pub fn advise(
        &mut self,
        process: usize,
        step: StepId,
        workers: Vec<Arc<str>>,
        reply: Reply<AdviceReply>,
    ) {
        self.advice.calls += 1;
        let named = u32::try_from(workers.len()).expect("there are few workers");
        let busy_until = self.advice.busy_until.entry(process).or_default();
        let done_at = self.now.max(*busy_until) + BASE_TIME + TIME_PER_WORKER * named;
        *busy_until = done_at;
        self.at(done_at, move |world| {
            let end = world.now + TICKET_VALIDITY;
            let allowed = workers.into_iter().filter(|id| is_allowed(step, id));
            let allowed = allowed.map(|id| {
                let ticket = ticket(step, &id, end);
                (id, ticket.into())
            });
            let answer = AdviceReply {
                allowed: allowed.collect(),
                ticket_validity: TICKET_VALIDITY,
            };
            world.reply(reply, Ok(answer));
        });
    }
}
