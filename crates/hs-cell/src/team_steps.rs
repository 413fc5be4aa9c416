//! Steps of teams under their caps: which may start, and which are parked until their team has room.
//!
//! A step is parked when it is found to have no room, and returns once its team's usage falls or its cap rises. A step
//! without a team is never parked.

use std::collections::BTreeMap;

use crate::StepId;
use crate::cell::Cell;
use crate::job::Job;
use crate::parked_steps::StartNeed;
use crate::team_spec::TeamSpec;
use crate::team_usage::{TeamKey, TeamRoom};

/// Teams with room that parked steps could use, and whether steps that returned in the pass before left it unused.
pub(crate) type RoomyTeams = BTreeMap<TeamKey, bool>;

impl Cell {
    /// Applies the teams of a configuration. To be called before [`Cell::configure`], which lets jobs start.
    pub fn configure_teams(&mut self, teams: impl IntoIterator<Item = TeamSpec>) {
        let teams: Vec<TeamSpec> = teams.into_iter().collect();
        self.team_usage.configure(teams.iter().cloned());
        if self.team_usage.has_unconfigured() {
            let slots = self.workers.values().flat_map(|w| w.slots.values());
            let mut needed: Vec<TeamKey> = slots.filter_map(|slot| slot.team).collect();
            needed.extend(self.jobs.values().filter_map(|job| job.team));
            needed.sort_unstable();
            needed.dedup();
            let is_needed = |key: TeamKey| needed.binary_search(&key).is_ok();
            self.team_usage.forget_unconfigured(is_needed);
        }
        self.job_classes.configure(&teams, &mut self.team_usage);
        self.team_shares.configure(&teams, &mut self.team_usage);
        let usage = &self.team_usage;
        self.surplus_backlogs
            .retain(|key| usage.name(key).is_some());
        self.classify_restored_jobs();
        self.request_pass();
    }

    /// Returns what the runs of a team occupy, in the order of [`hs_wire::Resources::dimensions`]. Runs that are being
    /// stopped count.
    pub fn team_usage(&self, team: &str) -> [u64; 5] {
        self.team_usage.used(team)
    }

    /// Returns what the team of a job may still use.
    pub(crate) fn team_room(&self, job: &Job) -> TeamRoom {
        self.team_usage.room(job.team)
    }

    /// Returns what a step needs to make a start, or `None` if it has no team.
    pub(crate) fn start_need(&self, id: StepId) -> Option<StartNeed> {
        let job = self.jobs.get(&id.job)?;
        let team = job.team?;
        let spec = job.step_spec(id)?;
        let count = match spec.gang {
            true => u32::try_from(job.step(id)?.waiting_tasks().count()).unwrap_or(u32::MAX),
            false => 1,
        };
        Some(StartNeed {
            team,
            need: spec.allocated_resources(),
            count,
        })
    }

    /// Returns what a step needs, if its team has no room for that under its cap.
    pub(crate) fn missing_room(&self, id: StepId) -> Option<StartNeed> {
        let start_need = self.start_need(id)?;
        let room = self.team_usage.room(Some(start_need.team));
        (!start_need.fits(&room)).then_some(start_need)
    }

    /// Parks a step whose team has no room for it. Returns whether it did.
    pub(crate) fn park_if_blocked(&mut self, id: StepId) -> bool {
        let Some(start_need) = self.missing_room(id) else {
            return false;
        };
        self.ready_steps.park(id, start_need);
        self.ticket_holders.remove(id);
        self.drop_reservation(id);
        self.end_vacating(id);
        true
    }

    /// Ends the vacating of workers for a step.
    fn end_vacating(&mut self, id: StepId) {
        let workers = &mut self.workers;
        self.vacated_workers.retain(|key| {
            let worker = workers.get_mut(*key);
            let vacated_for = worker.map(|worker| &mut worker.vacated_for);
            let Some(vacated_for) = vacated_for.filter(|v| v.is_some_and(|v| v.step == id)) else {
                return true;
            };
            *vacated_for = None;
            false
        });
    }

    /// Returns parked steps of the teams that have got room to the order.
    pub(crate) fn return_parked_steps(&mut self) {
        for team in self.team_usage.take_relieved() {
            if self.ready_steps.parked.has_steps_of(team) {
                self.roomy_teams.entry(team).or_insert(false);
            }
        }
        for (team, was_unused) in std::mem::take(&mut self.roomy_teams) {
            let room = self.team_usage.room(Some(team));
            let parked = &self.ready_steps.parked;
            for id in parked.startable(team, room, was_unused) {
                self.ready_steps.unpark(id);
                self.hold_tickets(id);
            }
            if self.ready_steps.parked.has_startable(team, &room) {
                self.roomy_teams.insert(team, true);
            }
        }
    }

    /// Requests a further pass while parked steps could start. Teams whose room is used up are left out.
    pub(crate) fn review_roomy_teams(&mut self) {
        let (usage, parked) = (&self.team_usage, &self.ready_steps.parked);
        self.roomy_teams.retain(|team, _| {
            let room = usage.room(Some(*team));
            parked.has_startable(*team, &room)
        });
        self.pass_requested |= !self.roomy_teams.is_empty();
    }
}
