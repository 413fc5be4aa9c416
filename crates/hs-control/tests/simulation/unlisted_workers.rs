//! Workers whose registry entries lapse around a takeover, and are back a little later.

use std::time::Duration;

use crate::calm::calm_cluster;
use crate::observer::JobPlan;
use crate::simulation::Simulation;

/// A job of one task that takes longer than a test.
const LONG_JOB: JobPlan = JobPlan {
    tasks: 1,
    cpu_milli: 1000,
    duration: Duration::from_secs(60),
    is_advised: false,
};

/// Number of jobs.
const JOB_COUNT: usize = 20;

/// Time within which the runs of a cancelled job have ended on a worker that is listed again. A worker takes up to 1 s
/// to report.
const STOP_LIMIT: Duration = Duration::from_millis(2500);

/// Runs of cancelled jobs that go on, because their workers were not listed when the new owner was to stop them.
#[test]
fn runs_of_cancelled_jobs_end_on_workers_that_a_new_owner_did_not_find() {
    let mut simulation = Simulation::start(&calm_cluster());
    simulation.run_for(Duration::from_secs(2));
    for _ in 0..JOB_COUNT {
        simulation.submit(LONG_JOB);
    }
    simulation.run_for(Duration::from_secs(2));
    assert_eq!(simulation.run_count(), JOB_COUNT);
    let entries = {
        let mut world = simulation.world.lock();
        let ids: Vec<_> = world.workers.iter().map(|w| w.id.clone()).collect();
        let removed = ids.iter().map(|id| world.registry.unregister(id));
        removed.collect::<Vec<_>>()
    };
    simulation.kill_owner();
    simulation.run_for(Duration::from_millis(1500));
    simulation.cancel_accepted_jobs();
    simulation.run_for(Duration::from_millis(500));
    for entry in entries {
        simulation.world.lock().registry.register(entry);
    }
    simulation.run_for(STOP_LIMIT);
    println!("{}", simulation.summary());
    assert_eq!(simulation.run_count(), 0);
}
