//! Builders of jobs, queues and workers.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::{AdviceSpec, JobId, JobSpec, QueueSpec, StepSpec, WorkerEntry};
use hs_wire::Resources;

/// Capacity of each test worker in thousandths of a CPU core, and in MiB of memory.
pub const WORKER_CPU: u32 = 8000;

/// Builds resources of this many thousandths of a CPU core and as many MiB of memory.
pub fn cpu(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mib: cpu_milli,
        ..Resources::ZERO
    }
}

/// Builds a queue of the service `desk`.
pub fn queue(name: &str, priority: u8, max_attempts: u32) -> QueueSpec {
    QueueSpec {
        name: name.into(),
        service: "desk".into(),
        priority,
        max_attempts,
        stretch: 2.0,
        target: Duration::from_millis(500),
        advice: None,
    }
}

/// Builds a queue whose tasks need tickets of the advice service.
pub fn advised_queue(name: &str, priority: u8, base_cost: Duration) -> QueueSpec {
    QueueSpec {
        advice: Some(AdviceSpec {
            base_cost,
            cost_per_worker: Duration::from_millis(1),
            ticket_validity: Duration::from_secs(2),
        }),
        ..queue(name, priority, 3)
    }
}

/// Builds a step of identical tasks.
pub fn step(count: u16, cpu_milli: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        count,
        need: cpu(cpu_milli),
        estimate_ms,
        ..StepSpec::default()
    }
}

/// Builds a job that was accepted at time zero.
pub fn job(queue: &str, steps: Vec<StepSpec>) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        queue: queue.into(),
        input: "input".into(),
        steps,
        schedule: None,
        accepted_ms: 0,
        team: None,
    })
}

/// Builds a job ID.
pub fn id(number: u64) -> JobId {
    JobId(number)
}

/// Builds the registry entry of worker `number`, which is on one of two racks.
pub fn entry(number: usize, started_ms: u64) -> WorkerEntry {
    WorkerEntry {
        id: format!("w{number}").into(),
        started_ms,
        service: "desk".into(),
        labels: vec!["a".into(), format!("r0-{}", number % 2).into()],
        capacity: cpu(WORKER_CPU),
        draining: false,
    }
}
