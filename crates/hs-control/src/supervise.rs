//! Restart of tasks that panic.
//!
//! A panic ends only its task. A process whose election or lease renewals ended that way would keep accepting
//! connections without doing its part, so these tasks are restarted, with a log line for each panic.

use std::time::Duration;

use hs_event::EventCode;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause before a task that panicked is started again. It bounds the load if the cause persists.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Runs a task, and starts it again whenever it panics. Returns when the task returns.
///
/// If this future is dropped, the task is aborted.
pub async fn restart_on_panic<F>(name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let mut tasks = JoinSet::new();
        tasks.spawn(start());
        let Some(Err(error)) = tasks.join_next().await else {
            return;
        };
        if !error.is_panic() {
            return;
        }
        EventCode::TaskPanicked.log(format_args!("task=\"{name}\" cause=\"{error}\""));
        sleep(RESTART_PAUSE).await;
    }
}
