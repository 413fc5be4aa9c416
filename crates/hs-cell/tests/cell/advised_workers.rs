//! Workers of a simulated cell, and the advice service's decisions on them.

use std::collections::BTreeMap;
use std::time::Instant;

use hs_cell::{EndReport, StepId, TaskRun, WorkerEntry};

use crate::fixture::cpu;

/// CPU of a worker in thousandths of a core.
pub const WORKER_CPU: u32 = 64_000;

/// Number of workers in a rack.
const RACK_SIZE: u32 = 20;

/// Worker of the simulated cell.
#[derive(Default)]
pub struct SimWorker {
    /// Runs with the times of their starts.
    pub running: BTreeMap<TaskRun, Instant>,
    pub ended: Vec<EndReport>,
    pub last_end: u64,
    pub used_milli: u32,
}

/// Returns whether the advice service allows a worker for a step: a fixed part, different for each step.
pub fn is_allowed(step: StepId, worker: &str, percent: u64) -> bool {
    let number: u64 = worker[1..].parse().expect("ids are numbers");
    let mut mixed =
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ step.job.0.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 29)) % 100 < percent
}

pub fn worker_entry(number: u32) -> WorkerEntry {
    WorkerEntry {
        id: format!("w{number}").into(),
        started_ms: 1,
        service: "desk".into(),
        labels: vec![format!("r0-{}", number / RACK_SIZE).into()],
        capacity: cpu(WORKER_CPU),
        draining: false,
    }
}
