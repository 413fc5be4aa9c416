//! Health of one worker.

use std::time::{Duration, Instant};

use crate::{TaskEnd, WorkKey};

/// Number of finished tasks that the failure rate is taken over.
const WINDOW: u32 = 20;

/// Fewest finished tasks that say anything about a worker.
const MIN_ENDS: u32 = 5;

/// Length of the first ejection.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// Longest ejection.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Time after which a probe that still runs has passed. Without it a probe that is a long batch
/// task would keep a sound worker out for hours.
const PROBE_LIMIT: Duration = Duration::from_secs(10);

/// Whether a worker takes work in view of its failures.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum HealthState {
    /// It takes work.
    #[default]
    Healthy,
    /// It takes no work until a time.
    Ejected(Instant),
    /// It takes one piece of work as a probe.
    Probing,
    /// It runs its probe, which has passed at a time if it still runs then.
    Probed(WorkKey, Instant),
}

/// Ends of the last tasks of one worker, and its ejections.
#[derive(Debug, Default)]
pub(crate) struct WorkerHealth {
    /// Whether it takes work.
    pub(crate) state: HealthState,
    failures: u32,
    ends: u32,
    ejections: u32,
}

impl WorkerHealth {
    /// Records an end and returns whether the failure rate calls for an ejection.
    pub(crate) fn record(&mut self, end: TaskEnd) -> bool {
        let failed = match end {
            TaskEnd::Done => false,
            TaskEnd::Failed | TaskEnd::Refused => true,
            TaskEnd::Stopped => return false,
        };
        self.failures = (self.failures << 1 | u32::from(failed)) & ((1 << WINDOW) - 1);
        self.ends = (self.ends + 1).min(WINDOW);
        if self.ends == WINDOW && self.failures == 0 {
            self.ejections = 0;
        }
        self.ends >= MIN_ENDS && 2 * self.failures.count_ones() >= self.ends
    }

    /// Ejects the worker and returns for how long.
    pub(crate) fn eject(&mut self, now: Instant) -> Duration {
        let doublings = self.ejections.min(16);
        let pause = FIRST_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
        self.ejections += 1;
        self.failures = 0;
        self.ends = 0;
        self.state = HealthState::Ejected(now + pause);
        pause
    }

    /// Notes the piece of work that serves as the probe.
    pub(crate) fn probe(&mut self, work: WorkKey, now: Instant) {
        self.state = HealthState::Probed(work, now + PROBE_LIMIT);
    }

    /// Returns when the state changes by itself.
    pub(crate) fn wake(&self) -> Option<Instant> {
        match self.state {
            HealthState::Ejected(until) | HealthState::Probed(_, until) => Some(until),
            HealthState::Healthy | HealthState::Probing => None,
        }
    }
}
