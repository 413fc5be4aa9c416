//! Scheduling passes: when they are made, and which of the waiting steps each one visits.
//!
//! A pass visits all steps of a short backlog. Of a long one it visits the first steps of each priority, the
//! steps that hold tickets, and some further steps, which have their turns one after the other. What it may
//! do for each of these is bounded (see the `pass_budget` module), so that the duration of a pass does not grow
//! with the backlog.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::StepId;
use crate::active_steps::ActiveSteps;
use crate::cell::Cell;
use crate::pass_budget::{MAX_PASS_COST, PassBudget, PassShare};
use crate::step_group::FrontStep;
use crate::step_order::OrderKey;
use crate::team_shares::{PlannedUse, SharePlan};

/// Interval of passes that no event requests. They are needed because tickets expire and quarantines end.
const IDLE_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between passes as a multiple of the duration of the last one, which bounds the share of CPU time
/// that passes take.
const PASS_INTERVAL_FACTOR: u32 = 4;

/// Minimum interval between passes. At thousands of worker reports a second, each of which requests a pass,
/// several reports share one.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of waiting steps that a pass visits all.
const MAX_SHORT_BACKLOG: usize = 500;

/// Number of steps at the front of each priority of a longer backlog. No more of them are active.
const FRONT_STEPS: usize = 256;

/// Maximum number of times that a pass parks the steps at the front of the priorities before it visits what is there.
const MAX_PARKING_ROUNDS: usize = 16;

/// Maximum number of steps that a pass visits since they hold tickets.
const MAX_HOLDERS: usize = 256;

/// Maximum number of steps that have their turn in a pass.
const MAX_TURNS: usize = 256;

/// Maximum number of steps that change their timeliness in a pass. After a takeover thousands do so at once.
const MAX_TIMELINESS_UPDATES: usize = 500;

/// Turns of the steps of a long backlog.
#[derive(Debug, Default)]
pub(crate) struct StepTurns {
    /// Last step that had its turn; `None` if the first one is next.
    last: Option<OrderKey>,
    /// Number of steps that are to have a turn since something has changed that may allow their placement.
    due: usize,
    has_changed: bool,
}

/// Step that a pass is to visit, and the reason.
#[derive(Clone, Copy, Debug)]
struct PlannedVisit {
    key: OrderKey,
    /// Whether the step comes after those of its group whose teams are below their shares.
    is_above_share: bool,
    share: PassShare,
    /// Whether the visit is useless once the priority has all its active steps.
    must_be_active: bool,
}

/// Steps at the front of the order of a pass.
#[derive(Debug)]
struct PassFront {
    steps: Vec<FrontStep>,
    /// What the teams are going to hold after these steps.
    planned: PlannedUse,
}

/// Progress of a pass.
#[derive(Debug)]
struct PassProgress {
    active_steps: ActiveSteps,
    /// Work done for each part of the budget.
    spent: [u64; PassShare::COUNT],
    /// Steps that have a turn, and whether they were visited.
    turns: Vec<(OrderKey, bool)>,
}

impl PassProgress {
    fn is_useful(&self, visit: &PlannedVisit) -> bool {
        !visit.must_be_active || self.active_steps.is_open(visit.key.priority)
    }

    /// Returns the first part of the budget that pays for one of the visits to a step.
    fn affordable_share(&self, visits: &[PlannedVisit], budget: &PassBudget) -> Option<PassShare> {
        let useful = visits.iter().filter(|visit| self.is_useful(visit));
        let mut shares = useful.map(|visit| visit.share);
        shares.find(|share| self.spent[*share as usize] < budget.share(*share))
    }

    /// Returns the steps that have had their turn. The first one that was not visited is the next one, in the order
    /// that does not depend on the shares of teams.
    fn completed_turns(&mut self) -> &[(OrderKey, bool)] {
        self.turns.sort_unstable();
        let missed = self.turns.iter().position(|(_, is_visited)| !is_visited);
        &self.turns[..missed.unwrap_or(self.turns.len())]
    }
}

