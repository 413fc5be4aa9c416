//! The incident in which a cell went from one slow owner to the next, and did not recover.
//!
//! The runs end with the first takeover too many, since each further one takes as long as the rest of the program.

use std::time::Duration;

use crate::load::JobLoad;
use crate::observer::JobPlan;
use crate::simulation::{ClusterPlan, Simulation};

/// Number of workers of the deployment of the incident.
const WORKERS: usize = 1100;

/// Capacity of each worker.
const WORKER_CPU_MILLI: u32 = 2000;

/// Number of jobs in the backlog.
const BACKLOG: usize = 7000;

/// A job of one task that takes a second on one core.
const JOB: JobPlan = JobPlan {
    tasks: 1,
    cpu_milli: 1000,
    duration: Duration::from_secs(1),
    is_advised: false,
};

/// A backlog on a cluster whose processes are all equally fast.
struct BacklogCase {
    seed: u64,
    core_share: f64,
    is_advised: bool,
    /// Simulated time.
    time: Duration,
    /// Number of jobs that must have ended by then.
    min_ended: usize,
}

/// Owners that give up the cell although no other process is faster: every takeover costs more than staying.
#[test]
fn equally_slow_processes_keep_one_owner() {
    let mut simulation = Simulation::start(&ClusterPlan {
        seed: 11,
        core_shares: vec![0.2; 8],
        workers: WORKERS,
        worker_cpu_milli: WORKER_CPU_MILLI,
    });
    let may_go_on = |simulation: &mut Simulation, time| {
        simulation.run_while(time, |seen| seen.takeovers.len() <= 3) == time
    };
    let mut starts = Vec::new();
    let mut is_bounded = may_go_on(&mut simulation, Duration::from_secs(3));
    simulation.set_load(Some(JobLoad {
        jobs_per_s: 200,
        plan: JOB,
    }));
    for _ in 0..3 {
        let from = simulation.now();
        is_bounded = is_bounded && may_go_on(&mut simulation, Duration::from_secs(3));
        starts.push(simulation.world.lock().observer.starts_since(from));
    }
    println!("starts by 3 s: {starts:?}; {}", simulation.summary());
    let world = simulation.world.lock();
    assert!(is_bounded, "{:?}", world.observer.takeovers);
    assert!(starts.iter().all(|count| *count > 0), "{starts:?}");
}

fn assert_one_owner_drains(case: &BacklogCase) {
    let mut simulation = Simulation::new(&ClusterPlan {
        seed: case.seed,
        core_shares: vec![case.core_share; 4],
        workers: WORKERS,
        worker_cpu_milli: WORKER_CPU_MILLI,
    });
    let plan = JobPlan {
        is_advised: case.is_advised,
        ..JOB
    };
    simulation.store_jobs(BACKLOG, plan);
    simulation.start_processes();
    let max_unfinished = BACKLOG - case.min_ended;
    simulation.run_while(case.time, |seen| {
        seen.takeovers.len() <= 1 && seen.unfinished_jobs() > 0
    });
    println!("{}", simulation.summary());
    let world = simulation.world.lock();
    assert_eq!(
        world.observer.takeovers.len(),
        1,
        "{:?}",
        world.observer.takeovers
    );
    assert!(world.observer.unfinished_jobs() <= max_unfinished);
}

/// A backlog that makes every owner on a quarter of a core too late with its heartbeats: takeovers for ever, and
/// not one start, with no load left.
#[test]
fn a_quarter_of_a_core_drains_a_backlog() {
    assert_one_owner_drains(&BacklogCase {
        seed: 12,
        core_share: 0.25,
        is_advised: false,
        time: Duration::from_secs(30),
        min_ended: BACKLOG,
    });
}

/// A backlog that waits for advice, under which even owners on half a core give up the cell in turn.
#[test]
fn half_a_core_keeps_the_cell_under_a_backlog_that_needs_advice() {
    assert_one_owner_drains(&BacklogCase {
        seed: 13,
        core_share: 0.5,
        is_advised: true,
        time: Duration::from_secs(8),
        min_ended: 200,
    });
}
