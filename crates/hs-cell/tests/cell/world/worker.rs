//! Actual state of a simulated worker.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use hs_cell::{EndReport, RunEnd, TaskId, TaskRun};
use hs_wire::Resources;

/// Actual state of a worker, which the owner knows only from reports.
#[derive(Debug, Default)]
pub struct FakeWorker {
    pub started_ms: u64,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Highest fencing token that an earlier incarnation has seen.
    pub earlier_fence: u64,
    /// Whether the owner has had an answer of this incarnation.
    pub has_answered: bool,
    pub lease_end: Option<Instant>,
    pub running: BTreeMap<TaskRun, Resources>,
    /// Capacity that the worker reports about itself, in thousandths of a CPU core and in MiB of memory.
    pub capacity: u32,
    /// Ends that are not acknowledged.
    pub ended: Vec<EndReport>,
    /// Progress of runs in percent, where a test simulates it.
    pub percents: HashMap<TaskRun, u8>,
    /// Number of the last end.
    pub last_end: u64,
    /// Last run of each task that was stopped or has ended. It and earlier runs are refused.
    pub last_ended_runs: HashMap<TaskId, u32>,
    /// Whether the process is running.
    pub up: bool,
    /// Whether the registry lists the worker while it is up.
    pub listed: bool,
    /// Whether calls from the owner reach the worker.
    pub reachable: bool,
    /// How the incarnation takes starts, if the owner takes it for the one before.
    pub unlisted: Option<UnlistedIncarnation>,
}

/// How an incarnation that the registry does not list yet takes the starts for the one before.
#[derive(Clone, Copy, Debug)]
pub struct UnlistedIncarnation {
    /// Time that the leases for the incarnation before last on its clock, without the limit to its longest lease.
    pub asked: Duration,
    /// Whether its answers arrive.
    pub answers: bool,
}

impl FakeWorker {
    /// Ends a run, and lists its end.
    pub(super) fn end(&mut self, run: TaskRun, end: RunEnd) {
        if self.running.remove(&run).is_none() {
            return;
        }
        let last_ended = self.last_ended_runs.entry(run.task).or_default();
        *last_ended = run.run.max(*last_ended);
        self.last_end += 1;
        self.ended.push(EndReport {
            number: self.last_end,
            run,
            end,
            checkpoint: String::new(),
        });
    }
}
