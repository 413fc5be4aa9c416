//! Teams of the configuration, and the check that no start brings one over its cap.

use std::collections::BTreeMap;
use std::sync::Arc;

use hs_cell::{JobId, JobSpec, TaskId, TeamSpec};
use hs_wire::Resources;

use super::World;

/// Teams of a world.
#[derive(Debug, Default)]
pub struct FakeTeams {
    /// Caps of the configuration that the owner has.
    caps: BTreeMap<Arc<str>, Resources>,
    /// Caps under which placements were made that may not have been sent yet.
    earlier_caps: Vec<(Arc<str>, Resources)>,
    /// Weights other than 1.
    weights: BTreeMap<Arc<str>, f64>,
}

impl FakeTeams {
    pub(super) fn specs(&self) -> Vec<TeamSpec> {
        let caps = self.caps.iter();
        caps.map(|(name, cap)| TeamSpec {
            name: name.clone(),
            weight: self.weights.get(name).copied().unwrap_or(1.0),
            cap: *cap,
        })
        .collect()
    }

    /// Forgets the earlier caps, since all placements under them have been sent.
    pub(super) fn forget_earlier_caps(&mut self) {
        self.earlier_caps.clear();
    }

    /// Returns the caps that may be in force for a team.
    fn caps_of(&self, team: &Arc<str>) -> impl Iterator<Item = Resources> {
        let earlier = self
            .earlier_caps
            .iter()
            .filter(move |(name, _)| name == team);
        let earlier = earlier.map(|(_, cap)| *cap);
        earlier.chain(self.caps.get(team).copied())
    }
}

impl World {
    /// Changes the cap of a team. An owner without a configuration learns of it with that.
    pub fn set_cap(&mut self, team: &str, cap: Resources) {
        let name: Arc<str> = team.into();
        if let Some(earlier) = self.teams.caps.insert(name.clone(), cap) {
            self.teams.earlier_caps.push((name, earlier));
        }
        if self.has_config {
            self.cell.configure_teams(self.teams.specs());
        }
    }

    /// Changes the weight of a team, which is added without a cap if it is not configured.
    pub fn set_weight(&mut self, team: &str, weight: f64) {
        let name: Arc<str> = team.into();
        self.teams.caps.entry(name.clone()).or_default();
        self.teams.weights.insert(name, weight);
        if self.has_config {
            self.cell.configure_teams(self.teams.specs());
        }
    }

    /// Returns the resources of all runs of a team on workers that are up.
    pub fn running_of_team(&self, team: &str) -> Resources {
        let workers = self.workers.iter().filter(|worker| worker.up);
        let runs = workers.flat_map(|worker| worker.running.iter());
        let of_team = runs.filter(|(run, _)| self.team_of(run.task.job()) == Some(team));
        of_team.fold(Resources::ZERO, |sum, (_, need)| sum.saturating_add(*need))
    }

    fn team_of(&self, job: JobId) -> Option<&str> {
        self.store.jobs[&job].0.team.as_deref()
    }

    /// Panics if a run that has just started brings its team over the highest cap that may be in force.
    pub(super) fn check_cap(&self, task: TaskId) {
        let (spec, _) = &self.store.jobs[&task.job()];
        let Some(team) = &spec.team else {
            return;
        };
        let used = self.running_of_team(team);
        let mut caps = self.teams.caps_of(team).peekable();
        let is_unlimited = caps.peek().is_none();
        assert!(
            is_unlimited || caps.any(|cap| fits_cap(used, cap)),
            "{task:?} brings team {team} to {used:?}"
        );
    }

    /// Returns whether a step has room for a start under the cap of its team.
    pub fn has_cap_room(&self, spec: &JobSpec, need: Resources) -> bool {
        let Some(team) = &spec.team else {
            return true;
        };
        let cap = self.teams.caps.get(team).copied();
        let used = self.running_of_team(team);
        fits_cap(used.saturating_add(need), cap.unwrap_or(Resources::ZERO))
    }
}

fn fits_cap(used: Resources, cap: Resources) -> bool {
    let mut pairs = used.dimensions().into_iter().zip(cap.dimensions());
    pairs.all(|(used, cap)| cap == 0 || used <= cap)
}
