//! Backlogs of thousands of jobs on an owner with little processor time.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::JobSpec;

use crate::advised_load::{AdvisedLoad, LoadSize, OwnerSpeed};
use crate::backlog::{queues, wide_gang};
use crate::fixture::{id, job, step};

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
