//! Detection of stragglers.

use std::time::{Duration, Instant};

use crate::work_record::WorkStage;
use crate::{Placer, WorkKey};

/// Work that runs far longer than its workload usually does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Straggler {
    /// The work.
    pub work: WorkKey,
    /// Tag of the request.
    pub tag: u64,
    /// Identity of the workload.
    pub workload: u32,
    /// Time since the decision.
    pub elapsed: Duration,
    /// 95th percentile of the workload's finished run times.
    pub p95: Duration,
}

impl Placer {
    /// Returns the stragglers that were not returned before. The cost grows with the number of
    /// running tasks; a call a second is enough.
    pub fn take_stragglers(&mut self, now: Instant) -> Vec<Straggler> {
        let mut found = Vec::new();
        for (work, record) in &mut self.works {
            let WorkStage::Running {
                since, straggler, ..
            } = &mut record.stage
            else {
                continue;
            };
            let elapsed = now.saturating_duration_since(*since);
            let times = self.run_times.get(&record.request.workload);
            let times = times.filter(|times| times.is_straggler(elapsed));
            if let Some(p95) = times.and_then(|times| times.p95())
                && !std::mem::replace(straggler, true)
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

    /// Returns when running work is expected to end, or `None` if nothing is known of it.
    pub(crate) fn expected_end(&self, work: WorkKey, now: Instant) -> Option<Instant> {
        let record = self.works.get(work)?;
        let WorkStage::Running { since, .. } = &record.stage else {
            return None;
        };
        let times = self.run_times.get(&record.request.workload);
        let elapsed = now.saturating_duration_since(*since);
        if times.is_some_and(|times| times.is_straggler(elapsed)) {
            return None;
        }
        Some((*since + record.request.estimate?).max(now))
    }
}
