//! Cost of a placement with growing numbers of workers.
//!
//! The load grows with the workers: short jobs, wide gangs and wide steps of single tasks, all of queues that
//! need advice. Workers, store and advice service answer without faults. Prints the mean time that the cell
//! takes for each started task, and the longest call of [`Cell::advance`]; then the median time of a scheduling
//! pass over a backlog of steps that can't start; then the same for jobs of many teams, with ample caps and with caps
//! that bind.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{
    AdviceReply, AdviceRequest, AdviceSpec, Cell, CellEffect, CellOptions, EndReport, JobId,
    JobSpec, QueueSpec, RunEnd, RunReport, StepSpec, TaskRun, TeamSpec, WorkerEntry, WorkerKey,
    WorkerReport,
};
use hs_wire::Resources;

/// Numbers of workers.
const WORKER_COUNTS: [u32; 3] = [350, 1100, 3300];

/// Simulated time between two calls of [`Cell::advance`].
const TICK: Duration = Duration::from_millis(5);

/// Simulated time before the measurement, in which the cluster fills up.
const WARM_UP: Duration = Duration::from_secs(5);

/// Simulated time of the measurement.
const MEASURED: Duration = Duration::from_secs(10);

/// Interval at which a worker without ends reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Numbers of jobs in a backlog.
const BACKLOG_SIZES: [u32; 3] = [250, 1000, 4000];

/// Number of workers beside a backlog.
const BACKLOG_WORKERS: u32 = 1100;

/// Numbers of teams and of workers of the passes with teams.
const TEAM_COUNT: u64 = 800;
const TEAM_WORKERS: u32 = 3300;

/// Backlog of the passes with teams.
const TEAM_BACKLOG: u32 = 4000;

/// Teams of a pass.
#[derive(Clone, Copy)]
struct TeamCase {
    name: &'static str,
    team_count: u64,
    /// Cap of each team in thousandths of a core. A gang needs 576 cores, and the workers have 264 for each team.
    cap_milli: u32,
    /// Weight of each team. The teams together send about 700 jobs a second, then the backlog at once.
    weight: f64,
}

const TEAM_CASES: [TeamCase; 5] = [
    TeamCase {
        name: "no teams",
        team_count: 0,
        cap_milli: 0,
        weight: 1.0,
    },
    TeamCase {
        name: "no caps, all owed",
        team_count: TEAM_COUNT,
        cap_milli: 0,
        weight: 100.0,
    },
    TeamCase {
        name: "no caps, mostly surplus",
        team_count: TEAM_COUNT,
        cap_milli: 0,
        weight: 0.1,
    },
    TeamCase {
        name: "ample caps, all owed",
        team_count: TEAM_COUNT,
        cap_milli: 10_000_000,
        weight: 100.0,
    },
    TeamCase {
        name: "caps that bind, all owed",
        team_count: TEAM_COUNT,
        cap_milli: 300_000,
        weight: 100.0,
    },
];

/// Number of passes over a backlog that are measured.
const BACKLOG_PASSES: u32 = 200;

/// Kind of job in the load.
#[derive(Clone, Copy)]
struct JobKind {
    queue: &'static str,
    /// Jobs a second for each thousand workers.
    rate_per_thousand: f64,
    tasks: u16,
    cpu_milli: u32,
    duration: Duration,
    gang: bool,
    /// Share of workers that the advice service allows, in percent.
    allowed_percent: u64,
}

const JOB_KINDS: [JobKind; 3] = [
    JobKind {
        queue: "check",
        rate_per_thousand: 128.0,
        tasks: 4,
        cpu_milli: 16_000,
        duration: Duration::from_millis(540),
        gang: false,
        allowed_percent: 70,
    },
    JobKind {
        queue: "plan",
        rate_per_thousand: 7.3,
        tasks: 32,
        cpu_milli: 18_000,
        duration: Duration::from_millis(4200),
        gang: true,
        allowed_percent: 35,
    },
    JobKind {
        queue: "recon",
        rate_per_thousand: 12.0,
        tasks: 32,
        cpu_milli: 11_000,
        duration: Duration::from_millis(2900),
        gang: false,
        allowed_percent: 45,
    },
];

fn queues() -> Vec<QueueSpec> {
    let advice = |base_us, worker_us| AdviceSpec {
        base_cost: Duration::from_micros(base_us),
        cost_per_worker: Duration::from_micros(worker_us),
        ticket_validity: Duration::from_millis(2500),
    };
    let queue = |name: &str, priority, advice| QueueSpec {
        name: name.into(),
        service: "desk".into(),
        priority,
        max_attempts: 3,
        stretch: 2.0,
        target: Duration::from_millis(500),
        advice: Some(advice),
    };
    vec![
        queue("check", 0, advice(11_440, 169)),
        queue("plan", 1, advice(507_000, 7150)),
        queue("recon", 2, advice(182_000, 2600)),
    ]
}

/// Something that happens at a simulated time.
enum Event {
    Submit(usize),
    End(WorkerKey, TaskRun),
    Report(WorkerKey),
    Advice(AdviceRequest),
}

