//! Queue settings from the operator configuration.

use std::sync::Arc;
use std::time::Duration;

/// Settings of one queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSpec {
    /// Name by which jobs refer to the queue.
    pub name: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Number of failed runs of a task, or of a gang, after which its job fails.
    pub max_attempts: u32,
    /// Completion time objective of a job as a multiple of its critical path.
    pub stretch: f64,
    /// Fixed time that is added to the objective.
    pub target: Duration,
    /// Cost of advice requests; `None` if every worker of the service may run the tasks.
    pub advice: Option<AdviceSpec>,
}

/// Cost of requests to the advice service, and validity of its tickets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceSpec {
    /// Fixed duration of a request.
    pub base_cost: Duration,
    /// Additional duration for each worker that the request names.
    pub cost_per_worker: Duration,
    /// Time for which a ticket is valid.
    pub ticket_validity: Duration,
}

impl AdviceSpec {
    /// Returns the duration of a request that names this many workers.
    pub fn cost(&self, workers: usize) -> Duration {
        self.base_cost + self.cost_per_worker.mul_f64(workers as f64)
    }
}
