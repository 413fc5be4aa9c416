//! A process that takes the cell over, and the jobs that it finds.

use std::time::Duration;

use hs_cell::{
    CellOptions, JobId, JobRecord, JobSpec, StampedRecord, StepRecord, StepSpec, TaskPlace,
    TaskRecord, WorkerIncarnation,
};
use hs_control::{
    AccessOptions, Control, ControlMetrics, ControlOptions, PeerLimits, VmLimits, run,
};
use hs_metrics::MetricRegistry;
use hs_wire::Resources;
use tokio::sync::watch;

use crate::platform::{BORN_MS, FakePlatform};
use crate::store::QUEUE;

/// Time in which a process without others takes the cell over.
pub const ELECTION_TIME: Duration = Duration::from_secs(1);

/// A process that takes the cell over. It ends with the runtime of the test.
pub struct Process {
    pub control: Control<FakePlatform>,
    _stop: watch::Sender<bool>,
}

impl Process {
    pub async fn start(platform: &FakePlatform) -> Self {
        Self::start_with(platform, AccessOptions::default()).await
    }

    /// Starts a process with settings of the decision whether a call is allowed.
    pub async fn start_with(platform: &FakePlatform, access: AccessOptions) -> Self {
        Self::start_cell(platform, access, CellOptions::default()).await
    }

    /// Starts a process with settings of its cell.
    pub async fn start_cell(
        platform: &FakePlatform,
        access: AccessOptions,
        cell: CellOptions,
    ) -> Self {
        Self::start_limited(platform, access, cell, VmLimits::default()).await
    }

    /// Starts a process on a VM with these resources.
    pub async fn start_limited(
        platform: &FakePlatform,
        access: AccessOptions,
        cell: CellOptions,
        limits: VmLimits,
    ) -> Self {
        let options = ControlOptions {
            node: "node-1".to_owned(),
            peer_listen: "127.0.0.1:0".parse().expect("address"),
            cell,
            limits,
            peer_limits: PeerLimits::default(),
            access,
        };
        let metrics = ControlMetrics::new(MetricRegistry::new().expect("registry"));
        let (stop, stopped) = watch::channel(false);
        let control = run(platform.clone(), options, metrics, stopped).await;
        Self {
            control: control.expect("a free port"),
            _stop: stop,
        }
    }
}

/// Writes a job of one task to the store, which runs on the worker if there is one.
pub fn put_job(platform: &FakePlatform, number: u64, worker: Option<&str>) {
    let id = JobId(number);
    let value = serde_json::json!({ "a": job_spec() });
    platform.put(format!("hs/in/job/{id}"), value.to_string().into_bytes());
    let Some(worker) = worker else {
        return;
    };
    let record = JobRecord {
        first_occurrence: 0,
        workers: vec![WorkerIncarnation {
            id: worker.to_owned(),
            started_ms: BORN_MS,
        }],
        steps: vec![StepRecord {
            tasks: vec![TaskRecord {
                index: 0,
                place: TaskPlace::Worker(0),
                run: 1,
                failures: 0,
                last_failed_run: 0,
                earlier_failed_runs: Vec::new(),
                checkpoint: String::new(),
                crashes: None,
            }],
            ..StepRecord::default()
        }],
    };
    let stamped = StampedRecord {
        record,
        ..StampedRecord::default()
    };
    let value = serde_json::to_vec(&stamped).expect("a record");
    platform.put(format!("hs/run/{id}"), value);
}

/// Returns a job of one task.
pub fn job_spec() -> JobSpec {
    JobSpec {
        queue: QUEUE.into(),
        input: "".into(),
        steps: vec![StepSpec {
            count: 1,
            need: Resources {
                cpu_milli: 100,
                slots: 1,
                ..Resources::ZERO
            },
            estimate_ms: 1_000,
            ..StepSpec::default()
        }],
        schedule: None,
        accepted_ms: BORN_MS,
        team: None,
    }
}
