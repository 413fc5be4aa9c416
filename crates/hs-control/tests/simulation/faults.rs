//! Faults that operators of similar systems have met.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;

use crate::calm::{SHORT_JOB, SHORT_JOBS, calm_cluster};
use crate::observer::JobPlan;
use crate::peer_client;
use crate::process::SimProcess;
use crate::simulation::{ClusterPlan, Simulation};
use crate::store::StoreFault;

/// A job of one task that takes 20 s on one core.
const LONG_JOB: JobPlan = JobPlan {
    tasks: 1,
    cpu_milli: 1000,
    duration: Duration::from_secs(20),
    is_advised: false,
};

/// A job of more tasks than the ends that a worker lists at a time.
const SMALL_TASKS: JobPlan = JobPlan {
    tasks: 800,
    cpu_milli: 1,
    duration: Duration::from_secs(5),
    is_advised: false,
};

/// Bytes that are no HTTP/2 connection.
const GARBAGE: &[u8] = b"\x00\xff\x16\x03\x01 GET / HTTP/9 \r\n\r\n \xc3\x28 \x80\x81\x82";

fn loaded_cluster() -> Simulation {
    let mut simulation = Simulation::start(&calm_cluster());
    simulation.run_for(Duration::from_secs(2));
    simulation.set_load(Some(SHORT_JOBS));
    simulation.run_for(Duration::from_secs(2));
    simulation
}

/// Ends the load, and checks that everything accepted ends.
fn assert_all_end(simulation: &mut Simulation, limit: Duration) {
    simulation.set_load(None);
    simulation.run_while(limit, |seen| seen.unfinished_jobs() > 0);
    println!("{}", simulation.summary());
    assert_eq!(simulation.world.lock().observer.unfinished_jobs(), 0);
}

/// Work of a worker that is only silent is started again elsewhere while its lease lives, or given up.
#[test]
fn work_of_a_silent_worker_goes_on() {
    let mut simulation = Simulation::start(&calm_cluster());
    simulation.run_for(Duration::from_secs(2));
    for _ in 0..20 {
        simulation.submit(LONG_JOB);
    }
    simulation.run_for(Duration::from_secs(2));
    let silent: Vec<usize> = {
        let mut world = simulation.world.lock();
        let busy = (0..world.workers.len()).filter(|number| world.workers[*number].run_count() > 0);
        let busy: Vec<usize> = busy.collect();
        for number in &busy {
            world.workers[*number].reachable = false;
        }
        busy
    };
    assert!(!silent.is_empty());
    simulation.run_for(Duration::from_secs(4));
    for number in silent {
        simulation.world.lock().workers[number].reachable = true;
    }
    assert_all_end(&mut simulation, Duration::from_secs(30));
    let world = simulation.world.lock();
    assert_eq!(world.observer.broken_runs, 0);
    assert_eq!(world.observer.starts.len(), 20);
}

/// Tasks that run again although they are done, because their worker has more ends than it lists at a time.
#[test]
fn tasks_whose_ends_are_not_listed_yet_do_not_run_again() {
    let plan = ClusterPlan {
        workers: 1,
        ..calm_cluster()
    };
    let mut simulation = Simulation::start(&plan);
    simulation.run_for(Duration::from_secs(2));
    simulation.submit(SMALL_TASKS);
    simulation.run_for(Duration::from_secs(3));
    assert_eq!(simulation.run_count(), usize::from(SMALL_TASKS.tasks));
    simulation.world.lock().workers[0].reachable = false;
    simulation.run_for(Duration::from_millis(5500));
    assert_eq!(simulation.run_count(), 0);
    simulation.world.lock().workers[0].reachable = true;
    assert_all_end(&mut simulation, Duration::from_secs(10));
    let world = simulation.world.lock();
    let tasks = usize::from(SMALL_TASKS.tasks);
    assert_eq!(world.observer.starts.len(), tasks);
}

/// An owner that acts on an expired claim after a pause in which another process took the cell over.
#[test]
fn a_paused_owner_does_not_act_on_an_expired_claim() {
    let mut simulation = loaded_cluster();
    let owner = simulation.owner().expect("the cell has an owner");
    let paused_at = simulation.now();
    simulation.processes[owner].pause_until(paused_at + Duration::from_secs(5));
    simulation.run_for(Duration::from_secs(8));
    assert_eq!(
        simulation.world.lock().observer.takeovers_since(paused_at),
        1
    );
    assert_all_end(&mut simulation, Duration::from_secs(20));
}

