//! Coordinator of a simulation: moves the time on in small steps, and lets the world and the processes act.
//!
//! All processes run on one thread, in turn. A process that has used more processor time than has passed is
//! left out until the time of the simulation has caught up with it.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hs_cell::{AdmissionVerdict, JobId, JobSpec};

use crate::load::{JobLoad, job_id, job_spec};
use crate::observer::{JOB_PREFIX, JobPlan, Observer};
use crate::process::SimProcess;
use crate::registry::registered_worker;
use crate::worker::SimWorker;
use crate::world::{START_UNIX_MS, SharedWorld, World};

/// Step of the time.
const TIME_STEP: Duration = Duration::from_millis(1);

/// Timeout of a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Difference between the clocks of neighbouring workers in milliseconds.
const CLOCK_SPREAD_MS: u64 = 977;

/// Lowest reading at which the clock of a worker's first incarnation begins, in milliseconds.
pub const FIRST_CLOCK_START_MS: u64 = 10_000_000;

/// Processes and workers of a simulation.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    pub seed: u64,
    /// Share of a core of each process.
    pub core_shares: Vec<f64>,
    pub workers: usize,
    pub worker_cpu_milli: u32,
}

/// A running simulation.
pub struct Simulation {
    pub world: SharedWorld,
    pub processes: Vec<SimProcess>,
    now: Duration,
    load: Option<JobLoad>,
    load_since: Duration,
    load_submitted: u64,
    job_count: u64,
    next_process: usize,
    /// Input of the jobs from now on.
    pub input: Arc<str>,
    /// Team of the jobs from now on.
    pub team: Option<Arc<str>>,
}

impl Simulation {
    /// Builds a cluster whose processes are not running yet.
    pub fn new(plan: &ClusterPlan) -> Self {
        Self::with_links(plan, &[])
    }

    /// Builds a cluster whose processes have links with these bandwidths in Mbit/s. They are not running yet.
    pub fn with_links(plan: &ClusterPlan, link_mbps: &[f64]) -> Self {
        let world = SharedWorld::new(plan.seed);
        for number in 0..plan.workers {
            add_worker(&mut world.lock(), number, plan.worker_cpu_milli);
        }
        let shares = plan.core_shares.iter().enumerate();
        let processes = shares.map(|(number, share)| {
            let link_mbps = link_mbps.get(number).copied();
            SimProcess::new(number, *share, link_mbps)
        });
        Self {
            processes: processes.collect(),
            world,
            now: Duration::ZERO,
            load: None,
            load_since: Duration::ZERO,
            load_submitted: 0,
            job_count: 0,
            next_process: 0,
            input: "input".into(),
            team: None,
        }
    }

    /// Builds a cluster and starts all its processes.
    pub fn start(plan: &ClusterPlan) -> Self {
        let mut simulation = Self::new(plan);
        simulation.start_processes();
        simulation
    }

    /// Starts all processes.
    pub fn start_processes(&mut self) {
        for process in &mut self.processes {
            process.start(&self.world, self.now);
        }
    }

    /// Returns the time since the beginning.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Sets the load from now on.
    pub fn set_load(&mut self, load: Option<JobLoad>) {
        self.load = load;
        self.load_since = self.now;
        self.load_submitted = 0;
    }

    /// Writes accepted jobs to the store, as if clients had submitted them earlier.
    pub fn store_jobs(&mut self, count: usize, plan: JobPlan) {
        for _ in 0..count {
            self.store_job(plan);
        }
    }

    /// Writes an accepted job to the store, of which no process tells the owner. Returns its ID.
    pub fn store_job(&mut self, plan: JobPlan) -> JobId {
        let id = self.plan_job(plan);
        let spec = job_spec(plan, &self.input, self.now);
        let value = serde_json::json!({ "a": spec }).to_string();
        let mut world = self.world.lock();
        world.store.put(format!("{JOB_PREFIX}{id}"), value.into());
        world.observer.stored(id);
        id
    }

    fn plan_job(&mut self, plan: JobPlan) -> JobId {
        let id = job_id(self.job_count);
        self.job_count += 1;
        self.world.lock().observer.plan_job(id, plan);
        id
    }

    /// Submits a job to the next process. Returns its ID.
    pub fn submit(&mut self, plan: JobPlan) -> JobId {
        let process = self.next_live_process();
        self.submit_to(process, plan)
    }

    /// Submits a job to a process. Returns its ID.
    pub fn submit_to(&mut self, process: usize, plan: JobPlan) -> JobId {
        let id = self.plan_job(plan);
        let spec = self.spec_of_next(plan);
        let world = self.world.clone();
        self.processes[process].spawn(|control| async move {
            let reply = control.submit(id, spec, SUBMIT_TIMEOUT).await;
            world.lock().observer.submitted(id, reply);
        });
        id
    }

    fn spec_of_next(&self, plan: JobPlan) -> JobSpec {
        JobSpec {
            team: self.team.clone(),
            ..job_spec(plan, &self.input, self.now)
        }
    }

