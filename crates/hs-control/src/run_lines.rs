//! Bounds on the log lines about single runs.
//!
//! A job of many tasks writes a limited share of them, so that those of other jobs stay in the log.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hs_cell::{JobId, TaskRun};
use hs_event::EventCode;

/// Interval in which lines are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of lines about a job in each interval, of each event.
const MAX_LINES_OF_JOB: u32 = 100;

/// Maximum number of lines about all jobs in each interval, of each event.
const MAX_LINES: u32 = 1000;

/// Log of the decisions on single runs. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunLines {
    counts: Arc<Mutex<HashMap<EventCode, LineCounts>>>,
}

/// Lines of one event.
#[derive(Debug, Default)]
struct LineCounts {
    began_at: Option<Instant>,
    by_job: HashMap<JobId, u32>,
    total: u32,
    left_out: u64,
}

impl RunLines {
    /// Writes a line about a run, unless there were too many in this interval. The next one says how many were left out.
    pub(crate) fn log(
        &self,
        code: EventCode,
        run: TaskRun,
        now: Instant,
        rest: fmt::Arguments<'_>,
    ) {
        let left_out = {
            let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
            counts
                .entry(code)
                .or_default()
                .next_line(run.task.job(), now)
        };
        let (task, number) = (run.task, run.run);
        match left_out {
            None => {}
            Some(0) => code.log(format_args!("task={task} run={number}{rest}")),
            Some(left_out) => {
                code.log(format_args!(
                    "task={task} run={number}{rest} left_out={left_out}"
                ));
            }
        }
    }
}

impl LineCounts {
    /// Returns the number of lines that were left out before this one, or `None` if this one is left out too.
    fn next_line(&mut self, job: JobId, now: Instant) -> Option<u64> {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= COUNT_INTERVAL;
        if self.began_at.is_none_or(is_over) {
            self.began_at = Some(now);
            self.by_job.clear();
            self.total = 0;
        }
        let of_job = self.by_job.entry(job).or_default();
        if *of_job >= MAX_LINES_OF_JOB || self.total >= MAX_LINES {
            self.left_out += 1;
            return None;
        }
        *of_job += 1;
        self.total += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
