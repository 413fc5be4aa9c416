//! What the owner reads from the platform: the stored state at a takeover, then changes of the worker
//! registry and new jobs and cancellations.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::keys;
use crate::port::{
    Platform, PortError, RegisteredWorker, StoreChanges, StoreItem, WorkerChange, WorkerChanges,
};
use crate::recover::{self, PAGE_TIMEOUT, ReadPace};

/// Interval at which the store is polled for jobs and cancellations that no process has offered.
const INTAKE_POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval at which the worker registry is polled for changes.
const REGISTRY_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a read from the registry or the intake.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause between attempts to read the state.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// A change that the owner has to apply.
#[derive(Debug)]
pub(crate) enum FeedEvent {
    /// Changes of the registry, in order.
    Workers(Vec<WorkerChange>),
    /// The complete registry, after its change history was compacted.
    AllWorkers(Vec<RegisteredWorker>),
    /// Jobs and cancellations that processes have written for their clients.
    Intake(Vec<StoreItem>),
}

/// The state that a new owner reads from the platform.
#[derive(Debug)]
pub(crate) struct StoredState {
    pub workers: Vec<RegisteredWorker>,
    pub registry_revision: u64,
    pub cell: recover::StoredCell,
}

/// Maximum number of attempts of a new owner to read the state.
const MAX_READ_ATTEMPTS: u32 = 8;

/// Reads the registered workers and the state of the cell.
///
/// # Errors
///
/// Returns the last error if all attempts fail.
pub(crate) async fn read_state<P: Platform>(
    platform: &P,
    mut pace: ReadPace,
) -> Result<StoredState, PortError> {
    let mut attempts_left = MAX_READ_ATTEMPTS;
    loop {
        let error = match read_state_once(platform, pace).await {
            Ok(state) => return Ok(state),
            Err(error) => error,
        };
        attempts_left -= 1;
        pace = pace.next();
        if attempts_left == 0 {
            return Err(error);
        }
        log::debug!("failed to read the state of the cell: {error}");
        sleep(READ_RETRY_PAUSE).await;
    }
}

async fn read_state_once<P: Platform>(
    platform: &P,
    pace: ReadPace,
) -> Result<StoredState, PortError> {
    let (workers, cell) = tokio::join!(
        platform.workers(READ_TIMEOUT),
        recover::read_cell(platform, pace)
    );
    let (workers, registry_revision) = workers?;
    Ok(StoredState {
        workers,
        registry_revision,
        cell: cell?,
    })
}

/// Polls the registry and the intake for changes after these revisions, and sends them to the owner task.
pub(crate) async fn follow<P: Platform>(
    platform: P,
    registry_revision: u64,
    intake_revision: u64,
    events: mpsc::Sender<FeedEvent>,
) {
    tokio::join!(
        follow_registry(platform.clone(), registry_revision, events.clone()),
        follow_intake(platform, intake_revision, events),
    );
}

/// Sends changes of the registry to the owner task.
async fn follow_registry<P: Platform>(
    platform: P,
    mut revision: u64,
    events: mpsc::Sender<FeedEvent>,
) {
    loop {
        sleep(REGISTRY_POLL_INTERVAL).await;
        let event = match platform
            .worker_changes(revision, Duration::ZERO, READ_TIMEOUT)
            .await
        {
            Ok(WorkerChanges::Events(changes, next)) => {
                revision = next.max(revision);
                FeedEvent::Workers(changes)
            }
            Ok(WorkerChanges::Compacted) => match platform.workers(READ_TIMEOUT).await {
                Ok((workers, next)) => {
                    revision = next;
                    FeedEvent::AllWorkers(workers)
                }
                Err(error) => {
                    log::debug!("{error}");
                    continue;
                }
            },
            Err(error) => {
                log::debug!("{error}");
                continue;
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Sends jobs and cancellations from the store to the owner task, including those that no process
/// offered.
async fn follow_intake<P: Platform>(
    platform: P,
    mut revision: u64,
    events: mpsc::Sender<FeedEvent>,
) {
    loop {
        sleep(INTAKE_POLL_INTERVAL).await;
        let watched = platform
            .watch(keys::INTAKE, revision, Duration::ZERO, READ_TIMEOUT)
            .await;
        let items = match watched {
            Ok(StoreChanges::Events(items, next)) => {
                revision = next.max(revision);
                items
            }
            Ok(StoreChanges::Compacted) => {
                match recover::read_all(&platform, keys::INTAKE, PAGE_TIMEOUT).await {
                    Ok((items, next)) => {
                        revision = next;
                        items
                    }
                    Err(error) => {
                        log::debug!("{error}");
                        continue;
                    }
                }
            }
            Err(error) => {
                log::debug!("{error}");
                continue;
            }
        };
        if !items.is_empty() && events.send(FeedEvent::Intake(items)).await.is_err() {
            return;
        }
    }
}
