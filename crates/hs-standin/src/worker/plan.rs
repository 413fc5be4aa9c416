//! What a task does, as its payload says.

use std::time::Duration;

use hs_wire::{StartRequest, TaskPhase, WorkerUsage};

/// Run time of a task whose payload has no `sleep`.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(5);

/// What a task does.
#[derive(Clone, Debug)]
pub(super) struct TaskPlan {
    pub(super) run_time: Duration,
    /// Phase in which the task ends by itself.
    pub(super) end: TaskPhase,
    pub(super) result: String,
    pub(super) usage: WorkerUsage,
}

impl TaskPlan {
    /// Reads the payload. Unknown words and malformed numbers are ignored, since a payload may be
    /// anything that a caller sends.
    pub(super) fn parse(request: &StartRequest, fail_all: bool) -> Self {
        let mut plan = Self {
            run_time: DEFAULT_RUN_TIME,
            end: TaskPhase::Done,
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
                None if word == "fail" => plan.end = TaskPhase::Failed,
                _ => {}
            }
        }
        if fail_all {
            plan.end = TaskPhase::Failed;
            plan.run_time = Duration::ZERO;
        }
        plan
    }
}
