//! Cancellations that reach the owner by another way, or at another time, than their jobs.

use std::time::Duration;

use crate::calm::{SHORT_JOB, calm_cluster};
use crate::observer::JobPlan;
use crate::simulation::Simulation;
use crate::store::StoreFault;

/// A job of one task that takes longer than a test.
const LONG_JOB: JobPlan = JobPlan {
    duration: Duration::from_secs(60),
    ..SHORT_JOB
};

/// Time from a cancellation until the owner may find the job. It is longer than the time in which starts may follow.
const PAUSE: Duration = Duration::from_secs(4);

fn calm_simulation() -> Simulation {
    let mut simulation = Simulation::start(&calm_cluster());
    simulation.run_for(Duration::from_secs(2));
    simulation
}

/// A cancelled job that runs, because the owner reads the cancellation before the job after the store has dropped its
/// history.
#[test]
fn a_cancellation_that_is_read_before_its_job_takes_effect() {
    let mut simulation = calm_simulation();
    let follower = simulation.follower();
    simulation.world.lock().store.is_deaf = true;
    let id = simulation.store_job(LONG_JOB);
    simulation.cancel_at(follower, id);
    simulation.run_for(PAUSE);
    {
        let mut world = simulation.world.lock();
        world.store.is_deaf = false;
        world.store.drop_history();
    }
    simulation.run_for(PAUSE);
    println!("{}", simulation.summary());
    assert_eq!(simulation.run_count(), 0);
    assert_eq!(simulation.world.lock().observer.unfinished_jobs(), 0);
}

/// A job that waits, because the process that learned from a conflict that its first write was done tells nobody.
#[test]
fn a_job_that_was_found_in_the_store_reaches_the_owner() {
    let mut simulation = calm_simulation();
    let follower = simulation.follower();
    let set_fault = |simulation: &Simulation, fault| {
        let mut world = simulation.world.lock();
        world.store.set_fault(follower, fault);
    };
    simulation.world.lock().store.is_deaf = true;
    set_fault(&simulation, StoreFault::ReplyLost);
    simulation.submit_to(follower, LONG_JOB);
    simulation.run_for(Duration::from_millis(150));
    set_fault(&simulation, StoreFault::None);
    simulation.run_for(Duration::from_secs(1));
    println!("{}", simulation.summary());
    assert_eq!(simulation.world.lock().observer.accepted_jobs(), 1);
    assert_eq!(simulation.run_count(), 1);
}

/// A job that runs although its cancellation was answered, because its submission waited meanwhile in a process that
/// stood still. The next owner has to know of the cancellation too.
#[test]
fn a_job_that_is_stored_after_its_cancellation_was_answered_does_not_run() {
    for is_owner_killed in [false, true] {
        let mut simulation = calm_simulation();
        let owner = simulation.owner().expect("the cell has an owner");
        let follower = simulation.follower();
        let resumes_at = simulation.now() + PAUSE;
        simulation.processes[follower].pause_until(resumes_at);
        let id = simulation.submit_to(follower, LONG_JOB);
        simulation.run_for(Duration::from_millis(500));
        simulation.cancel_at(owner, id);
        simulation.run_for(Duration::from_millis(500));
        let answers = simulation.world.lock().observer.answered_cancellations();
        assert_eq!(answers, 1);
        if is_owner_killed {
            simulation.kill_owner();
        }
        simulation.run_for(PAUSE * 2);
        println!("{}", simulation.summary());
        assert_eq!(simulation.run_count(), 0);
        let world = simulation.world.lock();
        assert_eq!(world.observer.accepted_jobs(), 1);
        assert_eq!(world.observer.unfinished_jobs(), 0);
    }
}
