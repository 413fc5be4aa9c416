//! State requests that wait for the ends of jobs.

use std::time::Duration;

use hs_cell::JobId;
use hs_control::JobStateReply;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::platform::FakePlatform;
use crate::process::{ELECTION_TIME, Process, put_job};

/// State requests that a process handles at a time.
const AT_ONCE: usize = 768;

const REQUESTS: usize = 1000;

/// Time for which a request waits for the end of its job.
const WAIT: Duration = Duration::from_millis(300);

/// Guards against state requests that take memory and calls without a limit, and against permits that are not returned.
#[tokio::test(start_paused = true)]
async fn further_state_requests_are_refused() {
    let platform = FakePlatform::default();
    put_job(&platform, 1, None);
    let process = Process::start(&platform).await;
    sleep(ELECTION_TIME).await;
    for round in 0..2 {
        let mut requests = JoinSet::new();
        for _ in 0..REQUESTS {
            let control = process.control.clone();
            requests.spawn(async move { control.state(JobId(1), WAIT).await });
        }
        let replies = requests.join_all().await;
        let answered = replies
            .iter()
            .filter(|reply| matches!(reply, JobStateReply::State(_)))
            .count();
        assert_eq!(answered, AT_ONCE, "round {round}");
    }
}
