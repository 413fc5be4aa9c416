//! Workers that start again under their IDs.

use std::time::Duration;

use crate::fixture::{id, job, queue, step};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

/// Number of rounds after which the lease of an unreachable worker, of 7.5 s, has expired.
const LEASE_EXPIRY_ROUNDS: usize = 180;

/// Guards against a second run of a task while the first one runs on a later incarnation of its worker than
/// the start was sent to.
#[test]
fn a_new_incarnation_inherits_runs_until_its_first_report() {
    let mut world = World::with_reports(2, vec![queue("check", 0, 3)]);
    world.submit(id(1), job("check", vec![step(1, 8000, 500)]));
    world.fault_free_round(ROUND_TIME);
    let (worker, _) = world.placed(id(1))[0];
    world.restart(worker);
    world.advance_cell();
    world.begin_write();
    world.finish_write();
    assert!(
        world.placed(id(1)).is_empty(),
        "the run was placed before the first report"
    );
    for _ in 0..4 {
        world.fault_free_round(ROUND_TIME);
    }
    assert_eq!(world.placed(id(1)).len(), 1);
}

/// Guards against a second run of a task while the first one goes on, on a worker that started again and was cut off: a
/// call that was meant for the incarnation before had prolonged its lease to the longest that it grants.
#[test]
fn runs_under_a_stale_lease_end_before_they_start_elsewhere() {
    struct Case {
        name: &'static str,
        is_owner_replaced: bool,
        /// Whether the registry no longer lists the worker when a further owner takes over.
        is_unlisted: bool,
    }
    let cases = [
        Case {
            name: "the owner has known the earlier incarnation",
            is_owner_replaced: false,
            is_unlisted: false,
        },
        Case {
            name: "a new owner finds the later incarnation",
            is_owner_replaced: true,
            is_unlisted: false,
        },
        Case {
            name: "a new owner knows the later incarnation only from the record",
            is_owner_replaced: false,
            is_unlisted: true,
        },
    ];
    for case in cases {
        let mut world = World::with_reports(2, vec![queue("check", 0, 3)]);
        for number in 0..2 {
            world.restart(number);
            world.carry_out_stale_renewal(number);
        }
        if case.is_owner_replaced {
            world.take_over();
        }
        for _ in 0..3 {
            world.fault_free_round(ROUND_TIME);
        }
        world.submit(id(1), job("check", vec![step(1, 8000, 500)]));
        world.fault_free_round(ROUND_TIME);
        let (worker, _) = world.placed(id(1))[0];
        world.workers[worker].reachable = false;
        if case.is_unlisted {
            world.unlist(worker);
            world.take_over();
        }
        // The oracle checks each start.
        for _ in 0..2 * LEASE_EXPIRY_ROUNDS {
            world.fault_free_round(ROUND_TIME);
        }
        let (other, _) = world.placed(id(1))[0];
        assert_ne!(other, worker, "{}", case.name);
    }
}

/// Guards against a new incarnation of a worker that gets no runs for seconds, because the run that ended with the
/// earlier one counts as stalled, or because a start that is sent before its lease is renewed is refused.
#[test]
fn a_new_incarnation_is_not_quarantined() {
    struct Case {
        name: &'static str,
        rounds_until_return: usize,
    }
    let cases = [
        Case {
            name: "at once",
            rounds_until_return: 0,
        },
        Case {
            name: "after 3 s",
            rounds_until_return: 60,
        },
    ];
    for Case {
        name,
        rounds_until_return,
    } in cases
    {
        let mut world = World::with_reports(1, vec![queue("check", 0, 3)]);
        world.submit(id(1), job("check", vec![step(6, 1000, 500)]));
        world.fault_free_round(ROUND_TIME);
        world.crash(0);
        world.submit(id(2), job("check", vec![step(2, 1000, 500)]));
        for _ in 0..rounds_until_return {
            world.fault_free_round(ROUND_TIME);
        }
        world.restart(0);
        for _ in 0..5 {
            world.fault_free_round(ROUND_TIME);
        }
        assert_eq!(world.workers[0].running.len(), 8, "{name}");
    }
}
