//! Property P1: no worker is ever overcommitted, and capacity is neither lost nor allocated twice.
//!
//! The command sequences are deterministic. `HS_CORE_CHECK_RUNS` sets their number (default 300)
//! and `HS_CORE_CHECK_SEED` the seed.

mod common;
mod oracle;

use std::time::Instant;

use common::{amount, policy, request, worker};
use hs_core::{Placer, PolicyMode, TaskEnd, WorkBand};
use hs_wire::{NotRunReason, Resources};
use oracle::{Command, Harness};
use quickcheck::{Gen, QuickCheck, TestResult};

fn run(commands: &[Command], short_tasks_only: bool, mode: PolicyMode) -> TestResult {
    let mut harness = Harness::new(short_tasks_only, mode);
    for command in commands {
        harness.apply(command);
        harness.poll_and_check();
    }
    // Ends all running tasks and cancels all queued work; then all capacity must be free.
    let next = |harness: &Harness| harness.running().next();
    while let Some(task) = next(&harness) {
        harness.finish(task, TaskEnd::Done);
        harness.poll_and_check();
    }
    for work in harness.order.clone() {
        harness.cancel(work);
    }
    harness.poll_and_check();
    for (key, capacity, _) in &harness.workers {
        let load = harness.placer.worker_load(*key);
        assert_eq!(
            load,
            Some((*capacity, Resources::ZERO)),
            "capacity was lost"
        );
    }
    TestResult::passed()
}

fn check(property: fn(Vec<Command>) -> TestResult) {
    let number = |name, default| match std::env::var(name) {
        Ok(text) => text.parse().expect("a number"),
        Err(_) => default,
    };
    let runs = number("HS_CORE_CHECK_RUNS", 300);
    let seed = number("HS_CORE_CHECK_SEED", 0x5eed);
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, seed))
        .tests(runs)
        .min_tests_passed(runs);
    if let Err(failure) = check.quicktest(property) {
        panic!("HS_CORE_CHECK_SEED={seed} HS_CORE_CHECK_RUNS={runs}: {failure:?}");
    }
}

/// Guards against overcommitment, a task on two workers, lost capacity, and work that is placed
/// after its refusal, for any order of inputs.
#[test]
fn any_commands_keep_capacity() {
    check(|commands| run(&commands, false, PolicyMode::Fair));
}

/// Guards against work that waits although it fits, for example behind larger work. Only the margin
/// that a customer above its share leaves to the others may stay free.
#[test]
fn short_task_never_waits_while_it_fits() {
    check(|commands| run(&commands, true, PolicyMode::Fair));
}

/// Guards against a baseline mode that overcommits workers, which would invalidate comparisons with
/// it.
#[test]
fn baseline_keeps_capacity() {
    check(|commands| run(&commands, false, PolicyMode::Baseline));
}

/// Name, number of workers, band, size and number of tasks, and expected result.
struct AdmitCase(
    &'static str,
    usize,
    WorkBand,
    Resources,
    u16,
    Result<(), NotRunReason>,
);

/// Guards against work that waits forever because no worker or quota can hold it, and against the
/// refusal of work that only has to wait for workers to join.
#[test]
fn admission_refuses_only_work_that_never_fits() {
    let (short, long) = (WorkBand::Short, WorkBand::Long);
    let never = Err(NotRunReason::NeverFits);
    let cases = [
        AdmitCase("no workers yet", 0, short, amount(32, 1), 1, Ok(())),
        AdmitCase("fits", 2, short, amount(8, 4), 1, Ok(())),
        AdmitCase("too large for a worker", 2, short, amount(9, 1), 1, never),
        AdmitCase("one dimension missing", 2, short, amount(1, 5), 1, never),
        AdmitCase("reserve of short work", 2, long, amount(8, 1), 1, never),
        AdmitCase("gang fits", 2, long, amount(3, 1), 4, Ok(())),
        AdmitCase("gang over the ceiling", 2, long, amount(1, 0), 5, never),
        AdmitCase("gang over the quota", 9, short, amount(8, 1), 5, never),
    ];
    for AdmitCase(name, workers, band, need, tasks, expected) in cases {
        let now = Instant::now();
        let mut policy = policy(1);
        policy.short_reserve = amount(1, 1);
        policy.long_ceiling = Some(2);
        policy.customers[0].quota = Some(amount(32, 100));
        let mut placer = Placer::new(policy, now);
        for index in 0..workers {
            placer.add_worker(worker(index, 0, amount(8, 4)), now);
        }
        let customer = placer.customer("c0").unwrap();
        let mut request = request(customer, band, need);
        request.tasks = tasks;
        let result = placer.submit(request, now).map(drop);
        assert_eq!(result, expected, "{name}");
    }
}
