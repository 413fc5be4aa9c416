//! Backlogs of thousands of jobs on an owner with little processor time.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::{JobSpec, StepSpec};

use crate::advised_load::{AdvisedLoad, LoadSize, OwnerSpeed};
use crate::backlog::{queues, wide_gang};
use crate::fixture::{id, job, step};
use crate::owner_processor::ProcessorCosts;

/// CPU of all workers in thousandths of a core.
const CLUSTER_CPU: u64 = 1100 * 64_000;

/// Returns job `number` of a mix of short checks, wide gangs and wide steps of single tasks.
fn mixed_job(number: u64) -> Arc<JobSpec> {
    match number % 50 {
        7 => wide_gang(number),
        23 | 41 => job("recon", vec![step(32, 11_000, 2900)]),
        _ => job("check", vec![step(4, 16_000, 540)]),
    }
}

fn large_cell(owner: OwnerSpeed) -> AdvisedLoad {
    let size = LoadSize {
        workers: 1100,
        advice_callers: 146,
        allowed_percent: 35,
        owner,
    };
    AdvisedLoad::new(size, queues())
}

fn submit_backlog(load: &mut AdvisedLoad, jobs: u64) {
    for number in 0..jobs {
        load.submit(id(number), mixed_job(number));
    }
}

/// Guards against passes whose duration grows with the backlog, so that an owner that is behind gets further
/// behind with each pass.
#[test]
fn the_work_of_a_pass_does_not_grow_with_the_backlog() {
    /// Work by which the last visits of a pass may exceed its budget.
    const MAX_PASS_WORK: u64 = 28_000;
    let most_work = |jobs: u64| {
        let mut load = large_cell(OwnerSpeed::IDLE);
        submit_backlog(&mut load, jobs);
        load.run_for(Duration::from_secs(2));
        load.counts.most_pass_work
    };
    let (short, long) = (most_work(500), most_work(10_000));
    assert!(short <= MAX_PASS_WORK, "{short} with 500 jobs");
    assert!(
        long <= MAX_PASS_WORK && long <= 2 * short,
        "{long} with 10,000 jobs, {short} with 500"
    );
}

/// Core time in thousandths of a core times milliseconds, and the number of tasks, of a backlog.
struct BacklogSize {
    cpu_milli_ms: u64,
    tasks: u64,
}

fn backlog_size(jobs: u64) -> BacklogSize {
    let specs = (0..jobs).map(mixed_job);
    let sizes = specs.map(|spec| {
        let StepSpec {
            count,
            need,
            estimate_ms,
            ..
        } = spec.steps[0];
        let tasks = u64::from(count);
        (tasks, tasks * u64::from(need.cpu_milli) * estimate_ms)
    });
    let add = |(tasks, cpu): (u64, u64), (more, more_cpu)| (tasks + more, cpu + more_cpu);
    let (tasks, cpu_milli_ms) = sizes.fold((0, 0), add);
    BacklogSize {
        cpu_milli_ms,
        tasks,
    }
}

/// Guards against a backlog that keeps its owner too slow to start anything: each owner takes over all waiting
/// jobs, and must start the first ones at once and then work them off, although it only has half a core.
#[test]
fn a_large_backlog_drains_on_a_slow_owner() {
    const JOBS: u64 = 10_000;
    let mut load = large_cell(OwnerSpeed {
        pass: Duration::from_millis(8),
        call: Duration::from_millis(40),
    });
    let costs = ProcessorCosts::HALF_CORE;
    load.set_processor_costs(costs);
    submit_backlog(&mut load, JOBS);
    let begun = load.now;
    load.run_for(Duration::from_secs(2));
    assert!(load.counts.starts > 0, "nothing started");
    // Twice the larger of core time by capacity and the owner's time for all calls, so that half of either may be lost.
    let size = backlog_size(JOBS);
    let core_time = Duration::from_millis(size.cpu_milli_ms / CLUSTER_CPU);
    let owner_time =
        (costs.start + costs.report) * size.tasks as u32 + costs.advice_call * JOBS as u32;
    let bound = core_time.max(owner_time) * 2;
    while load.now - begun < bound && load.unfinished_jobs() > 0 {
        load.run_for(Duration::from_millis(100));
    }
    let passes = load.processor.longest_pass;
    assert_eq!(
        load.unfinished_jobs(),
        0,
        "{:?} of {bound:?}, core time {core_time:?}, owner time {owner_time:?}, {:?}",
        load.now - begun,
        load.counts
    );
    assert!(passes <= Duration::from_millis(20), "{passes:?}");
}
