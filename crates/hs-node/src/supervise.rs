//! Restart of tasks that panic.
//!
//! A panic ends only its task. The process would go on without one of its duties, such as the
//! renewal of a lease, and would prevent its peers from taking the duty over.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hs_event::EventCode;
use tokio::sync::{Mutex, OwnedMutexGuard};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause before a task that panicked is started again. It bounds the load if the cause persists.
pub const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Receiver of the messages to a task. It outlives a panic of the task, so that the handles stay
/// valid and no message is lost except for the one that was being handled.
pub type TaskInbox<Receiver> = OwnedMutexGuard<Receiver>;

/// Runs a task, and starts it again whenever it panics. Returns when the task returns.
///
/// If this future is dropped, the task is aborted.
pub async fn restart_on_panic<F>(name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    while run_logged(&name, start()).await {
        sleep(RESTART_PAUSE).await;
    }
}

/// Runs a task that receives messages, and starts it again with the same receiver whenever it
/// panics. Returns when the task returns.
pub async fn restart_with_inbox<Receiver, F>(
    name: &'static str,
    receiver: Receiver,
    start: impl Fn(TaskInbox<Receiver>) -> F,
) where
    Receiver: Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let receiver = Arc::new(Mutex::new(receiver));
    loop {
        let inbox = receiver.clone().lock_owned().await;
        if !run_logged(&name, start(inbox)).await {
            return;
        }
        sleep(RESTART_PAUSE).await;
    }
}

/// Runs a task to its end, and returns whether it panicked. A panic is logged with `name`.
pub async fn run_logged<F>(name: &impl fmt::Display, task: F) -> bool
where
    F: Future<Output = ()> + Send + 'static,
{
    catch_panic(name, task).await.is_none()
}

/// Runs a task to its end. Returns `None` if it panicked, which is logged with `name`.
pub async fn catch_panic<F>(name: &impl fmt::Display, task: F) -> Option<F::Output>
where
    F: Future<Output: Send + 'static> + Send + 'static,
{
    let mut tasks = JoinSet::new();
    tasks.spawn(task);
    match tasks.join_next().await? {
        Ok(output) => Some(output),
        Err(error) => {
            EventCode::TaskPanicked.log(format_args!("task=\"{name}\" cause=\"{error}\""));
            None
        }
    }
}
