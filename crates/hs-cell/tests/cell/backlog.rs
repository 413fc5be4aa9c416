//! Load patterns of backlogs on many workers, with an advice service that allows a part of them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{AdviceSpec, JobId, JobSpec, QueueSpec, StepSpec};

use crate::advised_load::{AdvisedLoad, LoadSize, OwnerSpeed};
use crate::fixture::{id, job, queue, step};

/// Interval at which the waits of gangs are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a gang may wait although workers have room for it twice over.
const MAX_WAIT_BESIDE_ROOM: Duration = Duration::from_secs(3);

/// Share of the CPU in use above which a gang may wait longer.
const MAX_IDLE_UTILIZATION: f64 = 0.5;

/// Room, as a multiple of a gang's need, below which it may wait longer.
const SPARE_FACTOR: u32 = 2;

fn advised(name: &str, priority: u8, base_us: u64, worker_us: u64) -> QueueSpec {
    QueueSpec {
        advice: Some(AdviceSpec {
            base_cost: Duration::from_micros(base_us),
            cost_per_worker: Duration::from_micros(worker_us),
            ticket_validity: Duration::from_millis(2500),
        }),
        target: Duration::from_secs(1),
        ..queue(name, priority, 3)
    }
}

/// Returns the queues of the load.
pub fn queues() -> Vec<QueueSpec> {
    vec![
        advised("check", 0, 11_440, 169),
        advised("plan", 1, 507_000, 7150),
        advised("recon", 2, 182_000, 2600),
    ]
}

/// Returns a gang of 14 to 62 tasks of 10 to 30 cores.
pub fn wide_gang(number: u64) -> Arc<JobSpec> {
    let count = 14 + (number * 13 % 49) as u16;
    let cpu_milli = 10_000 + (number * 7919 % 20_000) as u32;
    let gang = StepSpec {
        gang: true,
        ..step(count, cpu_milli, 4200)
    };
    job("plan", vec![gang])
}

/// Tracks for how long gangs have waited although there was room for them.
#[derive(Default)]
struct WaitOracle {
    waiting_since: HashMap<JobId, Instant>,
    longest: Duration,
}

impl WaitOracle {
    fn look(&mut self, load: &AdvisedLoad) {
        let waiting = match load.utilization() < MAX_IDLE_UTILIZATION {
            true => load.unstarted_jobs(),
            false => Vec::new(),
        };
        let has_room = |id: &JobId| load.has_room_for(*id, SPARE_FACTOR * load.width(*id));
        let waiting: BTreeSet<JobId> = waiting.into_iter().filter(has_room).collect();
        self.waiting_since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.waiting_since.entry(id).or_insert(load.now);
            self.longest = self.longest.max(load.now - since);
        }
    }
}

fn run(load: &mut AdvisedLoad, oracle: &mut WaitOracle, time: Duration) {
    let end = load.now + time;
    while load.now < end {
        load.run_for(LOOK_INTERVAL);
        oracle.look(load);
    }
}

/// A backlog of gangs, and the load beside it.
struct BacklogCase {
    name: &'static str,
    gangs: u64,
    /// Short jobs of a higher priority, each second.
    checks_per_second: u64,
    /// Wide steps of single tasks of a lower priority, each second.
    recons_per_second: u64,
}

/// Number of the first short job; each second adds up to a thousand.
const FIRST_CHECK: u64 = 10_000;

/// Number of the first wide step of single tasks.
const FIRST_RECON: u64 = 1_000_000;

fn submit_beside(load: &mut AdvisedLoad, case: &BacklogCase, second: u64) {
    for number in 0..case.checks_per_second {
        let check = job("check", vec![step(4, 16_000, 540)]);
        load.submit(id(FIRST_CHECK + second * 1000 + number), check);
    }
    for number in 0..case.recons_per_second {
        let recon = job("recon", vec![step(32, 11_000, 2900)]);
        load.submit(id(FIRST_RECON + second * 1000 + number), recon);
    }
}

