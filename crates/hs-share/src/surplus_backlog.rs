//! Whether a further surplus job of a team could be served in time.

use std::time::Duration;

/// Smallest `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest `Retry-After` of a refusal. A client that waits longer would miss capacity that gets free meanwhile.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Share of the objective below which the backlog of a congested team must fall. Without the difference a team
/// at its limit would change with each heartbeat.
const RELIEF: f64 = 0.5;

/// Decision about a surplus job that asks for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// The job can be served in time, or nothing shows that it can't.
    Admitted,
    /// The job can't be served in time.
    Refused {
        /// Time after which it could be, in whole seconds.
        retry_after: Duration,
    },
}

/// Surplus jobs of a team that wait, and how they are served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurplusBacklog {
    /// Number of waiting surplus jobs.
    pub jobs: usize,
    /// Expected work of these jobs, in any unit.
    pub work: f64,
    /// Work that is served a second; `None` if it is not known.
    pub rate: Option<f64>,
    /// Time from its acceptance in which a job is to end.
    pub objective: Duration,
}

impl SurplusBacklog {
    /// Returns the time until the backlog is served, or `None` if it is not known.
    pub fn drain_time(&self) -> Option<Duration> {
        if self.jobs == 0 || self.work <= 0.0 {
            return Some(Duration::ZERO);
        }
        let seconds = self.work / self.rate?.max(0.0);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Returns whether the team is congested, that is, whether its processes have to ask for admission.
    ///
    /// Answers the load pattern of one team at a multiple of its load: only this team's jobs pay for a further
    /// call. A team with an unknown rate is not congested.
    pub fn is_congested(&self, was_congested: bool) -> bool {
        let limit = match was_congested {
            true => self.objective.mul_f64(RELIEF),
            false => self.objective,
        };
        self.drain_time().is_some_and(|drained| drained > limit)
    }

    /// Decides whether a further surplus job can end in time if it runs for `run_time` after the backlog.
    ///
    /// Answers the load pattern of a surge that lasts: the backlog stays at what can be served within the
    /// objective, and the rest is refused before it is stored. A job of a team without a backlog is always
    /// admitted, so that a rate of zero does not last.
    pub fn verdict(&self, run_time: Duration) -> AdmissionVerdict {
        let Some(drained) = self.drain_time() else {
            return AdmissionVerdict::Admitted;
        };
        let latest_start = self.objective.saturating_sub(run_time);
        if drained <= latest_start || drained.is_zero() {
            return AdmissionVerdict::Admitted;
        }
        let excess = drained.saturating_sub(latest_start);
        // The time is the longest possible one while nothing is served.
        let partial_second = u64::from(excess.subsec_nanos() > 0);
        let whole_seconds = excess.as_secs().saturating_add(partial_second);
        let retry_after = Duration::from_secs(whole_seconds);
        AdmissionVerdict::Refused {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}
