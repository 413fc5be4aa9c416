//! Entry processes as real processes, with the platform's stand-ins beside them.
//!
//! Each test starts its own processes and ends only these, by id.

mod audit;
mod client;
mod link;
mod node;
mod platform;
mod ports;
mod roles;

pub use audit::{KeyAudit, submit_until_final};
pub use client::{Caller, submission};
pub use link::{CutLink, HoldKind};
pub use node::{EntryNode, NodeSpec, publish, wait_owned};
pub use platform::{TestPlatform, wall_ms};
pub use ports::free_address;
pub use roles::{
    find_key_owned_by, gather_partitions, key_owned_by, owned_workers, partition_owner,
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

/// Tests that run at a time. Each has several processes, and their timeouts are the product's own, so
/// that too many at once would measure the machine.
static SLOTS: Semaphore = Semaphore::const_new(3);

/// Waits without taking up a slot. For waits of many seconds in which the test's processes are idle.
pub async fn without_slot<T>(wait: impl Future<Output = T>) -> T {
    SLOTS.add_permits(1);
    let value = wait.await;
    if let Ok(slot) = SLOTS.acquire().await {
        slot.forget();
    }
    value
}

/// Runs a test on several threads, when there is room for it.
pub fn run_test(test: impl Future<Output = ()>) {
    let test = async {
        let _slot = SLOTS.acquire().await;
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
