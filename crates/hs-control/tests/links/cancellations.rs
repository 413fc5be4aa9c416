//! Cancellations of jobs that the cell knows and of others.

use std::time::Duration;

use hs_cell::JobId;
use hs_control::CancelReply;
use hs_control::port::StorePort;
use tokio::time::sleep;

use crate::platform::FakePlatform;
use crate::process::{ELECTION_TIME, Process, put_job};

/// Cancellations of unknown jobs that a process stores at once.
const UNKNOWN_AT_ONCE: u64 = 100;

/// Known jobs, more than that.
const KNOWN: u64 = 300;

const TIMEOUT: Duration = Duration::from_secs(1);

/// Guards against a caller that makes a process store any number of cancellations of unknown jobs, and against
/// cancellations of known jobs that are refused for them.
#[tokio::test(start_paused = true)]
async fn only_cancellations_of_unknown_jobs_are_limited() {
    let platform = FakePlatform::default();
    for number in 1..=KNOWN {
        put_job(&platform, number, None);
    }
    let process = Process::start(&platform).await;
    sleep(ELECTION_TIME).await;
    let unknown = |number: u64| JobId(1_000_000 + number);
    let cancel = |id| process.control.cancel(id, None, TIMEOUT);
    for number in 0..UNKNOWN_AT_ONCE {
        assert_eq!(
            cancel(unknown(number)).await,
            CancelReply::NoJob,
            "{number}"
        );
    }
    let refused = unknown(UNKNOWN_AT_ONCE);
    assert_eq!(cancel(refused).await, CancelReply::TooMany);
    let key = format!("hs/in/cancel/{refused}");
    let stored = platform
        .read(&key, TIMEOUT)
        .await
        .expect("the store answers");
    assert_eq!(stored, None, "a refused cancellation is stored");
    for number in 1..=KNOWN {
        assert_eq!(
            cancel(JobId(number)).await,
            CancelReply::Cancelled,
            "{number}"
        );
    }
}
