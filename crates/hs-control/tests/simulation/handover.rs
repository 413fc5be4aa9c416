//! An owner that becomes slow while a faster process is there.

use std::time::Duration;

use crate::load::JobLoad;
use crate::observer::JobPlan;
use crate::simulation::{ClusterPlan, Simulation};

/// Share of a core of the fast processes.
const FAST: f64 = 0.5;

/// Share of a core of the slow processes.
const SLOW: f64 = 0.12;

/// Factor by which the owner is slowed down.
const SLOWDOWN: f64 = 10.0;

/// Time within which a faster process must have taken the cell over.
const HANDOVER_LIMIT: Duration = Duration::from_secs(6);

/// An owner whose VM has become slow and that keeps the cell, or hands it from process to process.
#[test]
fn a_slowed_owner_hands_over_to_a_fast_process_once() {
    let plan = ClusterPlan {
        seed: 21,
        core_shares: vec![FAST, FAST, SLOW, SLOW, SLOW, SLOW],
        workers: 150,
        worker_cpu_milli: 2000,
    };
    let mut simulation = Simulation::start(&plan);
    simulation.set_load(Some(JobLoad {
        jobs_per_s: 100,
        plan: JobPlan {
            tasks: 1,
            cpu_milli: 1000,
            duration: Duration::from_secs(1),
            is_advised: false,
        },
    }));
    simulation.run_for(Duration::from_secs(5));
    let slowed = simulation.owner().expect("the cell has an owner");
    assert_eq!(plan.core_shares[slowed], FAST);
    simulation.processes[slowed].set_core_share(FAST / SLOWDOWN);
    let begin = simulation.now();
    let until_takeover =
        simulation.run_while(HANDOVER_LIMIT, |seen| seen.takeovers_since(begin) == 0);
    simulation.run_for(Duration::from_secs(6));
    println!(
        "takeover after {until_takeover:?}; {}",
        simulation.summary()
    );
    let owner = simulation.owner().expect("the cell has an owner");
    let world = simulation.world.lock();
    let takeovers = &world.observer.takeovers;
    assert_eq!(world.observer.takeovers_since(begin), 1, "{takeovers:?}");
    assert_ne!(owner, slowed);
    assert_eq!(plan.core_shares[owner], FAST);
}
