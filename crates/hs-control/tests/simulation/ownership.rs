//! Owners on VMs of unlike processors and links.

use std::time::Duration;

use crate::load::JobLoad;
use crate::observer::JobPlan;
use crate::simulation::{ClusterPlan, Simulation};

/// Share of a core and bandwidth in Mbit/s of a VM that can own the cell.
const FIT: (f64, f64) = (0.5, 200.0);

/// Share of a core and bandwidth in Mbit/s of a VM whose link is too slow for the owner's work.
const SLOW_LINK: (f64, f64) = (0.3, 10.0);

/// Steady load of the traced fault.
const LOAD: JobLoad = JobLoad {
    jobs_per_s: 150,
    plan: JobPlan {
        tasks: 1,
        cpu_milli: 1000,
        duration: Duration::from_secs(1),
        is_advised: false,
    },
};

/// Size of the input of a job.
const INPUT_BYTES: usize = 4000;

/// Time over which commits are counted.
const COUNT_TIME: Duration = Duration::from_secs(3);

/// Builds a running cluster under load, whose first process owns the cell.
fn loaded_cluster(vms: &[(f64, f64)], seed: u64) -> Simulation {
    let plan = ClusterPlan {
        seed,
        core_shares: vms.iter().map(|(share, _)| *share).collect(),
        workers: 350,
        worker_cpu_milli: 2000,
    };
    let links: Vec<f64> = vms.iter().map(|(_, mbps)| *mbps).collect();
    let mut simulation = Simulation::with_links(&plan, &links);
    let world = simulation.world.clone();
    simulation.processes[0].start(&world, Duration::ZERO);
    simulation.run_for(Duration::from_millis(1500));
    assert_eq!(simulation.owner(), Some(0));
    let now = simulation.now();
    for process in &mut simulation.processes[1..] {
        process.start(&world, now);
    }
    simulation.input = "x".repeat(INPUT_BYTES).into();
    simulation.run_for(Duration::from_millis(1500));
    simulation.set_load(Some(LOAD));
    simulation.run_for(Duration::from_secs(4));
    assert_eq!(simulation.owner(), Some(0));
    simulation
}

/// Returns the number of commits in the last [`COUNT_TIME`].
fn recent_commits(simulation: &Simulation) -> usize {
    let since = simulation.now() - COUNT_TIME;
    let world = simulation.world.lock();
    let commits = world.observer.commits.iter();
    commits.filter(|at| **at >= since).count()
}

/// A VM with a slow link that takes the cell over although VMs like the former owner are up: commits fall to a
/// fraction, and starts wait for them.
#[test]
fn a_vm_like_the_owner_takes_over_before_vms_with_slow_links() {
    for seed in [31, 32, 33] {
        let mut vms = vec![FIT];
        vms.extend([SLOW_LINK; 4]);
        vms.extend([FIT; 3]);
        vms.extend([SLOW_LINK; 4]);
        let mut simulation = loaded_cluster(&vms, seed);
        let commits_before = recent_commits(&simulation);
        let cut_at = simulation.now();
        simulation.processes[0].cut_off();
        let pause = simulation.run_while(Duration::from_secs(5), |seen| {
            seen.takeovers_since(cut_at) == 0
                || seen.starts_since(cut_at + Duration::from_millis(20)) == 0
        });
        simulation.run_for(COUNT_TIME * 2);
        let commits_after = recent_commits(&simulation);
        let owner = simulation.owner().expect("the cell has an owner");
        println!(
            "seed {seed}: first start after {pause:?}, owner {owner} {:?}, commits {commits_before} \
             then {commits_after}; {}",
            vms[owner],
            simulation.summary(),
        );
        let world = simulation.world.lock();
        assert_eq!(vms[owner], FIT, "{:?}", world.observer.takeovers);
        assert_eq!(world.observer.takeovers_since(cut_at), 1);
        assert!(
            commits_after * 2 > commits_before,
            "{commits_before}, then {commits_after}"
        );
    }
}

/// Kills processes at once, and returns the time until the next start.
fn start_pause(simulation: &mut Simulation, killed: &[usize]) -> Duration {
    let killed_at = simulation.now();
    for number in killed {
        simulation.processes[*number].kill();
    }
    simulation.run_while(Duration::from_secs(5), |seen| {
        seen.takeovers_since(killed_at) == 0
            || seen.starts_since(killed_at + Duration::from_millis(20)) == 0
    })
}

/// VMs that are not fit and wait for fit ones that are gone.
#[test]
fn unfit_vms_take_over_when_the_last_fit_one_is_killed() {
    let unfit = [(0.3, 40.0); 6];
    let vms: Vec<(f64, f64)> = [FIT, FIT].into_iter().chain(unfit).collect();
    let mut simulation = loaded_cluster(&vms, 41);
    let pause = start_pause(&mut simulation, &[0, 1]);
    let owner = simulation.owner().expect("the cell has an owner");
    println!("first start after {pause:?}, owner {owner}");
    assert!(pause < Duration::from_secs(2), "{pause:?}");
}

