//! Timeouts that leave out the time in which the process itself was late.
//!
//! A reply that has arrived is only seen after the runtime has polled the socket and the tasks in between. On a
//! process that was paused or has too little processor time, the timer of a call therefore fires before a
//! reply that arrived in time is read, and the peer would count as silent although only this process was late.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use thiserror::Error;
use tokio::time::{Instant, sleep_until};

/// Lateness of a timer from which it counts as the lateness of this process. Timers have a resolution of 1 ms,
/// and fire up to a few milliseconds late on an idle machine.
const MIN_LATENESS: Duration = Duration::from_millis(10);

/// Maximum time by which a timeout is extended in all, as a multiple of the timeout.
const MAX_EXTENSION_FACTOR: u32 = 3;

/// Error of a call that did not complete in time.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no reply within {} ms", limit.as_millis())]
pub struct TimedOut {
    /// Timeout of the call.
    pub limit: Duration,
}

/// Waits for `call` at most `limit`, and longer by the time in which this process was late.
///
/// Each time that the timer fires late, the call is given as much time again, at most three times the limit
/// in all.
///
/// # Errors
///
/// Returns [`TimedOut`] if the call has not completed by then.
pub async fn timeout<T>(limit: Duration, call: impl Future<Output = T>) -> Result<T, TimedOut> {
    let mut call = pin!(call);
    let mut deadline = Instant::now() + limit;
    let latest = deadline + limit * MAX_EXTENSION_FACTOR;
    loop {
        tokio::select! {
            biased;
            result = &mut call => return Ok(result),
            () = sleep_until(deadline) => {}
        }
        let now = Instant::now();
        let lateness = now.saturating_duration_since(deadline);
        if lateness < MIN_LATENESS || deadline >= latest {
            return Err(TimedOut { limit });
        }
        deadline = (now + lateness.min(limit)).min(latest.max(now + MIN_LATENESS));
    }
}
