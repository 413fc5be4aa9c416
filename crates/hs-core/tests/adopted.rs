//! Accounting of running tasks that a worker lists with amounts out of proportion.

mod common;

use std::time::Instant;

use common::{amount, policy, request, worker};
use hs_core::{Decision, Placer, TaskEnd, WorkBand};
use hs_wire::Resources;

/// Cores and slots of the worker.
const SLOTS: u32 = 8;

/// Guards against an overcommitted worker and an exceeded quota: the sum of what runs stopped at the
/// largest number, so that the end of an adopted task of such a size freed what other tasks still
/// held.
#[test]
fn the_end_of_a_huge_task_frees_only_its_own_amounts() {
    let huge = Resources::MAX;
    for (name, adopted) in [("one", 1), ("several", 3)] {
        let now = Instant::now();
        let mut policy = policy(1);
        policy.customers[0].quota = Some(amount(SLOTS, SLOTS));
        let mut placer = Placer::new(policy, now);
        let customer = placer.customer("c0").expect("c0");
        let capacity = amount(2 * SLOTS, 2 * SLOTS);
        let key = placer.add_worker(worker(0, 0, capacity), now);
        let small = request(customer, WorkBand::Normal, amount(1, 1));
        let held = 5;
        for _ in 0..held {
            let placed = placer.place_now(small.clone(), now);
            assert!(matches!(placed, Some(Decision::Place { .. })), "{name}");
        }
        let tasks: Vec<_> = (0..adopted)
            .map(|_| placer.adopt(key, request(customer, WorkBand::Normal, huge), now))
            .collect();
        for task in tasks {
            assert!(placer.place_now(small.clone(), now).is_none(), "{name}");
            placer.finish(task, 0, TaskEnd::Stopped, now);
        }
        let load = placer.worker_load(key);
        assert_eq!(load, Some((capacity, amount(held, held))), "{name}");
        let mut more = 0;
        while placer.place_now(small.clone(), now).is_some() {
            more += 1;
        }
        assert_eq!(held + more, SLOTS, "{name}: quota");
    }
}
