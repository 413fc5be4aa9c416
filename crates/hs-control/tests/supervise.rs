//! Restart of tasks that panic.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hs_control::restart_on_panic;
use tokio::time::{sleep, timeout};

/// Number of starts that panic before one returns.
const PANICS: u32 = 2;

/// Guards against a process that lives on without one of its tasks after an unexpected error in it.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let counter = starts.clone();
    restart_on_panic("test", move || {
        let counter = counter.clone();
        async move {
            let earlier = counter.fetch_add(1, Ordering::Relaxed);
            assert!(earlier >= PANICS, "start {earlier} panics on purpose");
        }
    })
    .await;
    assert_eq!(starts.load(Ordering::Relaxed), PANICS + 1);
}

/// Guards against a task that goes on after its owner has dropped it, such as lease renewals of a former owner.
#[tokio::test(start_paused = true)]
async fn a_dropped_task_is_aborted() {
    let rounds = Arc::new(AtomicU32::new(0));
    let counter = rounds.clone();
    let supervised = restart_on_panic("test", move || {
        let counter = counter.clone();
        async move {
            loop {
                counter.fetch_add(1, Ordering::Relaxed);
                sleep(Duration::from_millis(10)).await;
            }
        }
    });
    let dropped = timeout(Duration::from_millis(100), supervised).await;
    assert!(dropped.is_err(), "the task never returns");
    let at_drop = rounds.load(Ordering::Relaxed);
    sleep(Duration::from_secs(1)).await;
    assert!(rounds.load(Ordering::Relaxed) <= at_drop + 1);
}