impl Cell {
    /// Makes a scheduling pass if one was requested, or if steps wait and the last pass was made
    /// [`IDLE_PASS_INTERVAL`] ago. A requested pass waits for the minimum interval between passes.
    pub(crate) fn schedule(&mut self, now: Instant) {
        let since = |limit: Duration| {
            let old = |at: Instant| now.saturating_duration_since(at) >= limit;
            self.last_pass_at.is_none_or(old)
        };
        let due = !self.ready_steps.is_empty() && since(IDLE_PASS_INTERVAL);
        if !(due || self.pass_requested && since(self.pass_interval)) {
            return;
        }
        self.pass_requested = false;
        self.last_pass_at = Some(now);
        self.pass_work.reset();
        self.advice_window.begin_pass(now);
        self.refresh_reservations(now);
        self.refresh_vacated_workers(now);
        let moved = self
            .ready_steps
            .update_timeliness(now, MAX_TIMELINESS_UPDATES);
        self.pass_work.add_looks(moved);
        self.expected_use.clear();
        self.return_parked_steps();
        self.refresh_team_shares();
        let front = self.park_front_steps();
        self.visit_steps(front, now);
        self.review_roomy_teams();
    }

    /// Records the duration of the last call of [`Cell::advance`] as that of the scheduling pass. To be called
    /// only if the call made one.
    pub fn record_pass_cost(&mut self, cost: Duration) {
        let interval = cost.min(MAX_PASS_COST) * PASS_INTERVAL_FACTOR;
        self.pass_interval = interval.max(MIN_PASS_INTERVAL);
        self.pass_budget.record_pass(self.last_pass_work(), cost);
    }

    /// Returns the time of the last scheduling pass.
    pub fn last_pass_at(&self) -> Option<Instant> {
        self.last_pass_at
    }

    /// Returns the work of the last scheduling pass: the number of workers that it looked at, plus a fixed number
    /// for each step that it visited. It depends on the events alone, and not on the speed of the processor.
    pub fn last_pass_work(&self) -> u64 {
        self.pass_work.units()
    }

    /// Returns whether a scheduling pass is requested, which is made once the minimum interval has passed.
    pub fn wants_pass(&self) -> bool {
        self.pass_requested
    }

    /// Requests a scheduling pass, since something has changed that may allow a placement.
    pub(crate) fn request_pass(&mut self) {
        self.pass_requested = true;
        self.turns.has_changed = true;
    }

    /// Visits the planned steps in order, as far as the budget allows.
    fn visit_steps(&mut self, front: Option<PassFront>, now: Instant) {
        let visits = self.planned_visits(front);
        let turns = visits.iter().filter(|v| v.share == PassShare::Turns);
        let is_last_round = turns.count() < MAX_TURNS;
        let mut progress = PassProgress {
            active_steps: ActiveSteps::new(self.free_index.total_cpu_milli()),
            spent: [0; PassShare::COUNT],
            turns: Vec::new(),
        };
        for visits in visits.chunk_by(|a, b| a.key == b.key) {
            let share = progress.affordable_share(visits, &self.pass_budget);
            if let Some(share) = share {
                let earlier_work = self.pass_work.units();
                self.visit_step(visits[0].key, &mut progress.active_steps, now);
                progress.spent[share as usize] += self.pass_work.units() - earlier_work;
            } else if visits.iter().any(|visit| progress.is_useful(visit)) {
                self.pass_requested = true;
            }
            if visits.iter().any(|visit| visit.share == PassShare::Turns) {
                progress.turns.push((visits[0].key, share.is_some()));
            }
        }
        let due_turns = progress.turns.len();
        let completed = progress.completed_turns();
        self.turns.last = match is_last_round && completed.len() == due_turns {
            true => None,
            false => completed
                .last()
                .map_or(self.turns.last, |(key, _)| Some(*key)),
        };
        let count = completed.len();
        self.record_turns(count);
    }

    /// Requests a further pass until each step has had its turn since the last change.
    fn record_turns(&mut self, count: usize) {
        if std::mem::take(&mut self.turns.has_changed) {
            self.turns.due = self.ready_steps.len();
        }
        self.turns.due = match self.ready_steps.len() <= MAX_SHORT_BACKLOG {
            true => 0,
            false => self.turns.due.saturating_sub(count),
        };
        self.pass_requested |= self.turns.due > 0;
    }

