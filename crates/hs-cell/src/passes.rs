//! Scheduling passes: when they are made, and which of the waiting steps each one visits.
//!
//! A pass visits all steps of a short backlog. Of a long one it visits the first steps of each priority, the
//! steps that hold tickets, and some further steps, which have their turns one after the other. What it may
//! do for each of these is bounded (see the `pass_budget` module), so that the duration of a pass does not grow
//! with the backlog.

use std::time::{Duration, Instant};

use crate::StepId;
use crate::active_steps::ActiveSteps;
use crate::cell::Cell;
use crate::pass_budget::{MAX_PASS_COST, PassBudget, PassShare};
use crate::step_order::OrderKey;

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
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PlannedVisit {
    key: OrderKey,
    share: PassShare,
    /// Whether the visit is useless once the priority has all its active steps.
    must_be_active: bool,
}

/// Progress of a pass.
#[derive(Debug)]
struct PassProgress {
    active_steps: ActiveSteps,
    /// Work done for each part of the budget.
    spent: [u64; PassShare::COUNT],
    /// Last step that has had its turn.
    last_turn: Option<OrderKey>,
    turn_count: usize,
    /// Whether a step has missed its turn.
    missed_turn: bool,
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

    /// Notes whether a step that has a turn was visited. The first one that was not is the next one.
    fn record_turn(&mut self, key: OrderKey, is_visited: bool) {
        self.missed_turn |= !is_visited;
        if !self.missed_turn {
            self.last_turn = Some(key);
            self.turn_count += 1;
        }
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
        self.park_front_steps();
        self.visit_steps(now);
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
    fn visit_steps(&mut self, now: Instant) {
        let visits = self.planned_visits();
        let turns = visits.iter().filter(|v| v.share == PassShare::Turns);
        let is_last_round = turns.count() < MAX_TURNS;
        let mut progress = PassProgress {
            active_steps: ActiveSteps::new(self.free_index.total_cpu_milli()),
            spent: [0; PassShare::COUNT],
            last_turn: self.turns.last,
            turn_count: 0,
            missed_turn: false,
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
                progress.record_turn(visits[0].key, share.is_some());
            }
        }
        self.turns.last = match is_last_round && !progress.missed_turn {
            true => None,
            false => progress.last_turn,
        };
        self.record_turns(progress.turn_count);
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

    /// Returns the visits of the next pass in the order of the steps.
    fn planned_visits(&self) -> Vec<PlannedVisit> {
        let is_short = self.ready_steps.len() <= MAX_SHORT_BACKLOG;
        let front_steps = match is_short {
            true => MAX_SHORT_BACKLOG,
            false => FRONT_STEPS,
        };
        let front = self.ready_steps.first_of_priorities(front_steps);
        let visit = |key: OrderKey, share: PassShare| PlannedVisit {
            key,
            share,
            must_be_active: false,
        };
        let mut visits: Vec<PlannedVisit> = front
            .into_iter()
            .map(|(key, step)| PlannedVisit {
                must_be_active: step.is_advised && !is_short,
                ..visit(key, PassShare::Front)
            })
            .collect();
        let holders = self.ticket_holders.iter().take(MAX_HOLDERS);
        let holders = holders.filter_map(|id| self.ready_steps.key(id));
        visits.extend(holders.map(|key| visit(key, PassShare::Holders)));
        let turns = self.ready_steps.after(self.turns.last).take(MAX_TURNS);
        visits.extend(turns.map(|(key, _)| visit(key, PassShare::Turns)));
        visits.sort_unstable();
        visits
    }

    /// Parks steps of teams without room that would be visited for nothing, so that those behind them are visited.
    fn park_front_steps(&mut self) {
        if !self.team_usage.is_limited() || self.ready_steps.len() <= FRONT_STEPS {
            return;
        }
        for _ in 0..MAX_PARKING_ROUNDS {
            let front = self.ready_steps.first_of_priorities(FRONT_STEPS);
            let has_no_room = |id: &StepId| self.missing_room(*id).is_some();
            let ids = front.into_iter().map(|(key, _)| key.step);
            let blocked: Vec<StepId> = ids.filter(has_no_room).collect();
            if blocked.is_empty() {
                return;
            }
            for id in blocked {
                self.park_if_blocked(id);
            }
        }
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
