//! Waiting steps, kept in the order in which they are placed.
//!
//! A scheduling pass only looks at a part of a long backlog. The order is therefore kept between the passes, and
//! a step moves when it changes its timeliness, the time of which is known from the beginning.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Instant;

use slotmap::SecondaryMap;

use crate::cell::Cell;
use crate::parked_steps::{ParkedSteps, StartNeed};
use crate::step_group::{FrontStep, GroupPlace, StepGroup};
use crate::step_order::{OrderKey, ReadyStep, StepRank, Timeliness};
use crate::team_shares::SharePlan;
use crate::team_usage::TeamKey;
use crate::{JobId, StepId};

/// Place of a group of steps in the order.
type GroupKey = (StepRank, u8);

/// Steps with waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct ReadySteps {
    groups: BTreeMap<GroupKey, StepGroup>,
    keys: BTreeMap<StepId, OrderKey>,
    /// Number of steps in the groups, by team.
    team_counts: SecondaryMap<TeamKey, usize>,
    /// Last times at which steps have their present timeliness.
    changes: BTreeSet<(Instant, StepId)>,
    /// Steps whose queue is not configured.
    unconfigured: BTreeSet<StepId>,
    /// Steps whose teams have no room for them. They have no place in the order.
    pub(crate) parked: ParkedSteps,
}

fn group_key(key: OrderKey) -> GroupKey {
    (key.rank, key.priority)
}

fn place_in_group(key: OrderKey) -> GroupPlace {
    (key.start_by, key.step)
}

fn group_steps(
    (key, group): (&GroupKey, &StepGroup),
) -> impl Iterator<Item = (OrderKey, ReadyStep)> {
    let timeliness = key.0.timeliness;
    group.steps().map(move |step| (step.key(timeliness), *step))
}

impl ReadySteps {
    /// Returns the number of steps that are not parked.
    pub(crate) fn len(&self) -> usize {
        self.keys.len() + self.unconfigured.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the place of a step in the order.
    pub(crate) fn key(&self, id: StepId) -> Option<OrderKey> {
        self.keys.get(&id).copied()
    }

    /// Returns the steps in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (OrderKey, ReadyStep)> {
        self.groups.iter().flat_map(group_steps)
    }

    /// Returns the steps that come after `key`, or all if it is `None`.
    pub(crate) fn after(
        &self,
        key: Option<OrderKey>,
    ) -> impl Iterator<Item = (OrderKey, ReadyStep)> {
        let group = key.and_then(|key| self.groups.get(&group_key(key)));
        let rest = group.zip(key).map(|(group, key)| {
            let steps = group.steps_after(place_in_group(key));
            steps.map(move |step| (step.key(key.rank.timeliness), *step))
        });
        let from = key.map_or(Bound::Unbounded, |key| Bound::Excluded(group_key(key)));
        let later = self.groups.range((from, Bound::Unbounded));
        rest.into_iter()
            .flatten()
            .chain(later.flat_map(group_steps))
    }

    /// Returns whether a team has steps that are not parked.
    pub(crate) fn has_steps_of(&self, team: TeamKey) -> bool {
        self.team_counts.get(team).is_some_and(|count| *count > 0)
    }

    /// Returns the first `limit` steps of each priority in the order of a pass.
    pub(crate) fn first_of_priorities(
        &self,
        limit: usize,
        plan: &mut SharePlan<'_>,
    ) -> Vec<FrontStep> {
        let mut left: BTreeMap<u8, usize> = BTreeMap::new();
        let mut first = Vec::new();
        for ((rank, priority), group) in &self.groups {
            let left = left.entry(*priority).or_insert(limit);
            let earlier = first.len();
            group.add_front(*rank, *left, plan, &mut first);
            *left -= first.len() - earlier;
        }
        first
    }

    /// Moves at most `limit` steps to the places of their present timeliness, those that are due for longest
    /// first. Returns the number of steps that were moved.
    pub(crate) fn update_timeliness(&mut self, now: Instant, limit: usize) -> usize {
        let mut moved = 0;
        while moved < limit
            && let Some(&(until, id)) = self.changes.first()
            && until < now
        {
            if let Some((step, key, start_need)) = self.parked.remove(id) {
                self.remove_change(&step, key.rank.timeliness);
                let timeliness = step.limits.timeliness(now);
                self.parked.insert(step, timeliness, start_need);
                self.add_change(&step, timeliness);
                moved += 1;
                continue;
            }
            let Some(step) = self.remove(id) else {
                self.changes.pop_first();
                continue;
            };
            self.insert_as(step, step.limits.timeliness(now));
            moved += 1;
        }
        moved
    }

    /// Adds a step. It counts as on time until its timeliness is updated.
    fn insert(&mut self, step: ReadyStep) {
        self.insert_as(step, Timeliness::OnTime);
    }

    fn insert_as(&mut self, step: ReadyStep, timeliness: Timeliness) {
        let key = step.key(timeliness);
        let group = self.groups.entry(group_key(key)).or_default();
        group.insert(place_in_group(key), step);
        if let Some(team) = step.team {
            let count = self.team_counts.get(team).copied().unwrap_or(0);
            self.team_counts.insert(team, count + 1);
        }
        self.keys.insert(step.id, key);
        self.add_change(&step, timeliness);
    }

