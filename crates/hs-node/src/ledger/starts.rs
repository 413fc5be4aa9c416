//! Starts of placed attempts.

use std::time::Duration;

use hs_wire::{Resources, StartRequest};
use tokio::task::JoinSet;

use super::placed::{PlacedTask, StartState};
use super::runner::TaskRunner;
use crate::port::{Platform, WorkerPort};

/// Longest time that one question about a running task waits for its end.
pub(super) const END_WAIT: Duration = Duration::from_secs(10);

/// Longest time for a start or a stop itself.
pub(super) const START_LIMIT: Duration = Duration::from_secs(2);

impl<P: Platform> TaskRunner<P> {
    pub(super) async fn start_all(&self, placed: &[PlacedTask]) -> Vec<StartState> {
        let mut starts = JoinSet::new();
        for (index, task) in placed.iter().enumerate() {
            let request = self.start_request(task, placed.len() == 1);
            let address = task.address.clone().unwrap_or_default();
            let shared = self.shared.clone();
            starts.spawn(async move {
                let limit = START_LIMIT + Duration::from_millis(request.wait_ms);
                let result = shared
                    .platform
                    .workers()
                    .start(&address, &request, limit)
                    .await;
                (index, result)
            });
        }
        let mut states: Vec<StartState> = placed.iter().map(|_| StartState::Unclear).collect();
        while let Some(joined) = starts.join_next().await {
            if let Ok((index, result)) = joined {
                states[index] = StartState::of(&placed[index], result);
            }
        }
        states
    }

    pub(super) fn start_request(&self, placed: &PlacedTask, may_wait: bool) -> StartRequest {
        let submission = &self.plan.submission;
        StartRequest {
            id: placed.id.clone(),
            fence: placed.fence,
            resources: self.entry().map_or(Resources::ZERO, |entry| entry.0),
            leased: true,
            // The tasks of a gang are started at the same time, so that no reply may wait.
            wait_ms: if may_wait {
                END_WAIT.as_millis() as u64
            } else {
                0
            },
            revision: self.shared.view().map_or(0, |view| view.revision()),
            customer: submission.customer.clone(),
            workload: submission.workload.clone(),
            payload: submission.payload.clone(),
        }
    }
}
