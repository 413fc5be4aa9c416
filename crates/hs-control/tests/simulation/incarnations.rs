//! Workers that start again under their IDs, and calls that were meant for the incarnations before.

use std::time::Duration;

use crate::calm::calm_cluster;
use crate::observer::JobPlan;
use crate::simulation::{ClusterPlan, Simulation};

/// A job of one task that takes longer than the longest lease.
pub const LONG_JOB: JobPlan = JobPlan {
    tasks: 1,
    cpu_milli: 1000,
    duration: Duration::from_millis(12_500),
    is_advised: false,
};

/// A job of tasks that end before the registry lists the next incarnation of their worker.
pub const BRIEF_JOB: JobPlan = JobPlan {
    tasks: 40,
    cpu_milli: 100,
    duration: Duration::from_millis(20),
    is_advised: false,
};

/// Time after the submission of jobs in which some of their starts are in flight.
const STARTING_TIME: Duration = Duration::from_millis(12);

/// Time after the crash of a worker at which it is back.
const RETURN_TIME: Duration = Duration::from_millis(80);

/// Time in which everything ends once all workers are back. A task that has lost several workers waits for long.
const END_TIME: Duration = Duration::from_secs(180);

/// Number of random simulations.
const SEED_COUNT: u64 = 12;

/// Environment variable with the first seed of the random simulations.
const SEED_ENV: &str = "INCARNATION_SEED";

/// Environment variable with their number.
const SEED_COUNT_ENV: &str = "INCARNATION_SEED_COUNT";

/// Environment variable that makes workers carry out obsolete calls as well, which no owner can prevent.
const OBSOLETE_CALLS_ENV: &str = "INCARNATION_OBSOLETE_CALLS";

/// Number of disruptions in a random simulation.
const DISRUPTIONS: usize = 40;

/// Returns a number that a variable overrides.
pub fn variable(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn set_reachable(simulation: &Simulation, number: usize, reachable: bool) {
    simulation.world.lock().workers[number].reachable = reachable;
}

/// Ends the load and the disruptions, and checks that everything accepted ends.
pub fn assert_all_end(simulation: &mut Simulation) {
    simulation.set_load(None);
    let workers = simulation.world.lock().workers.len();
    for number in 0..workers {
        let mut world = simulation.world.lock();
        let worker = &mut world.workers[number];
        worker.reachable = true;
        worker.late_call_percent = 0;
        if !worker.up {
            world.start_worker_again(number);
        }
    }
    simulation.run_while(END_TIME, |seen| seen.unfinished_jobs() > 0);
    println!("{}", simulation.summary());
    assert_eq!(simulation.world.lock().observer.unfinished_jobs(), 0);
}

/// Ends of a new incarnation that are acknowledged with the number of the one before and forgotten unread, so that
/// tasks that are done run again.
#[test]
fn ends_of_a_new_incarnation_are_not_acknowledged_unread() {
    let mut simulation = Simulation::start(&ClusterPlan {
        workers: 4,
        worker_cpu_milli: 12_000,
        ..calm_cluster()
    });
    simulation.run_for(Duration::from_secs(2));
    for round in 0..12 {
        let number = round % 4;
        for _ in 0..4 {
            simulation.submit(BRIEF_JOB);
        }
        simulation.run_for(STARTING_TIME);
        simulation.world.lock().crash_worker(number);
        simulation.run_for(RETURN_TIME);
        simulation.world.lock().start_worker_again(number);
        simulation.run_for(Duration::from_secs(3));
    }
    assert_all_end(&mut simulation);
}

/// Runs of a worker that started again and was cut off, which are started elsewhere while they go on: a call that was
/// meant for the incarnation before has prolonged their lease.
#[test]
fn runs_of_a_new_incarnation_end_before_they_start_elsewhere() {
    let mut simulation = Simulation::start(&calm_cluster());
    simulation.run_for(Duration::from_secs(2));
    let workers = simulation.world.lock().workers.len();
    for round in 0..3 {
        for _ in 0..30 {
            simulation.submit(LONG_JOB);
        }
        // Starts are on their way, and are repeated.
        simulation.run_for(STARTING_TIME);
        for number in (round % 2..workers).step_by(2) {
            let mut world = simulation.world.lock();
            world.start_worker_again(number);
        }
        simulation.run_for(Duration::from_millis(700));
        for number in (round % 2..workers).step_by(2) {
            set_reachable(&simulation, number, false);
        }
        simulation.run_for(Duration::from_secs(11));
        for number in 0..workers {
            set_reachable(&simulation, number, true);
        }
        simulation.run_for(Duration::from_secs(2));
    }
    assert_all_end(&mut simulation);
}

/// What becomes of the replies of workers that are back after a power loss, until they are cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstReplies {
    Arrive,
    AreLost,
}

