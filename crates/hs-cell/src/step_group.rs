//! Waiting steps of one rank and priority, with a queue for each team.
//!
//! All steps are kept in one order that does not depend on what the teams hold. The front of a pass is merged from the
//! queues of the teams, so that a change of what a team holds moves no steps, and the many steps of a team above its
//! share are not gone through to find those of the others.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Bound;
use std::time::Instant;

use crate::StepId;
use crate::step_order::{OrderKey, ReadyStep, StepRank};
use crate::team_shares::SharePlan;
use crate::team_usage::TeamKey;

/// Place of a step in its group: the latest start that meets its objective, and its ID.
pub(crate) type GroupPlace = (Instant, StepId);

/// First step of a team, or the next one after those that were taken.
type TeamFirst = (GroupPlace, Option<TeamKey>);

/// Steps of one rank and priority.
#[derive(Debug, Default)]
pub(crate) struct StepGroup {
    steps: BTreeMap<GroupPlace, ReadyStep>,
    /// Queue of each team, and of the steps without a team.
    queues: BTreeMap<Option<TeamKey>, BTreeSet<GroupPlace>>,
    /// First step of each queue.
    firsts: BTreeSet<TeamFirst>,
}

/// Step at the front of the order of a pass.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FrontStep {
    pub key: OrderKey,
    pub step: ReadyStep,
    /// Whether the step comes after those of its group whose teams are below their shares.
    pub is_above_share: bool,
}

impl StepGroup {
    pub(crate) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the steps in order.
    pub(crate) fn steps(&self) -> impl Iterator<Item = &ReadyStep> {
        self.steps.values()
    }

    /// Returns the steps that come after a place.
    pub(crate) fn steps_after(&self, place: GroupPlace) -> impl Iterator<Item = &ReadyStep> {
        let range = (Bound::Excluded(place), Bound::Unbounded);
        self.steps.range(range).map(|(_, step)| step)
    }

    pub(crate) fn insert(&mut self, place: GroupPlace, step: ReadyStep) {
        let team = step.team;
        self.steps.insert(place, step);
        let queue = self.queues.entry(team).or_default();
        let first = queue.first().copied();
        queue.insert(place);
        if first.is_none_or(|first| place < first) {
            if let Some(first) = first {
                self.firsts.remove(&(first, team));
            }
            self.firsts.insert((place, team));
        }
    }

    pub(crate) fn remove(&mut self, place: GroupPlace) -> Option<ReadyStep> {
        let step = self.steps.remove(&place)?;
        let team = step.team;
        let queue = self.queues.get_mut(&team)?;
        queue.remove(&place);
        if self.firsts.remove(&(place, team))
            && let Some(next) = queue.first()
        {
            self.firsts.insert((*next, team));
        }
        if queue.is_empty() {
            self.queues.remove(&team);
        }
        Some(step)
    }

    /// Adds the first `limit` steps to the front of a pass. Those of teams above their shares come last.
    pub(crate) fn add_front(
        &self,
        rank: StepRank,
        limit: usize,
        plan: &mut SharePlan<'_>,
        front: &mut Vec<FrontStep>,
    ) {
        if !plan.orders(rank.class) {
            let steps = self.steps().take(limit);
            front.extend(steps.map(|step| FrontStep::new(step, rank, false)));
            return;
        }
        let end = front.len() + limit;
        let mut firsts = self.firsts.iter().copied().peekable();
        let mut nexts = BinaryHeap::new();
        let mut above = BinaryHeap::new();
        while front.len() < end {
            let is_next_before = match (nexts.peek(), firsts.peek()) {
                (Some(Reverse(next)), Some(first)) => next < first,
                (next, _) => next.is_some(),
            };
            let taken = match is_next_before {
                true => nexts.pop().map(|Reverse(next)| next),
                false => firsts.next(),
            };
            let Some((place, team)) = taken else {
                break;
            };
            if plan.is_above(team) {
                above.push(Reverse((place, team)));
                continue;
            }
            nexts.extend(
                self.take(rank, (place, team), false, plan, front)
                    .map(Reverse),
            );
        }
        while front.len() < end
            && let Some(Reverse(first)) = above.pop()
        {
            above.extend(self.take(rank, first, true, plan, front).map(Reverse));
        }
    }

    /// Adds a step to the front of a pass, and returns the next one of its team.
    fn take(
        &self,
        rank: StepRank,
        (place, team): TeamFirst,
        is_above_share: bool,
        plan: &mut SharePlan<'_>,
        front: &mut Vec<FrontStep>,
    ) -> Option<TeamFirst> {
        let step = self.steps.get(&place)?;
        front.push(FrontStep::new(step, rank, is_above_share));
        plan.add(team, step.id);
        let queue = self.queues.get(&team)?;
        let mut later = queue.range((Bound::Excluded(place), Bound::Unbounded));
        later.next().map(|next| (*next, team))
    }
}

impl FrontStep {
    fn new(step: &ReadyStep, rank: StepRank, is_above_share: bool) -> Self {
        Self {
            key: step.key(rank.timeliness),
            step: *step,
            is_above_share,
        }
    }
}
