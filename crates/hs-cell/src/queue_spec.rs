//! What the operator configures.

use std::sync::Arc;
use std::time::Duration;

/// Settings of one queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSpec {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// Failed runs after which a task, or a gang, makes its job fail.
    pub max_attempts: u32,
    /// Objective of a job as a multiple of its longest chain of work.
    pub stretch: f64,
    /// Time added to the objective.
    pub target: Duration,
    /// Cost of advice on workers; `None` if any worker may run the tasks.
    pub advice: Option<AdviceSpec>,
}

/// What a call for advice costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceSpec {
    /// Duration of a call.
    pub base_cost: Duration,
    /// Additional duration for each worker named.
    pub cost_per_worker: Duration,
    /// Validity of a ticket.
    pub ticket_validity: Duration,
}

impl AdviceSpec {
    /// Returns the duration of a call that names this many workers.
    pub fn cost(&self, workers: usize) -> Duration {
        self.base_cost + self.cost_per_worker.mul_f64(workers as f64)
    }
}