/// Pattern: a load peak leaves more gangs than may request advice at a time, on a cluster that is mostly free.
/// Each gang obtains tickets for all its tasks at once, instead of collecting some that expire before the
/// others are valid, or for workers that other steps take meanwhile.
#[test]
fn a_backlog_of_wide_gangs_starts_while_workers_have_room() {
    let cases = [
        BacklogCase {
            name: "gangs alone",
            gangs: 150,
            checks_per_second: 0,
            recons_per_second: 0,
        },
        BacklogCase {
            name: "gangs beside short jobs and wide steps",
            gangs: 100,
            checks_per_second: 60,
            recons_per_second: 10,
        },
    ];
    for case in cases {
        let size = LoadSize {
            workers: 1100,
            advice_callers: 146,
            allowed_percent: 35,
            owner: OwnerSpeed::IDLE,
        };
        let mut load = AdvisedLoad::new(size, queues());
        for number in 0..case.gangs {
            load.submit(id(number), wide_gang(number));
        }
        let mut oracle = WaitOracle::default();
        let mut second = 0;
        while load
            .unstarted_jobs()
            .iter()
            .any(|job| *job < id(case.gangs))
            && second < 40
        {
            submit_beside(&mut load, &case, second);
            run(&mut load, &mut oracle, Duration::from_secs(1));
            second += 1;
        }
        run(&mut load, &mut oracle, Duration::from_secs(10));
        let name = case.name;
        assert_eq!(load.unstarted_jobs(), [], "{name}");
        assert!(load.is_done(), "{name}");
        assert!(
            oracle.longest <= MAX_WAIT_BESIDE_ROOM,
            "{name}: a job waited for {:?} beside free workers",
            oracle.longest
        );
    }
}

/// Pattern: an outage leaves a thousand short jobs, and the owner is busy, so that each call takes 100 ms
/// longer. As many jobs may request advice as the workers have room for, since a limit on them would bound
/// their rate by the duration of a call.
#[test]
fn a_backlog_of_short_jobs_starts_while_workers_have_room() {
    const BACKLOG: u64 = 1000;
    const ARRIVALS_PER_SECOND: u64 = 140;
    const SECONDS: u64 = 12;
    let size = LoadSize {
        workers: 1100,
        advice_callers: 146,
        allowed_percent: 70,
        owner: OwnerSpeed::SATURATED,
    };
    let mut load = AdvisedLoad::new(size, queues());
    for number in 0..BACKLOG {
        load.submit(id(number), job("check", vec![step(4, 16_000, 540)]));
    }
    let mut oracle = WaitOracle::default();
    for second in 0..SECONDS {
        for number in 0..ARRIVALS_PER_SECOND {
            let check = job("check", vec![step(4, 16_000, 540)]);
            load.submit(id(FIRST_CHECK + second * 1000 + number), check);
        }
        run(&mut load, &mut oracle, Duration::from_secs(1));
    }
    assert!(
        oracle.longest <= MAX_WAIT_BESIDE_ROOM,
        "a job waited for {:?} beside free workers",
        oracle.longest
    );
    run(&mut load, &mut oracle, MAX_WAIT_BESIDE_ROOM);
    assert_eq!(load.unstarted_jobs(), []);
}

/// Guards against a gang that never starts because its requests only renew tickets, and never name further workers.
#[test]
fn very_wide_gangs_start() {
    for width in [150, 210, 260, 300] {
        let size = LoadSize {
            workers: 1100,
            advice_callers: 146,
            allowed_percent: 35,
            owner: OwnerSpeed::IDLE,
        };
        let mut load = AdvisedLoad::new(size, queues());
        let gang = StepSpec {
            gang: true,
            ..step(width, 60_000, 4200)
        };
        load.submit(id(1), job("plan", vec![gang]));
        load.run_for(Duration::from_secs(8));
        assert_eq!(load.unstarted_jobs(), [], "{width} tasks");
    }
}
