//! Waiting steps of teams that have no room for them under their caps.
//!
//! They are kept apart from the other ready steps, so that passes do not go through them. Those of a team are sorted
//! by what a start needs: whether any of them has got room is found without looking at each.

use std::collections::BTreeMap;

use hs_wire::Resources;

use crate::StepId;
use crate::step_order::{OrderKey, ReadyStep, Timeliness};
use crate::team_usage::{TeamKey, TeamRoom};

/// Maximum number of steps of a team that a pass returns.
const MAX_STARTABLE_STEPS: usize = 64;

/// Least that a team has to have left for a step to make a start: one task, or all members of a gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StartNeed {
    pub team: TeamKey,
    /// Resources of each task.
    pub need: Resources,
    /// Number of tasks that start together.
    pub count: u32,
}

/// Sort key of the steps that need the same.
type NeedKey = ([u32; 5], u32);

/// Parked steps of one team.
type TeamBacklog = BTreeMap<NeedKey, BTreeMap<OrderKey, ReadyStep>>;

/// Place of a parked step.
#[derive(Clone, Copy, Debug)]
struct ParkedPlace {
    start_need: StartNeed,
    key: OrderKey,
}

/// Steps that wait until their teams have room.
#[derive(Debug, Default)]
pub(crate) struct ParkedSteps {
    places: BTreeMap<StepId, ParkedPlace>,
    teams: BTreeMap<TeamKey, TeamBacklog>,
}

impl StartNeed {
    fn key(&self) -> NeedKey {
        (self.need.dimensions(), self.count)
    }

    pub(crate) fn fits(&self, room: &TeamRoom) -> bool {
        room.admits(self.need, u64::from(self.count))
    }
}

impl ParkedSteps {
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn contains(&self, id: StepId) -> bool {
        self.places.contains_key(&id)
    }

    pub(crate) fn has_steps_of(&self, team: TeamKey) -> bool {
        self.teams.contains_key(&team)
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = StepId> {
        self.places.keys().copied()
    }

    pub(crate) fn insert(
        &mut self,
        step: ReadyStep,
        timeliness: Timeliness,
        start_need: StartNeed,
    ) {
        let key = step.key(timeliness);
        let team = self.teams.entry(start_need.team).or_default();
        let steps = team.entry(start_need.key()).or_default();
        steps.insert(key, step);
        self.places.insert(step.id, ParkedPlace { start_need, key });
    }

    /// Removes a step. Returns it with its place in the order and with what it needs.
    pub(crate) fn remove(&mut self, id: StepId) -> Option<(ReadyStep, OrderKey, StartNeed)> {
        let ParkedPlace { start_need, key } = self.places.remove(&id)?;
        let team = self.teams.get_mut(&start_need.team)?;
        let steps = team.get_mut(&start_need.key())?;
        let step = steps.remove(&key)?;
        if steps.is_empty() {
            team.remove(&start_need.key());
        }
        if team.is_empty() {
            self.teams.remove(&start_need.team);
        }
        Some((step, key, start_need))
    }

    /// Returns the steps of a team that may start in its room, in order: as many as can start together, or any that
    /// can start alone if `is_room_unused`. They are [`MAX_STARTABLE_STEPS`] at most.
    ///
    /// Steps that were returned before and that no worker can take must not keep the rest from the room.
    pub(crate) fn startable(
        &self,
        team: TeamKey,
        mut room: TeamRoom,
        is_room_unused: bool,
    ) -> Vec<StepId> {
        let Some(backlog) = self.teams.get(&team) else {
            return Vec::new();
        };
        // First step of each group that fits. Groups that no longer fit are left out.
        let mut firsts = BTreeMap::new();
        for ((need, count), steps) in backlog {
            let (need, count) = (Resources::from_dimensions(*need), u64::from(*count));
            let mut keys = steps.keys();
            if room.admits(need, count)
                && let Some(first) = keys.next()
            {
                firsts.insert(*first, (need, count, keys));
            }
        }
        let mut startable = Vec::new();
        while startable.len() < MAX_STARTABLE_STEPS
            && let Some((key, (need, count, mut keys))) = firsts.pop_first()
        {
            if !room.take(need, count) && !is_room_unused {
                continue;
            }
            startable.push(key.step);
            if let Some(next) = keys.next() {
                firsts.insert(*next, (need, count, keys));
            }
        }
        startable
    }

    /// Returns whether a step of a team may start in its room.
    pub(crate) fn has_startable(&self, team: TeamKey, room: &TeamRoom) -> bool {
        let backlog = self.teams.get(&team);
        let mut needs = backlog.into_iter().flat_map(BTreeMap::keys);
        needs.any(|(need, count)| room.admits(Resources::from_dimensions(*need), u64::from(*count)))
    }
}