/// A power loss of half of the workers, which are back and cut off before the registry lists them.
struct UnlistedReturn {
    replies: FirstReplies,
    /// Time from the return of a worker to the cut.
    reachable_time: Duration,
}

impl UnlistedReturn {
    /// Plays some rounds, in which long jobs start while the workers are back, and checks that everything ends.
    fn play(&self) {
        let mut simulation = Simulation::start(&calm_cluster());
        simulation.run_for(Duration::from_secs(2));
        let workers = simulation.world.lock().workers.len();
        for round in 0..3 {
            for number in (round % 2..workers).step_by(2) {
                let mut world = simulation.world.lock();
                world.start_worker_after_power_loss(number);
                world.workers[number].loses_replies = self.replies == FirstReplies::AreLost;
            }
            for _ in 0..30 {
                simulation.submit(LONG_JOB);
            }
            simulation.run_for(self.reachable_time);
            for number in (round % 2..workers).step_by(2) {
                set_reachable(&simulation, number, false);
            }
            simulation.run_for(Duration::from_secs(11));
            for number in (round % 2..workers).step_by(2) {
                let mut world = simulation.world.lock();
                world.workers[number].reachable = true;
                world.workers[number].loses_replies = false;
                world.register_again(number);
            }
            simulation.run_for(Duration::from_secs(2));
        }
        assert_all_end(&mut simulation);
    }
}

/// Runs that start elsewhere while they go on: their starts were taken by incarnations that the owner had not heard from,
/// which were cut off before the registry listed them, and kept their longest lease.
#[test]
fn runs_that_an_unlisted_incarnation_has_confirmed_end_before_they_start_elsewhere() {
    UnlistedReturn {
        replies: FirstReplies::Arrive,
        reachable_time: Duration::from_millis(500),
    }
    .play();
}

/// The same runs if the replies to their starts are lost, so that nobody can tell which incarnation has them.
#[test]
fn runs_that_an_unlisted_incarnation_may_have_end_before_they_start_elsewhere() {
    UnlistedReturn {
        replies: FirstReplies::AreLost,
        reachable_time: Duration::from_millis(500),
    }
    .play();
}

/// Disrupts one worker, or replaces the owner.
fn disrupt(simulation: &mut Simulation) {
    let (kind, number) = {
        let mut world = simulation.world.lock();
        let workers = world.workers.len() as u64;
        let (kind, number) = (world.random_below(12), world.random_below(workers));
        (
            kind,
            usize::try_from(number).expect("there are few workers"),
        )
    };
    let mut world = simulation.world.lock();
    let worker = &mut world.workers[number];
    match kind {
        0..=3 => world.start_worker_again(number),
        4 => world.crash_worker(number),
        5 | 6 => worker.reachable = !worker.reachable,
        7..=9 => worker.late_call_percent = 60 - worker.late_call_percent.min(60),
        10 if worker.reachable => {
            // It starts again behind the cut.
            worker.reachable = false;
            world.start_worker_again(number);
        }
        _ => {
            drop(world);
            replace_owner(simulation);
        }
    }
}

pub fn replace_owner(simulation: &mut Simulation) {
    let Some(owner) = simulation.owner() else {
        return;
    };
    if !simulation.processes[owner].is_live() {
        return;
    }
    simulation.processes[owner].kill();
    simulation.run_for(Duration::from_millis(300));
    let now = simulation.now();
    let world = simulation.world.clone();
    simulation.processes[owner].start(&world, now);
}

/// Tasks that run twice or are lost, under any order of restarts, cuts, late calls and takeovers.
#[test]
fn random_restarts_and_late_calls_break_no_rule() {
    let first = variable(SEED_ENV, 1);
    for seed in first..first + variable(SEED_COUNT_ENV, SEED_COUNT) {
        println!("{SEED_ENV}={seed}");
        let mut simulation = Simulation::start(&ClusterPlan {
            seed,
            workers: 6,
            worker_cpu_milli: 12_000,
            ..calm_cluster()
        });
        simulation.world.lock().carries_out_obsolete_calls = variable(OBSOLETE_CALLS_ENV, 0) > 0;
        simulation.run_for(Duration::from_secs(2));
        for round in 0..DISRUPTIONS {
            simulation.submit(if round % 3 == 0 { LONG_JOB } else { BRIEF_JOB });
            disrupt(&mut simulation);
            let pause = simulation.world.lock().random_below(1500);
            simulation.run_for(Duration::from_millis(pause));
        }
        assert_all_end(&mut simulation);
    }
}
