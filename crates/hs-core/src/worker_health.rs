//! Health of one worker, based on the outcomes of its tasks.

use std::time::{Duration, Instant};

use crate::{TaskEnd, WorkKey};

/// Number of most recently finished tasks over which the failure rate is computed.
const FAILURE_WINDOW_TASKS: u32 = 20;

/// Minimum number of finished tasks before a worker can be ejected.
const MIN_FINISHED_TASKS: u32 = 5;

/// Duration of the first ejection. It doubles with every further ejection.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);

/// Upper bound on the duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);

/// Time after which a probe that is still running counts as passed. Without this limit, a probe
/// that is a long batch task would keep a healthy worker out of service for hours.
const PROBE_PASS_AFTER: Duration = Duration::from_secs(10);

/// Health of a worker, which determines how much work it gets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum HealthState {
    /// The worker takes work without restriction.
    #[default]
    Healthy,
    /// The worker takes no work until this time.
    Ejected(Instant),
    /// The ejection is over: the worker takes one work item as a probe.
    ProbePending,
    /// The worker runs this probe and takes no other work. The probe passes if it is still running
    /// at this time.
    ProbeRunning(WorkKey, Instant),
}

/// Recent task outcomes of one worker, and its ejections.
#[derive(Debug, Default)]
pub(crate) struct WorkerHealth {
    /// Health state.
    pub(crate) state: HealthState,
    /// Outcomes of the most recent tasks, the latest in the lowest bit; a set bit is a failure.
    failure_bits: u32,
    /// Number of valid bits in `failure_bits`.
    finished: u32,
    /// Number of ejections since the last full window without a failure.
    ejections: u32,
}

impl WorkerHealth {
    /// Records the end of a task and returns whether the worker should be ejected, which is the
    /// case if at least half of the tasks in the window failed. Stopped tasks are ignored.
    pub(crate) fn record_end(&mut self, end: TaskEnd) -> bool {
        let failed = match end {
            TaskEnd::Done => false,
            TaskEnd::Failed | TaskEnd::Refused => true,
            TaskEnd::Stopped => return false,
        };
        self.failure_bits =
            (self.failure_bits << 1 | u32::from(failed)) & ((1 << FAILURE_WINDOW_TASKS) - 1);
        self.finished = (self.finished + 1).min(FAILURE_WINDOW_TASKS);
        if self.finished == FAILURE_WINDOW_TASKS && self.failure_bits == 0 {
            self.ejections = 0;
        }
        self.finished >= MIN_FINISHED_TASKS && 2 * self.failure_bits.count_ones() >= self.finished
    }

    /// Ejects the worker and returns the duration of the ejection.
    pub(crate) fn eject(&mut self, now: Instant) -> Duration {
        let doublings = self.ejections.min(16);
        let pause = BASE_EJECTION_TIME
            .saturating_mul(1 << doublings)
            .min(MAX_EJECTION_TIME);
        self.ejections += 1;
        self.failure_bits = 0;
        self.finished = 0;
        self.state = HealthState::Ejected(now + pause);
        pause
    }

    /// Records the work item that serves as the probe.
    pub(crate) fn start_probe(&mut self, work: WorkKey, now: Instant) {
        self.state = HealthState::ProbeRunning(work, now + PROBE_PASS_AFTER);
    }

    /// Returns when the state changes without an input.
    pub(crate) fn next_change(&self) -> Option<Instant> {
        match self.state {
            HealthState::Ejected(until) | HealthState::ProbeRunning(_, until) => Some(until),
            HealthState::Healthy | HealthState::ProbePending => None,
        }
    }
}