/// Fit VMs that go on too late when half of the VMs are gone with the owner.
#[test]
fn starts_go_on_soon_after_half_of_the_vms_are_killed() {
    let mut vms = vec![FIT; 4];
    vms.extend([SLOW_LINK; 4]);
    let mut simulation = loaded_cluster(&vms, 42);
    let pause = start_pause(&mut simulation, &[0, 1, 4, 5]);
    let owner = simulation.owner().expect("the cell has an owner");
    println!("first start after {pause:?}, owner {owner}");
    assert_eq!(vms[owner], FIT);
    assert!(pause < Duration::from_secs(1), "{pause:?}");
}

/// VMs that are all alike and wait for better ones, which there are not.
#[test]
fn equal_vms_do_not_wait_for_better_ones() {
    let mut simulation = loaded_cluster(&[(0.25, 1000.0); 7], 43);
    let pause = start_pause(&mut simulation, &[0]);
    println!("first start after {pause:?}; {}", simulation.summary());
    assert!(pause < Duration::from_secs(1), "{pause:?}");
}

/// An owner on a slow link that keeps the cell under load although a fit VM has joined, or gives it to one like itself.
#[test]
fn an_unfit_owner_hands_over_to_a_fit_vm_that_has_joined() {
    let vms = [(0.5, 10.0), (0.5, 10.0), FIT];
    let plan = ClusterPlan {
        seed: 44,
        core_shares: vms.iter().map(|(share, _)| *share).collect(),
        workers: 350,
        worker_cpu_milli: 2000,
    };
    let links = vms.map(|(_, mbps)| mbps);
    let mut simulation = Simulation::with_links(&plan, &links);
    let world = simulation.world.clone();
    for number in 0..2 {
        simulation.processes[number].start(&world, Duration::ZERO);
    }
    simulation.run_for(Duration::from_secs(2));
    let first = simulation.owner().expect("the cell has an owner");
    let joined_at = simulation.now();
    simulation.processes[2].start(&world, joined_at);
    simulation.input = "x".repeat(INPUT_BYTES).into();
    simulation.set_load(Some(LOAD));
    let pause = simulation.run_while(Duration::from_secs(8), |seen| {
        seen.takeovers_since(joined_at) == 0
    });
    simulation.run_for(Duration::from_secs(4));
    println!(
        "from {first} after {pause:?} of load; {}",
        simulation.summary()
    );
    let owner = simulation.owner().expect("the cell has an owner");
    assert_eq!(vms[owner], FIT);
    let world = simulation.world.lock();
    assert_eq!(world.observer.takeovers_since(joined_at), 1);
    assert_eq!(world.observer.releases, 1);
}

/// Link in Mbit/s over which the state of [`STORED_JOBS`] can't be loaded within the limit.
const VERY_SLOW_LINK: f64 = 4.0;

/// Number of jobs that are in the store before the processes start.
const STORED_JOBS: usize = 3000;

fn cluster_with_stored_jobs(vms: &[(f64, f64)], seed: u64) -> Simulation {
    let plan = ClusterPlan {
        seed,
        core_shares: vms.iter().map(|(share, _)| *share).collect(),
        workers: 100,
        worker_cpu_milli: 2000,
    };
    let links: Vec<f64> = vms.iter().map(|(_, mbps)| *mbps).collect();
    let mut simulation = Simulation::with_links(&plan, &links);
    simulation.store_jobs(STORED_JOBS, LOAD.plan);
    simulation
}

/// An owner that can't load the state, and keeps the claim while a fit VM waits for it.
#[test]
fn an_owner_that_cannot_load_the_state_leaves_it_to_a_better_vm() {
    let vms = [(0.5, VERY_SLOW_LINK), (0.5, VERY_SLOW_LINK), FIT];
    let mut simulation = cluster_with_stored_jobs(&vms, 45);
    let world = simulation.world.clone();
    simulation.processes[0].start(&world, Duration::ZERO);
    simulation.run_for(Duration::from_millis(1000));
    assert_eq!(simulation.owner(), Some(0));
    let joined_at = simulation.now();
    for process in &mut simulation.processes[1..] {
        process.start(&world, joined_at);
    }
    let pause = simulation.run_while(Duration::from_secs(5), |seen| seen.starts.is_empty());
    println!("first start after {pause:?}; {}", simulation.summary());
    let owner = simulation.owner().expect("the cell has an owner");
    assert_eq!(vms[owner], FIT);
    assert!(pause < Duration::from_secs(3), "{pause:?}");
    let world = simulation.world.lock();
    assert_eq!(world.observer.takeovers.len(), 2);
    assert_eq!(world.observer.releases, 1);
}

/// VMs that all give up loading the state in turn, although none can load it faster.
#[test]
fn a_state_that_no_vm_loads_in_time_is_loaded_nevertheless() {
    let mut simulation = cluster_with_stored_jobs(&[(0.5, VERY_SLOW_LINK); 4], 46);
    simulation.start_processes();
    let pause = simulation.run_while(Duration::from_secs(40), |seen| seen.starts.is_empty());
    println!("first start after {pause:?}; {}", simulation.summary());
    let world = simulation.world.lock();
    assert!(!world.observer.starts.is_empty());
    assert!(
        world.observer.takeovers.len() <= 3,
        "{:?}",
        world.observer.takeovers
    );
}
