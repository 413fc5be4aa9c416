//! A cluster with enough processor time.

use std::time::Duration;

use crate::load::JobLoad;
use crate::observer::JobPlan;
use crate::simulation::{ClusterPlan, Simulation};

/// A job of one task that takes half a second on one core.
pub const SHORT_JOB: JobPlan = JobPlan {
    tasks: 1,
    cpu_milli: 1000,
    duration: Duration::from_millis(500),
    is_advised: false,
};

/// A job of two tasks that need tickets.
const ADVISED_JOB: JobPlan = JobPlan {
    tasks: 2,
    is_advised: true,
    ..SHORT_JOB
};

/// A steady load of short jobs.
pub const SHORT_JOBS: JobLoad = JobLoad {
    jobs_per_s: 50,
    plan: SHORT_JOB,
};

/// Time after the end of an owner in which its orders may still arrive.
const LAST_ORDERS_TIME: Duration = Duration::from_millis(20);

/// Longest time without a start after the owner is gone.
const MAX_START_PAUSE: Duration = Duration::from_secs(1);

/// Returns a cluster of three processes that are fast enough.
pub fn calm_cluster() -> ClusterPlan {
    ClusterPlan {
        seed: 1,
        core_shares: vec![0.5, 0.5, 0.5],
        workers: 50,
        worker_cpu_milli: 4000,
    }
}

/// Jobs that are accepted but never end, and an owner that gives up the cell without a reason.
#[test]
fn calm_jobs_complete_under_one_owner() {
    let mut simulation = Simulation::start(&calm_cluster());
    simulation.run_for(Duration::from_secs(2));
    simulation.set_load(Some(SHORT_JOBS));
    simulation.run_for(Duration::from_secs(4));
    simulation.set_load(None);
    for _ in 0..10 {
        simulation.submit(ADVISED_JOB);
    }
    simulation.run_while(Duration::from_secs(6), |seen| seen.unfinished_jobs() > 0);
    println!("{}", simulation.summary());
    let world = simulation.world.lock();
    assert_eq!(world.observer.accepted_jobs(), 210);
    assert_eq!(world.observer.unfinished_jobs(), 0);
    assert_eq!(world.observer.starts.len(), 220);
    assert_eq!(world.observer.takeovers.len(), 1);
    assert_eq!(world.observer.broken_runs, 0);
}

/// A client that is told that its accepted job does not exist, also while the owner is replaced.
#[test]
fn accepted_jobs_are_known_to_every_process() {
    let mut simulation = Simulation::start(&calm_cluster());
    simulation.run_for(Duration::from_secs(2));
    simulation.set_load(Some(SHORT_JOBS));
    for round in 0..6 {
        simulation.run_for(Duration::from_millis(500));
        simulation.query_accepted_jobs();
        if round == 2 {
            simulation.kill_owner();
        }
    }
    simulation.cancel_accepted_jobs();
    simulation.set_load(None);
    simulation.run_while(Duration::from_secs(10), |seen| seen.unfinished_jobs() > 0);
    println!("{}", simulation.summary());
    let world = simulation.world.lock();
    assert_eq!(world.observer.unfinished_jobs(), 0);
    assert!(
        world.observer.definite_answers > 300,
        "{}",
        world.observer.definite_answers
    );
}

/// Runs a load on a cluster whose owner leaves in some way, and checks that another process goes on soon.
fn assert_starts_go_on(leave: impl Fn(&mut Simulation)) {
    let mut simulation = Simulation::start(&calm_cluster());
    simulation.set_load(Some(SHORT_JOBS));
    simulation.run_for(Duration::from_secs(4));
    let left_at = simulation.now();
    leave(&mut simulation);
    let pause = simulation.run_while(Duration::from_secs(5), |seen| {
        seen.takeovers_since(left_at) == 0 || seen.starts_since(left_at + LAST_ORDERS_TIME) == 0
    });
    println!("first start after {pause:?}; {}", simulation.summary());
    assert!(pause < MAX_START_PAUSE, "{pause:?}");
    simulation.set_load(None);
    simulation.run_while(Duration::from_secs(15), |seen| seen.unfinished_jobs() > 0);
    println!("{}", simulation.summary());
    let world = simulation.world.lock();
    assert_eq!(world.observer.unfinished_jobs(), 0);
    assert_eq!(world.observer.takeovers_since(left_at), 1);
}

/// A cluster that stands still after the owner is killed.
#[test]
fn starts_go_on_soon_after_the_owner_is_killed() {
    assert_starts_go_on(Simulation::kill_owner);
}

/// A cluster that waits for the claim of an owner that has shut down.
#[test]
fn starts_go_on_soon_after_the_owner_shuts_down() {
    assert_starts_go_on(|simulation| {
        let owner = simulation.owner().expect("the cell has an owner");
        simulation.processes[owner].shut_down();
    });
}