    fn add_change(&mut self, step: &ReadyStep, timeliness: Timeliness) {
        if let Some(until) = step.limits.last_time_of(timeliness) {
            self.changes.insert((until, step.id));
        }
    }

    fn remove_change(&mut self, step: &ReadyStep, timeliness: Timeliness) {
        if let Some(until) = step.limits.last_time_of(timeliness) {
            self.changes.remove(&(until, step.id));
        }
    }

    /// Takes a step out of the order until its team has room.
    pub(crate) fn park(&mut self, id: StepId, start_need: StartNeed) {
        let key = self.key(id);
        if let Some((key, step)) = key.zip(self.remove(id)) {
            self.parked.insert(step, key.rank.timeliness, start_need);
            self.add_change(&step, key.rank.timeliness);
        }
    }

    /// Returns a parked step to its place in the order.
    pub(crate) fn unpark(&mut self, id: StepId) {
        if let Some((step, key, _)) = self.parked.remove(id) {
            self.remove_change(&step, key.rank.timeliness);
            self.insert_as(step, key.rank.timeliness);
        }
    }

    pub(crate) fn remove(&mut self, id: StepId) -> Option<ReadyStep> {
        self.unconfigured.remove(&id);
        if let Some((step, key, _)) = self.parked.remove(id) {
            self.remove_change(&step, key.rank.timeliness);
            return Some(step);
        }
        let key = self.keys.remove(&id)?;
        let group = self.groups.get_mut(&group_key(key))?;
        let step = group.remove(place_in_group(key))?;
        if group.is_empty() {
            self.groups.remove(&group_key(key));
        }
        if let Some(count) = step.team.and_then(|team| self.team_counts.get_mut(team)) {
            *count -= 1;
        }
        self.remove_change(&step, key.rank.timeliness);
        Some(step)
    }

    fn take_ids(&mut self) -> Vec<StepId> {
        let earlier = std::mem::take(self);
        let parked = earlier.parked.ids();
        earlier
            .keys
            .keys()
            .copied()
            .chain(earlier.unconfigured.iter().copied())
            .chain(parked)
            .collect()
    }
}

impl Cell {
    /// Adds the runnable steps of an occurrence to the ready steps.
    pub(crate) fn queue_runnable_steps(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(spec) = job.spec.clone() else {
            return;
        };
        let mut occurrences = job.occurrences.iter();
        let Some(found) = occurrences.find(|o| o.number == occurrence) else {
            return;
        };
        let steps = (0u16..).zip(&spec.steps);
        let runnable: Vec<u16> = steps
            .filter(|(_, step)| found.is_runnable(step))
            .map(|(step, _)| step)
            .collect();
        for step in runnable {
            self.queue_step(StepId {
                job: id,
                occurrence,
                step,
            });
        }
    }

    /// Adds a step to the ready steps, if it has waiting tasks.
    pub(crate) fn queue_step(&mut self, id: StepId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        let Some(step) = job.step_mut(id) else {
            return;
        };
        if step.queued || step.waiting_tasks().next().is_none() {
            return;
        }
        step.queued = true;
        self.insert_ready_step(id);
        self.request_pass();
    }

    pub(crate) fn insert_ready_step(&mut self, id: StepId) {
        match self.ready_step(id) {
            Some(step) => {
                self.ready_steps.insert(step);
                if !self.park_if_blocked(id) {
                    self.hold_tickets(id);
                }
            }
            None => {
                self.ready_steps.unconfigured.insert(id);
            }
        }
    }

    /// Puts all ready steps in order again, since the settings of queues have changed.
    pub(crate) fn reorder_ready_steps(&mut self) {
        for id in self.ready_steps.take_ids() {
            self.insert_ready_step(id);
        }
    }

    /// Puts the ready steps of a job in order again, since its class has changed.
    pub(crate) fn reorder_steps_of(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let queued = job.step_runs(id).filter(|(_, step)| step.queued);
        let steps: Vec<StepId> = queued.map(|(step, _)| step).collect();
        for step in steps {
            self.ready_steps.remove(step);
            self.insert_ready_step(step);
        }
    }

    pub(crate) fn dequeue_step(&mut self, id: StepId) {
        let job = self.jobs.get_mut(&id.job);
        if let Some(step) = job.and_then(|job| job.step_mut(id)) {
            step.queued = false;
        }
        self.ready_steps.remove(id);
        self.ticket_holders.remove(id);
    }

    /// Removes the ready steps of a job that has ended.
    pub(crate) fn dequeue_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let queued = job.step_runs(id).filter(|(_, step)| step.queued);
        let steps: Vec<StepId> = queued.map(|(step, _)| step).collect();
        for step in steps {
            self.dequeue_step(step);
        }
    }

    pub(crate) fn has_waiting_tasks(&self, id: StepId) -> bool {
        let job = self.jobs.get(&id.job).filter(|job| job.outcome.is_none());
        let step = job.and_then(|job| job.step(id));
        step.is_some_and(|step| step.waiting_tasks().next().is_some())
    }
}
