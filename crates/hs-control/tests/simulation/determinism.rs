//! The same seed gives the same run.

use std::time::Duration;

use crate::calm::{SHORT_JOB, SHORT_JOBS, calm_cluster};
use crate::load::JobLoad;
use crate::simulation::{ClusterPlan, Simulation};

/// Runs a simulation twice, and panics at the first event that differs.
fn assert_same_trace(run: impl Fn() -> Simulation) {
    let trace = || {
        let simulation = run();
        let mut trace = simulation.world.lock().observer.trace().to_vec();
        trace.push(simulation.summary());
        trace
    };
    let (first, second) = (trace(), trace());
    for (number, (a, b)) in first.iter().zip(&second).enumerate() {
        assert_eq!(a, b, "event {number} of {}", first.len());
    }
    assert_eq!(first.len(), second.len());
}

/// A failure around the end of an owner that can't be seen again from its seed.
#[test]
fn a_seed_gives_the_same_trace_twice() {
    assert_same_trace(|| {
        let mut simulation = Simulation::start(&calm_cluster());
        simulation.set_load(Some(SHORT_JOBS));
        simulation.run_for(Duration::from_secs(2));
        simulation.kill_owner();
        for process in &simulation.processes {
            process.set_core_share(0.05);
        }
        simulation.run_for(Duration::from_secs(2));
        simulation
    });
}

/// A failure under overload that can't be seen again: work that is done in another order has another cost.
#[test]
fn a_seed_gives_the_same_trace_twice_under_overload() {
    assert_same_trace(|| {
        let mut simulation = Simulation::start(&ClusterPlan {
            seed: 3,
            core_shares: vec![0.08; 8],
            workers: 400,
            worker_cpu_milli: 2000,
        });
        simulation.set_load(Some(JobLoad {
            jobs_per_s: 200,
            plan: SHORT_JOB,
        }));
        simulation.run_for(Duration::from_secs(5));
        simulation
    });
}