#[derive(Default)]
struct SimWorker {
    running: Vec<TaskRun>,
    ended: Vec<EndReport>,
    last_end: u64,
}

/// A cell under load, and its simulated environment.
struct LoadedCell {
    cell: Cell,
    began: Instant,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    event_count: u64,
    job_count: u64,
    workers: HashMap<WorkerKey, SimWorker>,
    job_kinds: HashMap<JobId, usize>,
    worker_count: u32,
    /// Number of teams that the jobs belong to in turn; 0 for jobs without a team.
    team_count: u64,
    starts: u64,
    /// Time taken by the cell.
    busy: Duration,
    longest_advance: Duration,
}

impl LoadedCell {
    fn new(worker_count: u32) -> Self {
        Self::with_teams(worker_count, TEAM_CASES[0])
    }

    fn with_teams(worker_count: u32, case: TeamCase) -> Self {
        let began = Instant::now();
        let mut loaded = Self {
            team_count: case.team_count,
            cell: Cell::new(CellOptions::default()),
            began,
            now: began,
            events: BTreeMap::new(),
            event_count: 0,
            job_count: 0,
            workers: HashMap::new(),
            job_kinds: HashMap::new(),
            worker_count,
            starts: 0,
            busy: Duration::ZERO,
            longest_advance: Duration::ZERO,
        };
        let teams = (0..case.team_count).map(|number| TeamSpec {
            name: format!("t{number}").into(),
            weight: case.weight,
            cap: cpu(case.cap_milli),
        });
        loaded.cell.configure_teams(teams);
        loaded.cell.configure(queues());
        let now = loaded.now;
        for number in 0..worker_count {
            let key = loaded.cell.worker_listed(worker_entry(number), now, now);
            loaded.workers.insert(key, SimWorker::default());
            loaded.schedule(
                Duration::from_micros(u64::from(number) * 300),
                Event::Report(key),
            );
        }
        for kind in 0..JOB_KINDS.len() {
            loaded.schedule(Duration::from_secs(1), Event::Submit(kind));
        }
        loaded
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + after, self.event_count), event);
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.handle(event);
            }
            self.advance();
        }
    }

    fn advance(&mut self) {
        let began = Instant::now();
        let last_pass_at = self.cell.last_pass_at();
        self.cell.advance(self.now, 0);
        let cost = began.elapsed();
        if self.cell.last_pass_at() != last_pass_at {
            self.cell.record_pass_cost(cost);
        }
        self.longest_advance = self.longest_advance.max(cost);
        let batch = self.cell.take_batch(256, 6000);
        self.cell.committed(batch, self.now);
        let effects = self.cell.take_effects();
        self.busy += began.elapsed();
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Returns how long a pass takes after a report.
    fn time_pass(&mut self) -> Duration {
        self.run_for(TICK);
        // Steps that wait are looked at again after this time even if nothing happens.
        self.now += Duration::from_millis(100);
        let began = Instant::now();
        self.cell.advance(self.now, 0);
        began.elapsed()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(kind) => self.submit(kind),
            Event::End(key, run) => {
                let worker = self.workers.entry(key).or_default();
                let Some(at) = worker.running.iter().position(|other| *other == run) else {
                    return;
                };
                worker.running.swap_remove(at);
                worker.last_end += 1;
                worker.ended.push(EndReport {
                    number: worker.last_end,
                    run,
                    end: RunEnd::Done,
                    checkpoint: String::new(),
                });
                self.report(key);
            }
            Event::Report(key) => {
                self.report(key);
                self.schedule(REPORT_INTERVAL, Event::Report(key));
            }
            Event::Advice(request) => self.answer(&request),
        }
    }

    fn submit(&mut self, kind: usize) {
        self.submit_once(kind);
        let rate = JOB_KINDS[kind].rate_per_thousand * f64::from(self.worker_count) / 1000.0;
        self.schedule(Duration::from_secs_f64(1.0 / rate), Event::Submit(kind));
    }

    fn submit_once(&mut self, kind: usize) {
        self.job_count += 1;
        let id = JobId(self.job_count);
        let JobKind {
            queue,
            tasks,
            cpu_milli,
            duration,
            gang,
            ..
        } = JOB_KINDS[kind];
        let step = StepSpec {
            count: tasks,
            need: cpu(cpu_milli),
            estimate_ms: u64::try_from(duration.as_millis()).unwrap_or(0),
            gang,
            ..StepSpec::default()
        };
        let spec = Arc::new(JobSpec {
            queue: queue.into(),
            input: "".into(),
            steps: vec![step],
            schedule: None,
            accepted_ms: u64::try_from((self.now - self.began).as_millis()).unwrap_or(0),
            team: self.team_of_next_job(),
        });
        self.job_kinds.insert(id, kind);
        let began = Instant::now();
        self.cell.add_job(id, spec, self.now, 0);
        self.busy += began.elapsed();
    }

    fn team_of_next_job(&self) -> Option<Arc<str>> {
        let number = self.job_count.checked_rem(self.team_count)?;
        Some(format!("t{number}").into())
    }

    fn report(&mut self, key: WorkerKey) {
        let worker = self.workers.entry(key).or_default();
        let running = worker.running.iter().map(|run| RunReport {
            run: *run,
            checkpoint: String::new(),
            percent: 50,
        });
        let report = WorkerReport {
            running: running.collect(),
            ended: std::mem::take(&mut worker.ended),
            ..WorkerReport::default()
        };
        let began = Instant::now();
        let lease_end = self.now + Duration::from_secs(8);
        self.cell.lease_renewed(key, lease_end, self.now);
        self.cell.worker_reported(key, report, self.now, self.now);
        self.busy += began.elapsed();
    }

    fn execute(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Start(key, order) => {
                let run = order.run;
                self.starts += 1;
                self.workers.entry(key).or_default().running.push(run);
                let began = Instant::now();
                self.cell.start_confirmed(key, run, self.now);
                self.busy += began.elapsed();
                let kind = self.job_kinds[&run.task.job()];
                self.schedule(JOB_KINDS[kind].duration, Event::End(key, run));
            }
            CellEffect::Advise(request) => {
                let cost = request.spec.cost(request.workers.len().min(40));
                self.schedule(cost, Event::Advice(request));
            }
            CellEffect::Stop(..)
            | CellEffect::Acknowledge(..)
            | CellEffect::Forget(..)
            | CellEffect::Report(..)
            | CellEffect::Release(..) => {}
        }
    }

    fn answer(&mut self, request: &AdviceRequest) {
        let kind = self.job_kinds.get(&request.step.job).copied().unwrap_or(0);
        let keys = request.workers.iter();
        let named: Vec<Arc<str>> = keys.filter_map(|key| self.cell.worker_id(*key)).collect();
        let is_allowed = |id: &&Arc<str>| {
            let number: u64 = id[1..].parse().unwrap_or(0);
            // Spreads the allowed workers evenly, and differently for each step.
            (number * 7919 + request.step.job.0 * 104_729) % 100 < JOB_KINDS[kind].allowed_percent
        };
        let allowed = named.iter().filter(is_allowed);
        let reply = AdviceReply {
            allowed: allowed.map(|id| (id.clone(), "ticket".into())).collect(),
            ticket_validity: request.spec.ticket_validity,
        };
        let began = Instant::now();
        self.cell
            .advice_settled(request.step, &named, Some(reply), true, self.now);
        self.busy += began.elapsed();
    }
}

