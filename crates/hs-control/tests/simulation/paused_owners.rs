//! Owners that are paused between the commit of a placement and the start that follows it.

use std::time::Duration;

use crate::calm::calm_cluster;
use crate::observer::JobPlan;
use crate::simulation::Simulation;

/// A job of one task that takes longer than the longest lease.
const LONG_JOB: JobPlan = JobPlan {
    tasks: 1,
    cpu_milli: 1000,
    duration: Duration::from_millis(12_500),
    is_advised: false,
};

/// Number of jobs that are submitted just before the pause.
const JOBS: usize = 30;

/// Times after the submission at which the owner is paused. In some of them its commit is on its way.
const PAUSE_OFFSETS_MS: [u64; 2] = [13, 14];

/// Time for which the workers are back.
const RETURN_TIME: Duration = Duration::from_millis(30);

/// Pauses: one after which an owner must not send its starts, and one after which it may.
const PAUSES_MS: [u64; 2] = [3_000, 1_900];

/// Time after the pause in which the runs start elsewhere.
const RESTART_TIME: Duration = Duration::from_secs(15);

/// Time in which everything ends once all workers are back.
const END_TIME: Duration = Duration::from_secs(40);

/// Pauses the owner. Half of the workers lose power meanwhile, are back at the end of the pause, and are cut off before
/// another process has called them.
fn play(offset: Duration, pause: Duration) {
    println!("offset {offset:?}, pause {pause:?}");
    let mut simulation = Simulation::start(&calm_cluster());
    simulation.run_for(Duration::from_secs(2));
    for _ in 0..JOBS {
        simulation.submit(LONG_JOB);
    }
    simulation.run_for(offset);
    let owner = simulation.owner().expect("the cell has an owner");
    simulation.processes[owner].pause_until(simulation.now() + pause);
    let workers = simulation.world.lock().workers.len();
    let lost = || (0..workers).step_by(2);
    for number in lost() {
        simulation.world.lock().workers[number].reachable = false;
    }
    simulation.run_for(pause - Duration::from_millis(1));
    for number in lost() {
        let mut world = simulation.world.lock();
        world.start_worker_after_power_loss(number);
        world.workers[number].reachable = true;
    }
    simulation.run_for(RETURN_TIME);
    for number in lost() {
        simulation.world.lock().workers[number].reachable = false;
    }
    simulation.run_for(RESTART_TIME);
    for number in lost() {
        let mut world = simulation.world.lock();
        world.workers[number].reachable = true;
        world.register_again(number);
    }
    simulation.run_while(END_TIME, |seen| seen.unfinished_jobs() > 0);
    println!("{}", simulation.summary());
    assert_eq!(simulation.world.lock().observer.unfinished_jobs(), 0);
}

/// Tasks that run twice: an owner that has lost the cell during a pause sends the starts that it had committed before.
/// An incarnation that the next owner has not called takes them, and keeps them for its longest lease.
#[test]
fn starts_of_a_paused_owner_end_before_they_start_elsewhere() {
    for pause_ms in PAUSES_MS {
        for offset_ms in PAUSE_OFFSETS_MS {
            play(
                Duration::from_millis(offset_ms),
                Duration::from_millis(pause_ms),
            );
        }
    }
}
