//! Start requests for placed attempts.

use std::time::Duration;

use hs_wire::{Resources, StartRequest};
use tokio::task::JoinSet;

use super::placed::{PlacedTask, StartOutcome};
use super::runner::TaskRunner;
use crate::port::{Platform, WorkerPort};

/// Maximum time that one request to a worker waits for the end of a task.
pub(super) const TASK_END_WAIT: Duration = Duration::from_secs(10);

/// Timeout of a start or stop request, without the wait for the end of the task.
pub(super) const START_STOP_TIMEOUT: Duration = Duration::from_secs(2);

impl<P: Platform> TaskRunner<P> {
    /// Sends the start requests of all attempts concurrently, and returns their outcomes in order.
    /// Stops the tasks if the work is cancelled meanwhile, since a reply may wait for the end of its
    /// task.
    pub(super) async fn start_all(&self, placed: &[PlacedTask]) -> Vec<StartOutcome> {
        let mut starts = JoinSet::new();
        for (index, task) in placed.iter().enumerate() {
            let request = self.start_request(task, placed.len() == 1);
            let address = task.address.clone().unwrap_or_default();
            let shared = self.shared.clone();
            starts.spawn(async move {
                let call_timeout = START_STOP_TIMEOUT + Duration::from_millis(request.wait_ms);
                let result = shared
                    .platform
                    .workers()
                    .start(&address, &request, call_timeout)
                    .await;
                (index, result)
            });
        }
        let mut outcomes: Vec<StartOutcome> =
            placed.iter().map(|_| StartOutcome::Unknown).collect();
        let mut cancelled = self.cancelled.clone();
        let mut is_stopping = false;
        loop {
            tokio::select! {
                joined = starts.join_next() => match joined {
                    Some(Ok((index, result))) => {
                        outcomes[index] = StartOutcome::from_result(&placed[index], result);
                    }
                    Some(Err(_)) => {}
                    None => return outcomes,
                },
                Ok(()) = cancelled.changed(), if !is_stopping => {
                    is_stopping = true;
                    for task in placed {
                        self.stop(task).await;
                    }
                }
            }
        }
    }

    pub(super) fn start_request(&self, placed: &PlacedTask, wait_for_end: bool) -> StartRequest {
        let submission = &self.plan.submission;
        StartRequest {
            id: placed.id.clone(),
            fence: placed.fence,
            resources: self
                .resources_and_class()
                .map_or(Resources::ZERO, |(resources, _)| resources),
            leased: true,
            // The tasks of a gang start at the same time, so the replies must not wait for the end
            // of a task.
            wait_ms: if wait_for_end {
                TASK_END_WAIT.as_millis() as u64
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