fn cpu(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mib: cpu_milli,
        ..Resources::ZERO
    }
}

fn worker_entry(number: u32) -> WorkerEntry {
    WorkerEntry {
        id: format!("w{number}").into(),
        started_ms: 1,
        service: "desk".into(),
        labels: vec![format!("r0-{}", number / 20).into()],
        capacity: cpu(64_000),
        draining: false,
    }
}

/// Returns the median time of a pass over a backlog of this many jobs on workers that are in use.
fn backlog_pass(mut loaded: LoadedCell, jobs: u32) -> Duration {
    loaded.run_for(WARM_UP);
    for number in 0..jobs {
        let kind = usize::try_from(number % 8).unwrap_or(0) / 7;
        loaded.submit_once(kind);
    }
    loaded.run_for(Duration::from_millis(300));
    let mut passes: Vec<Duration> = (0..BACKLOG_PASSES).map(|_| loaded.time_pass()).collect();
    passes.sort_unstable();
    passes[passes.len() / 2]
}

fn main() {
    println!("workers  starts/s  waiting  us/start  longest advance");
    for worker_count in WORKER_COUNTS {
        let mut loaded = LoadedCell::new(worker_count);
        loaded.run_for(WARM_UP);
        (loaded.starts, loaded.busy) = (0, Duration::ZERO);
        loaded.longest_advance = Duration::ZERO;
        loaded.run_for(MEASURED);
        let starts = loaded.starts.max(1) as f64;
        println!(
            "{worker_count:>7}  {:>8.0}  {:>7}  {:>8.1}  {:>15.1?}",
            starts / MEASURED.as_secs_f64(),
            loaded.cell.waiting_steps(),
            loaded.busy.as_secs_f64() * 1e6 / starts,
            loaded.longest_advance,
        );
    }
    println!("backlog   us/pass");
    for jobs in BACKLOG_SIZES {
        let pass = backlog_pass(LoadedCell::new(BACKLOG_WORKERS), jobs);
        println!("{jobs:>7}  {:>8.1}", pass.as_secs_f64() * 1e6);
    }
    println!("us/pass   of {TEAM_COUNT} teams on {TEAM_WORKERS} workers");
    for case in TEAM_CASES {
        let name = case.name;
        let loaded = LoadedCell::with_teams(TEAM_WORKERS, case);
        let pass = backlog_pass(loaded, TEAM_BACKLOG);
        println!("{:>7.1}   {name}", pass.as_secs_f64() * 1e6);
    }
}