    /// Asks a process whether a new job may be stored. Returns the place of the answer.
    pub fn ask_admission(
        &mut self,
        process: usize,
        plan: JobPlan,
    ) -> Arc<OnceLock<AdmissionVerdict>> {
        let id = self.plan_job(plan);
        let spec = self.spec_of_next(plan);
        let answer = Arc::<OnceLock<AdmissionVerdict>>::default();
        let place = answer.clone();
        self.processes[process].spawn(|control| async move {
            let verdict = control.admit(id, &spec).await;
            let is_first = place.set(verdict).is_ok();
            assert!(is_first, "one answer");
        });
        answer
    }

    /// Cancels a job at a process.
    pub fn cancel_at(&self, process: usize, id: JobId) {
        let world = self.world.clone();
        self.processes[process].spawn(|control| async move {
            let reply = control.cancel(id, None, SUBMIT_TIMEOUT).await;
            let mut world = world.lock();
            let now = world.now;
            world.observer.cancelled(now, id, reply);
        });
    }

    /// Asks for the state of each accepted job, of one process after the other.
    pub fn query_accepted_jobs(&mut self) {
        let jobs = self.world.lock().observer.accepted();
        for id in jobs {
            let world = self.world.clone();
            let process = self.next_live_process();
            self.processes[process].spawn(|control| async move {
                let reply = control.state(id, Duration::ZERO).await;
                world.lock().observer.queried(id, reply);
            });
        }
    }

    /// Cancels each accepted job, at one process after the other.
    pub fn cancel_accepted_jobs(&mut self) {
        let jobs = self.world.lock().observer.accepted();
        for id in jobs {
            let process = self.next_live_process();
            self.cancel_at(process, id);
        }
    }

    /// Kills the owner.
    pub fn kill_owner(&mut self) {
        let owner = self.owner().expect("the cell has an owner");
        self.processes[owner].kill();
    }

    /// Returns the number of the process whose turn it is to serve a client.
    fn next_live_process(&mut self) -> usize {
        loop {
            let number = self.next_process;
            self.next_process = (number + 1) % self.processes.len();
            if self.processes[number].is_live() {
                return number;
            }
        }
    }

    /// Returns the number of a process that does not own the cell.
    ///
    /// # Panics
    ///
    /// Panics if the cell has no owner.
    pub fn follower(&self) -> usize {
        let owner = self.owner().expect("the cell has an owner");
        (owner + 1) % self.processes.len()
    }

    /// Returns the number of runs in progress on all workers.
    pub fn run_count(&self) -> usize {
        let world = self.world.lock();
        world.workers.iter().map(|worker| worker.run_count()).sum()
    }

    fn submit_load(&mut self) {
        let Some(load) = self.load else {
            return;
        };
        let due = load.due_by(self.now - self.load_since);
        while self.load_submitted < due {
            self.load_submitted += 1;
            self.submit(load.plan);
        }
    }

    /// Lets one step of the time pass.
    pub fn step(&mut self) {
        self.now += TIME_STEP;
        self.submit_load();
        self.world.lock().run_until(self.now);
        for process in &mut self.processes {
            process.run_slice(self.now);
        }
    }

    /// Lets a time pass.
    ///
    /// # Panics
    ///
    /// Panics if a rule was violated.
    pub fn run_for(&mut self, time: Duration) {
        self.run_while(time, |_| true);
    }

    /// Lets time pass as long as a condition holds, at most until `limit`. Returns the time that has passed.
    ///
    /// # Panics
    ///
    /// Panics if a rule was violated.
    pub fn run_while(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Observer) -> bool,
    ) -> Duration {
        let begin = self.now;
        while self.now < begin + limit && condition(&self.world.lock().observer) {
            self.step();
        }
        self.world.lock().observer.assert_rules_hold();
        self.now - begin
    }

    /// Returns the number of the process that owns the cell by the store.
    pub fn owner(&self) -> Option<usize> {
        let world = self.world.lock();
        let node = world.observer.owner_node()?;
        (0..self.processes.len()).find(|number| SimProcess::node(*number) == node)
    }

    /// Describes what has happened.
    pub fn summary(&self) -> String {
        let world = self.world.lock();
        let observer = &world.observer;
        format!(
            "t={:.1}s takeovers={} releases={} accepted={} unknown={} starts={} broken_runs={} \
             lost_runs={} unfinished={} advice_calls={}",
            self.now.as_secs_f64(),
            observer.takeovers.len(),
            observer.releases,
            observer.accepted_jobs(),
            observer.unknown_submissions,
            observer.starts.len(),
            observer.broken_runs,
            observer.lost_runs,
            observer.unfinished_jobs(),
            world.advice.calls,
        )
    }
}

fn add_worker(world: &mut World, number: usize, cpu_milli: u32) {
    let started_ms = START_UNIX_MS - 1000;
    let entry = registered_worker(number, started_ms, cpu_milli);
    let clock_offset_ms = FIRST_CLOCK_START_MS + CLOCK_SPREAD_MS * number as u64;
    let worker = SimWorker::new(&entry.entry, clock_offset_ms);
    world.workers.push(worker);
    world.registry.register(entry);
}
