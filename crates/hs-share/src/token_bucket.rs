//! Token bucket that tells the jobs that a team is owed from those beyond.

use std::time::Duration;

use crate::valid_weight;

/// Time whose tokens a bucket holds.
const DEPTH: Duration = Duration::from_secs(2);

/// Minimum depth in jobs. A team with a weight of 1 that sends 0.5 jobs a second often sends two or three within a
/// second; with a depth of one job these ordinary bursts would be surplus.
const MIN_DEPTH_JOBS: f64 = 5.0;

/// Time by which acceptance times that are behind the latest one have to progress before the bucket follows them.
/// Until then the bucket is not refilled, and after each such period a clock that runs ahead fills the bucket
/// once; so clocks that disagree add at most one depth in this time.
const REBASE_AFTER_MS: u64 = 5_000;

/// Largest progress that counts between two acceptance times that are behind. A single late job among current
/// ones then does not move the bucket.
const MAX_PROGRESS_STEP_MS: u64 = 1_000;

/// Whether a job is within what its team is owed.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum JobClass {
    /// The job found a token.
    #[default]
    Owed,
    /// The team had sent more jobs than its weight.
    Surplus,
}

/// Acceptance times that are behind the latest one.
#[derive(Clone, Copy, Debug)]
struct LateTimes {
    last_ms: u64,
    progress_ms: u64,
}

/// Token bucket of a team, with a rate of its weight in jobs a second.
///
/// Answers the load pattern of a team that sends a multiple of its usual jobs: those beyond its weight become
/// surplus, and a short burst of up to two seconds of jobs, or 5 jobs, does not.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    /// Latest acceptance time in Unix milliseconds; `None` before the first job.
    latest_ms: Option<u64>,
    late_times: Option<LateTimes>,
}

impl TokenBucket {
    /// Creates a full bucket. A weight that is not positive or not finite counts as 1.
    pub fn new(weight: f64) -> Self {
        let mut bucket = Self {
            rate: 1.0,
            tokens: 0.0,
            latest_ms: None,
            late_times: None,
        };
        bucket.set_weight(weight);
        bucket.tokens = bucket.depth();
        bucket
    }

    /// Changes the weight. Tokens beyond the new depth are lost.
    pub fn set_weight(&mut self, weight: f64) {
        self.rate = valid_weight(weight);
        self.tokens = self.tokens.min(self.depth());
    }

    /// Takes a token for a job that was accepted at this time.
    ///
    /// Times that are behind the latest one take tokens without adding any. If they stay behind, the clock that
    /// gave the latest one was wrong, and the bucket follows them without adding tokens for the jump.
    pub fn take(&mut self, accepted_ms: u64) -> JobClass {
        self.refill(accepted_ms);
        if self.tokens < 1.0 {
            return JobClass::Surplus;
        }
        self.tokens -= 1.0;
        JobClass::Owed
    }

    /// Returns the time from `now_ms` until the next token, zero if there is one.
    pub fn time_to_token(&self, now_ms: u64) -> Duration {
        let elapsed_ms = now_ms.saturating_sub(self.latest_ms.unwrap_or(now_ms));
        let tokens = self.tokens + elapsed_ms as f64 / 1000.0 * self.rate;
        let missing = (1.0 - tokens).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }

    fn depth(&self) -> f64 {
        (self.rate * DEPTH.as_secs_f64()).max(MIN_DEPTH_JOBS)
    }

    fn refill(&mut self, accepted_ms: u64) {
        let latest_ms = *self.latest_ms.get_or_insert(accepted_ms);
        if accepted_ms >= latest_ms {
            let added = (accepted_ms - latest_ms) as f64 / 1000.0 * self.rate;
            self.tokens = (self.tokens + added).min(self.depth());
            self.latest_ms = Some(accepted_ms);
            self.late_times = None;
            return;
        }
        let late = self.late_times.get_or_insert(LateTimes {
            last_ms: accepted_ms,
            progress_ms: 0,
        });
        let progress_ms = accepted_ms.saturating_sub(late.last_ms);
        late.progress_ms += progress_ms.min(MAX_PROGRESS_STEP_MS);
        late.last_ms = accepted_ms;
        if late.progress_ms >= REBASE_AFTER_MS {
            self.latest_ms = Some(accepted_ms);
            self.late_times = None;
        }
    }
}