/// Transactions that take effect although their replies are lost: jobs that run twice, or are called not run.
#[test]
fn lost_store_replies_lose_no_job() {
    let mut simulation = loaded_cluster();
    for round in 0..4 {
        let process = round % simulation.processes.len();
        let set = |simulation: &Simulation, fault| {
            let mut world = simulation.world.lock();
            world.store.set_fault(process, fault);
        };
        set(&simulation, StoreFault::ReplyLost);
        simulation.run_for(Duration::from_millis(700));
        set(&simulation, StoreFault::None);
        simulation.run_for(Duration::from_millis(700));
    }
    assert_all_end(&mut simulation, Duration::from_secs(20));
}

/// Transactions of a former owner that reach the store after another process has taken the cell over.
#[test]
fn late_writes_of_a_former_owner_have_no_effect() {
    let mut simulation = loaded_cluster();
    let owner = simulation.owner().expect("the cell has an owner");
    let begin = simulation.now();
    let late = StoreFault::Late(Duration::from_secs(3));
    simulation.world.lock().store.set_fault(owner, late);
    simulation.run_for(Duration::from_secs(1));
    simulation
        .world
        .lock()
        .store
        .set_fault(owner, StoreFault::None);
    simulation.run_for(Duration::from_secs(4));
    assert_eq!(simulation.world.lock().observer.takeovers_since(begin), 1);
    assert_all_end(&mut simulation, Duration::from_secs(20));
}

/// Jobs that a new owner does not see, because a page of the store was cut off.
#[test]
fn a_page_that_is_cut_off_hides_no_jobs() {
    let mut simulation = Simulation::new(&calm_cluster());
    simulation.store_jobs(40, SHORT_JOB);
    simulation.world.lock().store.cut_pages = 30;
    simulation.start_processes();
    assert_all_end(&mut simulation, Duration::from_secs(10));
}

/// A store that refuses one process after the other, or does not answer it.
#[test]
fn a_store_that_fails_for_one_process_loses_no_job() {
    let mut simulation = loaded_cluster();
    for fault in [StoreFault::Refusing, StoreFault::Silent] {
        let owner = simulation.owner().expect("the cell has an owner");
        simulation.world.lock().store.set_fault(owner, fault);
        simulation.run_for(Duration::from_secs(4));
        simulation
            .world
            .lock()
            .store
            .set_fault(owner, StoreFault::None);
        simulation.run_for(Duration::from_secs(2));
    }
    assert_all_end(&mut simulation, Duration::from_secs(20));
}

/// A peer that sends what is no message ends the process, or its cell.
#[test]
fn garbage_from_a_peer_ends_no_process() {
    let mut simulation = loaded_cluster();
    let begin = simulation.now();
    for number in 0..simulation.processes.len() {
        let address = SimProcess::address(number).to_string();
        let opened = simulation.world.lock().network.connect(&address);
        let mut stream = opened.expect("the process listens");
        let sender = (number + 1) % simulation.processes.len();
        simulation.processes[sender].spawn(|_| async move {
            // The process may close the connection at any time.
            let _ = stream.write_all(GARBAGE).await;
        });
        let world = simulation.world.clone();
        simulation.processes[sender].spawn(|_| peer_client::send_malformed_calls(world, address));
    }
    simulation.run_for(Duration::from_secs(2));
    assert_all_end(&mut simulation, Duration::from_secs(10));
    let world = simulation.world.lock();
    assert_eq!(world.observer.malformed_calls_rejected, 9);
    assert_eq!(world.observer.takeovers_since(begin), 0);
}

/// A listener that ends for good when the process has too many open files for a moment.
#[test]
fn a_listener_outlives_accept_errors() {
    let mut simulation = loaded_cluster();
    let owner = simulation.owner().expect("the cell has an owner");
    let address = SimProcess::address(owner).to_string();
    for _ in 0..3 {
        // EMFILE on Linux.
        let error = io::Error::from_raw_os_error(24);
        simulation.world.lock().network.fail_accept(&address, error);
    }
    simulation.run_for(Duration::from_secs(1));
    let follower = (owner + 1) % simulation.processes.len();
    simulation.processes[follower].kill();
    let world = simulation.world.clone();
    let now = simulation.now();
    simulation.processes[follower].start(&world, now);
    simulation.run_for(Duration::from_secs(2));
    simulation.processes[follower].spawn(|control| async move {
        let pending = control.pending("open").await;
        world.lock().observer.pending = pending;
    });
    simulation.run_for(Duration::from_secs(1));
    assert!(simulation.world.lock().observer.pending.is_some());
    assert_all_end(&mut simulation, Duration::from_secs(10));
}
