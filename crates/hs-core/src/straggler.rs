//! Straggler detection and expected ends of running work.

use std::time::{Duration, Instant};

use crate::work_record::WorkStage;
use crate::{Placer, WorkKey};

/// Work that runs far longer than the finished tasks of its workload did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Straggler {
    /// The work.
    pub work: WorkKey,
    /// Tag of the request.
    pub tag: u64,
    /// Number that identifies the workload.
    pub workload: u32,
    /// Time since the work was placed.
    pub elapsed: Duration,
    /// 95th percentile of the run times of the workload's finished tasks.
    pub p95: Duration,
}

impl Placer {
    /// Returns the stragglers that were not returned before. The cost is linear in the number of
    /// queued and running work items; one call per second is sufficient.
    pub fn take_stragglers(&mut self, now: Instant) -> Vec<Straggler> {
        let mut found = Vec::new();
        for (work, record) in &mut self.work_records {
            let WorkStage::Running {
                placed_at,
                straggler_reported,
                ..
            } = &mut record.stage
            else {
                continue;
            };
            let elapsed = now.saturating_duration_since(*placed_at);
            let times = self.run_times.get(&record.request.workload);
            let times = times.filter(|times| times.is_straggler(elapsed));
            if let Some(p95) = times.and_then(|times| times.p95())
                && !std::mem::replace(straggler_reported, true)
            {
                found.push(Straggler {
                    work,
                    tag: record.request.tag,
                    workload: record.request.workload,
                    elapsed,
                    p95,
                });
            }
        }
        found
    }

    /// Returns when running work is expected to end, or `None` if it declared no run time or is a
    /// straggler.
    pub(crate) fn expected_end(&self, work: WorkKey, now: Instant) -> Option<Instant> {
        let record = self.work_records.get(work)?;
        let WorkStage::Running { placed_at, .. } = &record.stage else {
            return None;
        };
        let times = self.run_times.get(&record.request.workload);
        let elapsed = now.saturating_duration_since(*placed_at);
        if times.is_some_and(|times| times.is_straggler(elapsed)) {
            return None;
        }
        Some((*placed_at + record.request.estimate?).max(now))
    }
}
