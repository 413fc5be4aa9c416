//! Surplus jobs of each team that have not ended, and the rate at which they are served.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use hs_share::{ServiceMeter, SurplusBacklog};
use slotmap::SecondaryMap;

use crate::JobId;
use crate::job_spec::JobSpec;
use crate::team_usage::TeamKey;

/// Backlogs of the teams that have had surplus jobs.
#[derive(Debug, Default)]
pub(crate) struct SurplusBacklogs {
    jobs: HashMap<JobId, SurplusJob>,
    teams: SecondaryMap<TeamKey, TeamBacklog>,
    /// Teams that have changed since the meters were last updated.
    changed: BTreeSet<TeamKey>,
}

/// Surplus job that has not ended.
#[derive(Clone, Copy, Debug)]
struct SurplusJob {
    team: TeamKey,
    work: f64,
    objective: Duration,
}

/// Backlog of one team.
#[derive(Debug, Default)]
struct TeamBacklog {
    jobs: usize,
    work: f64,
    /// Sum of the objectives of the jobs.
    objectives: Duration,
    /// Work that has ended since the meter was last updated.
    served: f64,
    meter: Option<ServiceMeter>,
    is_congested: bool,
}

/// Returns the expected work of a job, in thousandths of a core for a millisecond.
fn expected_work(spec: &JobSpec) -> f64 {
    let works = spec.steps.iter().map(|step| {
        let cpu_milli = f64::from(step.need.cpu_milli.max(1));
        f64::from(step.count) * cpu_milli * step.estimate_ms.max(1) as f64
    });
    works.sum()
}

impl SurplusBacklogs {
    /// Adds a surplus job that has not ended.
    pub(crate) fn add(&mut self, id: JobId, team: TeamKey, spec: &JobSpec, objective: Duration) {
        let job = SurplusJob {
            team,
            work: expected_work(spec),
            objective,
        };
        if self.jobs.insert(id, job).is_some() {
            return;
        }
        if !self.teams.contains_key(team) {
            self.teams.insert(team, TeamBacklog::default());
        }
        if let Some(backlog) = self.teams.get_mut(team) {
            backlog.jobs += 1;
            backlog.work += job.work;
            backlog.objectives += objective;
            self.changed.insert(team);
        }
    }

    /// Removes a job that has ended, whatever its class.
    pub(crate) fn remove(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(backlog) = self.teams.get_mut(job.team) {
            backlog.jobs -= 1;
            // The sum of an empty backlog is exact, so that errors of rounding do not last.
            backlog.work = match backlog.jobs {
                0 => 0.0,
                _ => (backlog.work - job.work).max(0.0),
            };
            backlog.objectives -= job.objective;
            backlog.served += job.work;
            self.changed.insert(job.team);
        }
    }

    /// Records what was served since the last call.
    pub(crate) fn update_meters(&mut self, now: Instant) {
        for team in std::mem::take(&mut self.changed) {
            let Some(backlog) = self.teams.get_mut(team) else {
                continue;
            };
            let meter = backlog.meter.get_or_insert_with(|| ServiceMeter::new(now));
            meter.record(std::mem::take(&mut backlog.served), now);
            meter.set_backlog(backlog.jobs > 0, now);
        }
    }

    /// Returns the backlog of a team as seen by a job with this objective.
    pub(crate) fn backlog(
        &self,
        team: TeamKey,
        objective: Duration,
        now: Instant,
    ) -> SurplusBacklog {
        let backlog = self.teams.get(team);
        SurplusBacklog {
            jobs: backlog.map_or(0, |backlog| backlog.jobs),
            work: backlog.map_or(0.0, |backlog| backlog.work),
            rate: backlog.and_then(|backlog| backlog.meter?.rate(now)),
            objective,
        }
    }

    /// Returns the congested teams, those whose backlog takes the longest first.
    pub(crate) fn take_congested(&mut self, now: Instant) -> Vec<TeamKey> {
        let mut congested = Vec::new();
        let keys: Vec<TeamKey> = self.teams.keys().collect();
        for key in keys {
            let Some(team) = self.teams.get(key) else {
                continue;
            };
            let jobs = u32::try_from(team.jobs).unwrap_or(u32::MAX).max(1);
            let backlog = self.backlog(key, team.objectives / jobs, now);
            let is_congested = team.jobs > 0 && backlog.is_congested(team.is_congested);
            if let Some(team) = self.teams.get_mut(key) {
                team.is_congested = is_congested;
            }
            if is_congested {
                congested.push((std::cmp::Reverse(backlog.drain_time()), key));
            }
        }
        congested.sort_unstable();
        congested.into_iter().map(|(_, key)| key).collect()
    }

    /// Forgets the teams that `is_known` does not keep.
    pub(crate) fn retain(&mut self, is_known: impl Fn(TeamKey) -> bool) {
        self.teams.retain(|key, _| is_known(key));
    }
}
