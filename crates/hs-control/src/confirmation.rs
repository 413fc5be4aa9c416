//! The task that confirms the configuration, so that withdrawn keys are refused in time.

use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::config_state::{ConfigSource, ConfigState};
use crate::port::{ConfigReply, Platform};

/// Shortest time between two reads of this task.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Number of reads in the time for which one of them confirms the configuration, unless that is too short.
const READS_PER_AGE: u32 = 4;

/// Interval at which the task looks whether a read is due. A timer does not count suspended time, so it is short.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the configuration while it has to be confirmed and no other task has read it for an interval.
///
/// A read does not wait for the one before, which a slow link may delay or lose. It counts from when it was sent, and
/// for nothing after `max_age`.
pub(crate) async fn confirm<P: Platform>(platform: P, state: ConfigState, max_age: Duration) {
    let interval = MIN_READ_INTERVAL.max(max_age / READS_PER_AGE);
    let mut reads: JoinSet<Option<u64>> = JoinSet::new();
    let mut last_sent: Option<Instant> = None;
    // Revision of the configuration that was decoded last.
    let mut decoded = None;
    loop {
        while let Some(read) = reads.try_join_next() {
            decoded = decoded.max(read.ok().flatten());
        }
        let now = platform.boot_now();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < interval;
        let last_confirmation = state.last_confirmation();
        if last_confirmation.is_some_and(|at| !at.max(last_sent).is_some_and(is_recent)) {
            last_sent = Some(now);
            let (platform, state) = (platform.clone(), state.clone());
            reads.spawn(async move {
                let reply = platform.read_config(decoded, max_age).await;
                let answered_at = platform.boot_now();
                let reply = reply.inspect_err(|error| {
                    state.record_failure(ConfigSource::Read, now, answered_at, error);
                });
                let reply = reply.ok()?;
                state.record_read(now, answered_at, &reply);
                match reply {
                    ConfigReply::Newest(_, revision) | ConfigReply::Unchanged(revision) => {
                        Some(revision)
                    }
                    ConfigReply::Unknown => None,
                }
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}