    /// Returns the first `limit` steps of each priority in the order of a pass.
    fn pass_front(&self, limit: usize) -> PassFront {
        let mut plan = SharePlan::new(&self.team_shares, &self.jobs, PlannedUse::default());
        let steps = self.ready_steps.first_of_priorities(limit, &mut plan);
        PassFront {
            steps,
            planned: plan.into_planned(),
        }
    }

    /// Returns the visits of the next pass in the order of the steps. The front is that of a long backlog, if it is
    /// known.
    fn planned_visits(&self, front: Option<PassFront>) -> Vec<PlannedVisit> {
        let is_short = self.ready_steps.len() <= MAX_SHORT_BACKLOG;
        let front_steps = match is_short {
            true => MAX_SHORT_BACKLOG,
            false => FRONT_STEPS,
        };
        let front = front.filter(|_| !is_short);
        let front = front.unwrap_or_else(|| self.pass_front(front_steps));
        let plan = SharePlan::new(&self.team_shares, &self.jobs, front.planned);
        let front = front.steps;
        let mut visits: Vec<PlannedVisit> = front
            .iter()
            .map(|front| PlannedVisit {
                key: front.key,
                is_above_share: front.is_above_share,
                share: PassShare::Front,
                must_be_active: front.step.is_advised && !is_short,
            })
            .collect();
        // The visits to a step have one place in the order.
        let front_places = front
            .iter()
            .filter(|front| plan.orders(front.key.rank.class));
        let front_places: HashMap<StepId, bool> = front_places
            .map(|front| (front.key.step, front.is_above_share))
            .collect();
        let visit = |key: OrderKey, share: PassShare| PlannedVisit {
            key,
            is_above_share: match front_places.get(&key.step) {
                Some(is_above_share) => *is_above_share,
                None => plan.is_step_above(key),
            },
            share,
            must_be_active: false,
        };
        let holders = self.ticket_holders.iter().take(MAX_HOLDERS);
        let holders = holders.filter_map(|id| self.ready_steps.key(id));
        visits.extend(holders.map(|key| visit(key, PassShare::Holders)));
        let turns = self.ready_steps.after(self.turns.last).take(MAX_TURNS);
        visits.extend(turns.map(|(key, _)| visit(key, PassShare::Turns)));
        visits.sort_unstable_by_key(|visit| {
            let group = (visit.key.rank, visit.key.priority, visit.is_above_share);
            (group, visit.key, visit.share, visit.must_be_active)
        });
        visits
    }

    /// Parks steps of teams without room that would be visited for nothing, so that those behind them are visited.
    /// Returns the steps at the front of a long backlog, if it has found none to park.
    fn park_front_steps(&mut self) -> Option<PassFront> {
        if !self.team_usage.is_limited() || self.ready_steps.len() <= FRONT_STEPS {
            return None;
        }
        for _ in 0..MAX_PARKING_ROUNDS {
            let front = self.pass_front(FRONT_STEPS);
            let has_no_room = |id: &StepId| self.missing_room(*id).is_some();
            let ids = front.steps.iter().map(|step| step.key.step);
            let blocked: Vec<StepId> = ids.filter(has_no_room).collect();
            if blocked.is_empty() {
                return Some(front);
            }
            for id in blocked {
                self.park_if_blocked(id);
            }
        }
        None
    }

    fn visit_step(&mut self, key: OrderKey, active_steps: &mut ActiveSteps, now: Instant) {
        let id = key.step;
        if self.park_if_blocked(id) {
            return;
        }
        self.pass_work.add_visit();
        self.place_step(key, active_steps, now);
        if !self.has_waiting_tasks(id) {
            self.dequeue_step(id);
        } else if self.has_valid_ticket(id, now) {
            self.ticket_holders.move_back(id);
        } else {
            self.ticket_holders.remove(id);
        }
    }

    fn has_valid_ticket(&self, id: StepId, now: Instant) -> bool {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        step.is_some_and(|step| {
            step.advice
                .valid_workers(self.placement_ticket_end(now))
                .next()
                .is_some()
        })
    }

    /// Lets the next passes visit a step that holds tickets.
    pub(crate) fn hold_tickets(&mut self, id: StepId) {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let is_parked = self.ready_steps.parked.contains(id);
        if step.is_some_and(|step| step.queued && !step.advice.tickets.is_empty()) && !is_parked {
            self.ticket_holders.add_answered(id);
        }
    }
}
