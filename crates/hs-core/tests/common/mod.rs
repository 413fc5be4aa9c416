//! Builders shared by the tests.

use std::time::Duration;

use hs_core::{CustomerKey, CustomerPolicy, PlacerPolicy, WorkBand, WorkRequest, WorkerSpec};
use hs_wire::Resources;

/// Builds an amount of whole CPU cores and slots.
pub fn amount(cores: u32, slots: u32) -> Resources {
    Resources {
        cpu_milli: cores * 1000,
        slots,
        ..Resources::ZERO
    }
}

/// Builds a policy with customers `c0`, `c1`, ... of equal weight and without quotas.
pub fn policy(customers: usize) -> PlacerPolicy {
    let customer = |index| CustomerPolicy {
        name: format!("c{index}"),
        weight: 1,
        quota: None,
        queue_limit: 100_000,
    };
    PlacerPolicy {
        customers: (0..customers).map(customer).collect(),
        ..PlacerPolicy::default()
    }
}

/// Builds the specification of worker `w{name}` in rack `r{rack}`.
pub fn worker(name: usize, rack: usize, capacity: Resources) -> WorkerSpec {
    WorkerSpec {
        name: format!("w{name}"),
        rack: format!("r{rack}"),
        capacity,
    }
}

/// Builds a request for a single task with a declared run time of 100 ms.
pub fn request(customer: CustomerKey, band: WorkBand, need: Resources) -> WorkRequest {
    WorkRequest {
        customer,
        workload: band as u32,
        band,
        resources: need,
        tasks: 1,
        estimate: Some(Duration::from_millis(100)),
        deadline: None,
        tag: 0,
    }
}
