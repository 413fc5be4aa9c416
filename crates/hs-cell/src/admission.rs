//! Admission of jobs of congested teams, before they are stored.
//!
//! A team is congested while its surplus would take longer than the objective of these jobs. The processes ask for
//! admission of its jobs alone. A job that is admitted has its class from then on, and takes no second token when it is
//! offered.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_share::{AdmissionVerdict, JobClass};

use crate::JobId;
use crate::cell::Cell;
use crate::job_spec::JobSpec;

/// Maximum number of teams that are named as congested. Jobs of further ones are stored without being asked for.
const MAX_CONGESTED_TEAMS: usize = 64;

/// Maximum number of jobs that are admitted and not offered yet.
pub(crate) const MAX_GRANTS: usize = 4096;

impl Cell {
    /// Decides whether a job may be stored. A job that the cell knows or has admitted is admitted again.
    ///
    /// A refusal changes nothing, so that a job that was refused may be sent again.
    pub fn admit(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        now: Instant,
        now_ms: u64,
    ) -> AdmissionVerdict {
        self.classify_restored_jobs();
        let team = spec.team.as_ref();
        let team = team.and_then(|name| self.team_usage.key(name));
        let objective = self.objective(spec);
        let is_decided = self.jobs.contains_key(&id) || self.job_classes.grants.get(id).is_some();
        let (false, Some(team), Some(objective)) = (is_decided, team, objective) else {
            return AdmissionVerdict::Admitted;
        };
        let accepted_ms = spec.accepted_ms.min(now_ms);
        let class = self.job_classes.class_of(team, accepted_ms);
        let verdict = match class {
            JobClass::Owed => AdmissionVerdict::Admitted,
            JobClass::Surplus => {
                let backlog = self.surplus_backlogs.backlog(team, objective, now);
                backlog.verdict(spec.critical_path())
            }
        };
        if verdict == AdmissionVerdict::Admitted {
            self.job_classes.grants.add(id, class, now);
        }
        verdict
    }

    /// Returns the teams for whose jobs the processes have to ask for admission.
    pub fn congested_teams(&mut self, now: Instant) -> Vec<Arc<str>> {
        self.surplus_backlogs.update_meters(now);
        let teams = self.surplus_backlogs.take_congested(now).into_iter();
        let names = teams.filter_map(|key| self.team_usage.name(key).cloned());
        names.take(MAX_CONGESTED_TEAMS).collect()
    }

    /// Counts a surplus job that has not ended in the backlog of its team.
    pub(crate) fn count_surplus(&mut self, id: JobId) {
        let job = self.jobs.get(&id).filter(|job| job.outcome.is_none());
        let counted = job.and_then(|job| Some((job.team?, job.spec.clone()?)));
        if let Some((team, spec)) = counted {
            let objective = self.objective(&spec).unwrap_or(spec.critical_path());
            self.surplus_backlogs.add(id, team, &spec, objective);
        }
    }

    /// Returns the time in which a job is to end, or `None` if its queue is not configured.
    fn objective(&self, spec: &JobSpec) -> Option<Duration> {
        let queue = self.queues.get(&spec.queue)?;
        Some(spec.critical_path().mul_f64(queue.stretch.max(1.0)) + queue.target)
    }
}
