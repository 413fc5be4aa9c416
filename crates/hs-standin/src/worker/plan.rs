//! Interpretation of the payload of a task.

use std::time::Duration;

use hs_wire::{StartRequest, TaskPhase, WorkerUsage};

/// Run time of a task whose payload has no `sleep`.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(5);

/// Behaviour of a task.
#[derive(Clone, Debug)]
pub(super) struct TaskPlan {
    pub(super) run_time: Duration,
    /// Phase of the task after its run time, unless it is stopped before.
    pub(super) final_phase: TaskPhase,
    pub(super) result: String,
    pub(super) usage: WorkerUsage,
}

impl TaskPlan {
    /// Parses the payload. Unknown words and malformed numbers are ignored, since a caller may send
    /// any payload.
    pub(super) fn parse(request: &StartRequest, fail_all: bool) -> Self {
        let mut plan = Self {
            run_time: DEFAULT_RUN_TIME,
            final_phase: TaskPhase::Done,
            result: request.id.to_string(),
            usage: WorkerUsage {
                cpu_milli: request.resources.cpu_milli,
                memory_mib: request.resources.memory_mib,
            },
        };
        for word in request.payload.split(' ') {
            match word.split_once('=') {
                Some(("sleep", text)) => {
                    if let Ok(run_ms) = text.parse() {
                        plan.run_time = Duration::from_millis(run_ms);
                    }
                }
                Some(("echo", text)) => text.clone_into(&mut plan.result),
                Some(("cpu", text)) => {
                    if let Ok(cpu_milli) = text.parse() {
                        plan.usage.cpu_milli = cpu_milli;
                    }
                }
                None if word == "fail" => plan.final_phase = TaskPhase::Failed,
                _ => {}
            }
        }
        if fail_all {
            plan.final_phase = TaskPhase::Failed;
            plan.run_time = Duration::ZERO;
        }
        plan
    }
}
