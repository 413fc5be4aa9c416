//! Seeded load generation shared by the benches.

use std::time::{Duration, Instant};

use hs_core::{
    CustomerKey, CustomerPolicy, Placer, PlacerPolicy, PolicyMode, WorkBand, WorkRequest,
    WorkerSpec,
};
use hs_wire::Resources;

/// Deterministic pseudo-random number generator (xorshift64*).
pub struct SeededNumbers(u64);

impl SeededNumbers {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns the next number, which is below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 32) % limit
    }
}

/// Builds an amount from CPU cores, memory in GiB, accelerators, slots and connections.
pub fn amount(cores: u32, gib: u32, accelerators: u32, slots: u32, connections: u32) -> Resources {
    Resources {
        cpu_milli: cores * 1000,
        memory_mib: gib * 1024,
        accelerators,
        slots,
        connections,
    }
}

/// Builds a policy with customers `c0`, `c1`, ... of equal weight and without quotas.
pub fn policy(mode: PolicyMode, customers: usize) -> PlacerPolicy {
    let customer = |index| CustomerPolicy {
        name: format!("c{index}"),
        weight: 1,
        quota: None,
        queue_limit: 1_000_000,
    };
    PlacerPolicy {
        mode,
        customers: (0..customers).map(customer).collect(),
        short_reserve: Resources::ZERO,
        long_ceiling: None,
    }
}

/// Builds a placer with one worker for each capacity and eight workers in each rack. Returns it
/// with the start time and the total capacity.
pub fn cluster(policy: PlacerPolicy, capacities: &[Resources]) -> (Placer, Instant, Resources) {
    let now = Instant::now();
    let mut placer = Placer::new(policy, now);
    for (index, capacity) in capacities.iter().enumerate() {
        let spec = WorkerSpec {
            name: format!("w{index}"),
            rack: format!("r{}", index / 8),
            capacity: *capacity,
        };
        placer.add_worker(spec, now);
    }
    let total = capacities
        .iter()
        .fold(Resources::ZERO, |sum, of| sum.saturating_add(*of));
    (placer, now, total)
}

/// Builds a request for a single task with a declared run time.
pub fn request(
    customer: CustomerKey,
    band: WorkBand,
    resources: Resources,
    run: Duration,
) -> WorkRequest {
    WorkRequest {
        customer,
        workload: band as u32,
        band,
        resources,
        tasks: 1,
        estimate: Some(run),
        deadline: None,
        tag: 0,
    }
}

/// Sorts `times` and returns a percentile of them, or zero if there are none.
pub fn percentile(times: &mut [Duration], percent: f64) -> Duration {
    times.sort_unstable();
    let rank = (times.len() as f64 * percent / 100.0).ceil() as usize;
    times
        .get(rank.max(1) - 1)
        .copied()
        .unwrap_or(Duration::ZERO)
}
