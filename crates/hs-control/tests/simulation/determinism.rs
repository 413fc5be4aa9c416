//! The same seed gives the same run.

use std::time::Duration;

use crate::calm::{SHORT_JOBS, calm_cluster};
use crate::simulation::Simulation;

/// Returns the events of a run in which the owner is killed and another process is slow.
fn trace_of_a_run(seed: u64) -> Vec<String> {
    let mut plan = calm_cluster();
    plan.seed = seed;
    let mut simulation = Simulation::start(&plan);
    simulation.set_load(Some(SHORT_JOBS));
    simulation.run_for(Duration::from_secs(2));
    simulation.kill_owner();
    for process in &simulation.processes {
        process.set_core_share(0.05);
    }
    simulation.run_for(Duration::from_secs(2));
    let world = simulation.world.lock();
    world.observer.trace().to_vec()
}

/// A failure that can't be seen again from its seed.
#[test]
fn a_seed_gives_the_same_trace_twice() {
    let (first, second) = (trace_of_a_run(7), trace_of_a_run(7));
    for (number, (a, b)) in first.iter().zip(&second).enumerate() {
        assert_eq!(a, b, "event {number} of {}", first.len());
    }
    assert_eq!(first.len(), second.len());
}
