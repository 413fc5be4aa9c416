//! Entitled shares of the teams, and which teams hold more.
//!
//! A team is entitled to its weight over the weights of all teams that have waiting or running work. What it holds is
//! the largest of its shares of CPU, memory and accelerators. While room is short, the owed steps of teams above
//! their share come after those of the others.
//!
//! A pass places many steps. It counts what the earlier steps of a team in its order need as if they ran, so that a
//! team below its share cannot take all free room in one pass.

use std::collections::HashMap;

use hs_share::{JobClass, NormalizedShare, ResourceSum, valid_weight};
use slotmap::SecondaryMap;

use crate::cell::Cell;
use crate::job::Job;
use crate::ready_steps::ReadySteps;
use crate::step_order::OrderKey;
use crate::team_spec::TeamSpec;
use crate::team_usage::{TeamKey, TeamUsage};
use crate::{JobId, StepId};

/// Part of its entitled share below which the use of a team above it has to fall. Without the difference a team at
/// its share would change with each start and end.
const RELIEF: f64 = 0.9;

/// Shares of the teams that a configuration has named.
#[derive(Debug, Default)]
pub(crate) struct TeamShares {
    /// Capacity of the workers that are available.
    capacity: ResourceSum,
    teams: SecondaryMap<TeamKey, TeamShare>,
}

/// Share of one team.
#[derive(Clone, Copy, Debug)]
struct TeamShare {
    weight: f64,
    used: ResourceSum,
    /// Whether the team holds more than its entitled share, or did and has not fallen clearly below it.
    is_above: bool,
    /// Share by weight beyond which its next step comes after those of other teams.
    limit: f64,
}

impl TeamShares {
    /// Applies the weights of a configuration. Forgotten teams are dropped.
    pub(crate) fn configure(&mut self, teams: &[TeamSpec], usage: &mut TeamUsage) {
        for team in teams {
            let key = usage.intern(&team.name);
            let weight = valid_weight(team.weight);
            match self.teams.get_mut(key) {
                Some(share) => share.weight = weight,
                None => {
                    let share = TeamShare {
                        weight,
                        used: ResourceSum::default(),
                        is_above: false,
                        limit: f64::INFINITY,
                    };
                    self.teams.insert(key, share);
                }
            }
        }
        self.teams.retain(|key, _| usage.name(key).is_some());
    }

    /// Finds the entitled shares for the next pass. A team without work counts for nothing.
    pub(crate) fn refresh(
        &mut self,
        usage: &TeamUsage,
        ready_steps: &ReadySteps,
        capacity: ResourceSum,
    ) {
        self.capacity = capacity;
        let mut weights = 0.0;
        for (key, share) in &mut self.teams {
            share.used = usage.used_by(key);
            if !share.used.is_zero() || ready_steps.has_steps_of(key) {
                weights += share.weight;
            }
        }
        // The share by weight of a team at its entitled share is the same for all teams.
        let entitled = 1.0 / weights;
        for share in self.teams.values_mut() {
            let limit = match share.is_above {
                true => entitled * RELIEF,
                false => entitled,
            };
            share.is_above = share.normalized(share.used, capacity) > limit;
            share.limit = match share.is_above {
                true => entitled * RELIEF,
                false => entitled,
            };
        }
    }
}

impl TeamShare {
    fn normalized(&self, used: ResourceSum, capacity: ResourceSum) -> f64 {
        NormalizedShare::new(used, capacity, self.weight).value()
    }
}

/// Use of the teams that have steps in the order of a pass so far, with what these need.
pub(crate) type PlannedUse = SecondaryMap<TeamKey, ResourceSum>;

/// What the teams are going to hold after the steps that a pass has in its order so far.
#[derive(Debug)]
pub(crate) struct SharePlan<'a> {
    shares: &'a TeamShares,
    jobs: &'a HashMap<JobId, Job>,
    planned: PlannedUse,
}

impl<'a> SharePlan<'a> {
    /// Begins with what the teams hold, or goes on after the steps that are planned.
    pub(crate) fn new(
        shares: &'a TeamShares,
        jobs: &'a HashMap<JobId, Job>,
        planned: PlannedUse,
    ) -> Self {
        Self {
            shares,
            jobs,
            planned,
        }
    }

    pub(crate) fn into_planned(self) -> PlannedUse {
        self.planned
    }

    /// Returns whether the shares of teams matter for the order of steps of this class.
    pub(crate) fn orders(&self, class: JobClass) -> bool {
        class == JobClass::Owed && !self.shares.teams.is_empty()
    }

    /// Returns whether a team is above its share.
    pub(crate) fn is_above(&self, team: Option<TeamKey>) -> bool {
        let share = team.and_then(|key| Some((key, self.shares.teams.get(key)?)));
        let Some((key, share)) = share else {
            return false;
        };
        let used = self.planned.get(key).copied().unwrap_or(share.used);
        share.normalized(used, self.shares.capacity) > share.limit
    }

    /// Returns whether a step comes after those of teams below their share.
    pub(crate) fn is_step_above(&self, key: OrderKey) -> bool {
        let team = || self.jobs.get(&key.step.job).and_then(|job| job.team);
        self.orders(key.rank.class) && self.is_above(team())
    }

    /// Counts what the waiting tasks of a step need.
    pub(crate) fn add(&mut self, team: Option<TeamKey>, step: StepId) {
        let share = team.and_then(|key| Some((key, self.shares.teams.get(key)?)));
        let (Some((key, share)), Some(job)) = (share, self.jobs.get(&step.job)) else {
            return;
        };
        let (Some(run), Some(spec)) = (job.step(step), job.step_spec(step)) else {
            return;
        };
        let count = u32::try_from(run.waiting_tasks().count()).unwrap_or(u32::MAX);
        let mut used = self.planned.get(key).copied().unwrap_or(share.used);
        used.add(spec.allocated_resources(), count);
        self.planned.insert(key, used);
    }
}

impl Cell {
    /// Finds the entitled shares of the teams for a pass.
    pub(crate) fn refresh_team_shares(&mut self) {
        let capacity = self.free_index.total_capacity();
        self.team_shares
            .refresh(&self.team_usage, &self.ready_steps, capacity);
    }
}
