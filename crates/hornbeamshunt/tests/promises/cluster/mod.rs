//! A test cluster: entry processes as real processes, and stand-ins for the platform in the test
//! process.
//!
//! Each test starts its own processes and ends only these, by process id.

mod audit;
mod client;
mod link;
mod node;
mod platform;
mod ports;
mod roles;

pub use audit::{KeyAudit, submit_until_final};
pub use client::{Caller, submission};
pub use link::{FaultyLink, HoldKind};
pub use node::{EntryNode, NodeSpec, publish, wait_until_owned};
pub use platform::{TestPlatform, unix_time_ms};
pub use ports::free_address;
pub use roles::{
    find_key_owned_by, key_owned_by, move_all_partitions_to, owned_workers, partition_owner,
    worker_owner,
};

use std::future::Future;
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics with `what` if it does not hold within `limit`.
pub async fn eventually<F, T>(what: &str, limit: Duration, mut condition: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let begin = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(begin.elapsed() < limit, "{what} not within {limit:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Limits the tests that run concurrently. Each has several processes with the timeouts of the
/// product, so that with too many at once the tests would measure the machine.
static TEST_SLOTS: Semaphore = Semaphore::const_new(3);

/// Runs `wait` without occupying a slot, for waits of many seconds in which the processes of the test
/// are idle.
pub async fn without_slot<T>(wait: impl Future<Output = T>) -> T {
    TEST_SLOTS.add_permits(1);
    let value = wait.await;
    if let Ok(slot) = TEST_SLOTS.acquire().await {
        slot.forget();
    }
    value
}

/// Runs a test on a multi-threaded runtime, as soon as a slot is free.
pub fn run_test(test: impl Future<Output = ()>) {
    let test = async {
        let _slot = TEST_SLOTS.acquire().await;
        test.await;
    };
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(test);
}
