//! Classes of the jobs of teams: owed to their team, or surplus.
//!
//! The class is fixed when the owner first learns of a job. A new owner classifies the restored jobs in the order in
//! which they were accepted. It does not know when ended jobs were accepted, so its classes are those of the earlier
//! owner as far as the jobs have not ended.

use std::collections::BTreeSet;

use hs_share::{AdmissionGrants, JobClass, TokenBucket};
use slotmap::SecondaryMap;

use crate::JobId;
use crate::admission::MAX_GRANTS;
use crate::cell::Cell;
use crate::team_spec::TeamSpec;
use crate::team_usage::{TeamKey, TeamUsage};

/// Token buckets of the teams, and the jobs that wait for their classes.
#[derive(Debug)]
pub(crate) struct JobClasses {
    /// Buckets of the teams that a configuration has named.
    buckets: SecondaryMap<TeamKey, TokenBucket>,
    /// Jobs without a class, by the time at which they were accepted.
    unclassified: BTreeSet<(u64, JobId)>,
    /// Classes of the jobs that were admitted and not offered yet.
    pub(crate) grants: AdmissionGrants<JobId>,
}

impl Default for JobClasses {
    fn default() -> Self {
        Self {
            buckets: SecondaryMap::new(),
            unclassified: BTreeSet::new(),
            grants: AdmissionGrants::new(MAX_GRANTS),
        }
    }
}

impl JobClasses {
    /// Applies the weights of a configuration. The buckets of forgotten teams are dropped.
    pub(crate) fn configure(&mut self, teams: &[TeamSpec], usage: &mut TeamUsage) {
        for team in teams {
            let key = usage.intern(&team.name);
            match self.buckets.get_mut(key) {
                Some(bucket) => bucket.set_weight(team.weight),
                None => {
                    self.buckets.insert(key, TokenBucket::new(team.weight));
                }
            }
        }
        self.buckets.retain(|key, _| usage.name(key).is_some());
    }

    /// Lets a job wait for its class.
    pub(crate) fn postpone(&mut self, id: JobId, accepted_ms: u64) {
        self.unclassified.insert((accepted_ms, id));
    }

    /// Returns whether a configuration has named teams. Without one no job of a team can be classified.
    fn is_configured(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Classifies a job. A team that no configuration has named is owed all its jobs.
    pub(crate) fn class_of(&mut self, team: TeamKey, accepted_ms: u64) -> JobClass {
        let bucket = self.buckets.get_mut(team);
        bucket.map_or(JobClass::Owed, |bucket| bucket.take(accepted_ms))
    }
}

impl Cell {
    /// Returns whether a job that the cell knows is owed to its team.
    pub fn job_class(&self, id: JobId) -> Option<JobClass> {
        self.jobs.get(&id).map(|job| job.class)
    }

    /// Classifies a job that the owner learns of.
    pub(crate) fn classify_new_job(&mut self, id: JobId, accepted_ms: u64) {
        self.classify_restored_jobs();
        let Some(team) = self.jobs.get(&id).and_then(|job| job.team) else {
            return;
        };
        if !self.job_classes.is_configured() {
            self.job_classes.postpone(id, accepted_ms);
            return;
        }
        let granted = self.job_classes.grants.take(id);
        let class = granted.unwrap_or_else(|| self.job_classes.class_of(team, accepted_ms));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.class = class;
        }
        if class == JobClass::Surplus {
            self.count_surplus(id);
        }
    }

    /// Classifies the jobs that wait for it, in the order in which they were accepted, once teams are configured.
    pub(crate) fn classify_restored_jobs(&mut self) {
        if !self.job_classes.is_configured() {
            return;
        }
        for (accepted_ms, id) in std::mem::take(&mut self.job_classes.unclassified) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(team) = job.team else {
                continue;
            };
            job.class = self.job_classes.class_of(team, accepted_ms);
            if job.class == JobClass::Surplus {
                self.count_surplus(id);
                self.reorder_steps_of(id);
            }
        }
    }
}
