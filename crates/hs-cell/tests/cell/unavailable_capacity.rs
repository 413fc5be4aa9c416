//! Checks that workers on which nothing can be placed add nothing to the free capacity of the cell.

use std::time::{Duration, Instant};

use hs_cell::{Cell, CellEffect, CellOptions, WorkerEntry, WorkerKey, WorkerReport};

use crate::fixture::{advised_queue, cpu, entry, id, job, step};

/// Number of waiting steps, more than may ask for advice beside little free CPU.
const STEPS: u64 = 60;

/// Number of advice requests that a pass sends at most, of more active steps.
const MAX_REQUESTS_PER_PASS: usize = 32;

/// Number of steps of a priority that may ask for advice however little CPU is free.
const MIN_ACTIVE_STEPS: usize = 24;

/// Number of usable workers.
const USABLE_WORKERS: usize = 2;

/// Duration of a lease.
const LEASE: Duration = Duration::from_secs(8);

/// Returns an entry that claims more CPU than all workers of a large cell have.
fn huge_entry(draining: bool) -> WorkerEntry {
    WorkerEntry {
        capacity: cpu(u32::MAX),
        draining,
        ..entry(USABLE_WORKERS, 1)
    }
}

fn report(cell: &mut Cell, key: WorkerKey, now: Instant) {
    cell.worker_reported(key, WorkerReport::default(), now, now);
}

fn renew_and_report(cell: &mut Cell, key: WorkerKey, now: Instant) {
    cell.lease_renewed(key, now + LEASE, now);
    report(cell, key, now);
}

/// Returns how many of the waiting steps ask for advice.
fn advice_requests(cell: &mut Cell, now: Instant) -> usize {
    for number in 0..STEPS {
        let spec = job("advised", vec![step(1, 8000, 500)]);
        cell.add_job(id(number), spec, now, 0);
    }
    cell.advance(now, 0);
    let effects = cell.take_effects();
    let requests = effects
        .iter()
        .filter(|e| matches!(e, CellEffect::Advise(_)));
    requests.count()
}

/// What happens to the worker that claims much CPU, and whether its CPU counts after that.
struct UnavailableCase {
    name: &'static str,
    change: fn(&mut Cell, WorkerKey, Instant),
    counts: bool,
}

/// Guards against a bound on the active steps that follows from capacity which does not exist: a registry entry of
/// another writer claimed four million cores, nothing answered at its address, and all steps could ask for advice.
#[test]
fn unavailable_workers_add_no_free_capacity() {
    let cases = [
        UnavailableCase {
            name: "never answered",
            change: |_, _, _| {},
            counts: false,
        },
        UnavailableCase {
            name: "without a lease",
            change: report,
            counts: false,
        },
        UnavailableCase {
            name: "available",
            change: renew_and_report,
            counts: true,
        },
        UnavailableCase {
            name: "no longer answers",
            change: |cell, key, now| {
                renew_and_report(cell, key, now);
                cell.worker_unreachable(key);
            },
            counts: false,
        },
        UnavailableCase {
            name: "answers again",
            change: |cell, key, now| {
                renew_and_report(cell, key, now);
                cell.worker_unreachable(key);
                report(cell, key, now);
            },
            counts: true,
        },
        UnavailableCase {
            name: "drains",
            change: |cell, key, now| {
                renew_and_report(cell, key, now);
                cell.worker_listed(huge_entry(true), now, now);
            },
            counts: false,
        },
        UnavailableCase {
            name: "no longer listed",
            change: |cell, key, now| {
                renew_and_report(cell, key, now);
                cell.worker_unlisted(&huge_entry(false).id);
            },
            counts: false,
        },
        UnavailableCase {
            name: "listed again",
            change: |cell, key, now| {
                renew_and_report(cell, key, now);
                cell.worker_unlisted(&huge_entry(false).id);
                cell.worker_listed(huge_entry(false), now, now);
            },
            counts: true,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut cell = Cell::new(CellOptions::default());
        cell.configure([advised_queue("advised", 1, Duration::from_millis(1))]);
        for number in 0..USABLE_WORKERS {
            let key = cell.worker_listed(entry(number, 1), now, now);
            renew_and_report(&mut cell, key, now);
        }
        let huge = cell.worker_listed(huge_entry(false), now, now);
        (case.change)(&mut cell, huge, now);
        let expected = match case.counts {
            true => MAX_REQUESTS_PER_PASS,
            false => MIN_ACTIVE_STEPS,
        };
        let requests = advice_requests(&mut cell, now);
        assert_eq!(requests, expected, "{}", case.name);
    }
}
