//! Bound on the advice requests that are in flight.
//!
//! A request that no process can send soon serves nobody: when it is answered the workers that it names are taken
//! and the order of the steps has changed. Each request also costs the owner processor time, which a backlog
//! would otherwise use up with requests alone.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hs_share::JobClass;

use crate::StepId;
use crate::advice::REQUEST_TIMEOUT;
use crate::cell::Cell;
use crate::request_class::RequestClass;

/// Maximum number of requests that a scheduling pass emits.
const MAX_REQUESTS_PER_PASS: usize = 32;

/// Time within which the processes must be able to answer all requests of a class.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1500);

/// Request that is in flight.
#[derive(Clone, Copy, Debug)]
struct RequestInFlight {
    sent_at: Instant,
    class: RequestClass,
    job_class: JobClass,
    cost: Duration,
}

/// Expected duration of all requests of each class.
type ClassCosts = [Duration; RequestClass::ALL.len()];

/// Requests that are in flight.
#[derive(Debug, Default)]
pub(crate) struct AdviceWindow {
    /// Number of processes that send requests, if it is known.
    callers: Option<usize>,
    requests: BTreeMap<StepId, RequestInFlight>,
    /// Requests in the order in which they were sent, with some that have been answered.
    by_age: VecDeque<(Instant, StepId)>,
    owed_costs: ClassCosts,
    /// Requests of surplus jobs. They take no room from those of owed jobs, which are sent first.
    surplus_costs: ClassCosts,
    sent_in_pass: usize,
}

impl AdviceWindow {
    /// Begins a scheduling pass. Requests that have not been answered for long count as lost.
    pub(crate) fn begin_pass(&mut self, now: Instant) {
        self.sent_in_pass = 0;
        while let Some(&(sent_at, step)) = self.by_age.front()
            && now >= sent_at + REQUEST_TIMEOUT
        {
            self.by_age.pop_front();
            let request = self.requests.get(&step);
            if request.is_some_and(|request| request.sent_at == sent_at) {
                self.remove(step);
            }
        }
    }

    /// Returns whether the current pass has emitted all the requests that it may.
    pub(crate) fn is_pass_over(&self) -> bool {
        self.sent_in_pass >= MAX_REQUESTS_PER_PASS
    }

    /// Returns whether a request with this expected duration may be sent now. One of each class always may.
    pub(crate) fn admits(&self, cost: Duration, job_class: JobClass) -> bool {
        let Some(callers) = self.callers else {
            return true;
        };
        let class = RequestClass::of(cost);
        let callers = callers.saturating_sub(class.first_caller(callers)).max(1);
        let callers = u32::try_from(callers).unwrap_or(u32::MAX);
        let owed = self.owed_costs[class as usize];
        let in_flight = match job_class {
            JobClass::Owed => owed,
            JobClass::Surplus => owed + self.surplus_costs[class as usize],
        };
        in_flight < MAX_ANSWER_TIME.saturating_mul(callers)
    }

    pub(crate) fn add(&mut self, step: StepId, cost: Duration, job_class: JobClass, now: Instant) {
        self.remove(step);
        let class = RequestClass::of(cost);
        let request = RequestInFlight {
            sent_at: now,
            class,
            job_class,
            cost,
        };
        self.requests.insert(step, request);
        self.by_age.push_back((now, step));
        self.costs(job_class)[class as usize] += cost;
        self.sent_in_pass += 1;
    }

    pub(crate) fn remove(&mut self, step: StepId) {
        if let Some(request) = self.requests.remove(&step) {
            self.costs(request.job_class)[request.class as usize] -= request.cost;
        }
    }

    fn costs(&mut self, job_class: JobClass) -> &mut ClassCosts {
        match job_class {
            JobClass::Owed => &mut self.owed_costs,
            JobClass::Surplus => &mut self.surplus_costs,
        }
    }
}

impl Cell {
    /// Sets the number of processes that send advice requests, with the owner. Until then the number of
    /// requests in flight is not bounded by it.
    pub fn set_advice_callers(&mut self, count: usize) {
        self.advice_window.callers = Some(count);
    }
}
