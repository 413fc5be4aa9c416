//! What the owner reads from the store: its state at a takeover, then the registry and the intake.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::keys;
use crate::port::{
    Platform, PortError, RegisteredWorker, StoreChanges, StoreItem, WorkerChange, WorkerChanges,
};
use crate::recover;

/// How often the store is asked for jobs that nobody announced.
const INTAKE_EVERY: Duration = Duration::from_millis(1000);

/// How often the registry is asked for changes.
const REGISTRY_EVERY: Duration = Duration::from_millis(300);

/// Time that a call to the registry or for the intake may take.
const READ_LIMIT: Duration = Duration::from_millis(700);

/// Pause between two tries to read the state.
const READ_PAUSE: Duration = Duration::from_millis(40);

/// News from the store.
#[derive(Debug)]
pub(crate) enum FeedEvent {
    /// Changes of the registry.
    Workers(Vec<WorkerChange>),
    /// The whole registry, after its history was lost.
    AllWorkers(Vec<RegisteredWorker>),
    /// Items that other processes have written.
    Intake(Vec<StoreItem>),
}

/// What a new owner reads.
#[derive(Debug)]
pub(crate) struct StoredState {
    pub workers: Vec<RegisteredWorker>,
    pub registry_revision: u64,
    pub cell: recover::StoredCell,
}

/// Tries to read the state before the cell is given up.
const READ_TRIES: u32 = 8;

/// Reads the workers and the state of the cell.
///
/// # Errors
///
/// Returns the last error if the store does not answer in several tries.
pub(crate) async fn read_state<P: Platform>(platform: &P) -> Result<StoredState, PortError> {
    let mut left = READ_TRIES;
    loop {
        let error = match read_state_once(platform).await {
            Ok(state) => return Ok(state),
            Err(error) => error,
        };
        left -= 1;
        if left == 0 {
            return Err(error);
        }
        log::debug!("state not read: {error}");
        sleep(READ_PAUSE).await;
    }
}

async fn read_state_once<P: Platform>(platform: &P) -> Result<StoredState, PortError> {
    let (workers, cell) = tokio::join!(platform.workers(READ_LIMIT), recover::read_cell(platform));
    let (workers, registry_revision) = workers?;
    Ok(StoredState {
        workers,
        registry_revision,
        cell: cell?,
    })
}

/// Follows the registry and the intake from these revisions on.
pub(crate) async fn follow<P: Platform, Event: From<FeedEvent>>(
    platform: P,
    registry_revision: u64,
    intake_revision: u64,
    events: mpsc::Sender<Event>,
) {
    tokio::join!(
        follow_registry(platform.clone(), registry_revision, events.clone()),
        follow_intake(platform, intake_revision, events),
    );
}

/// Passes changes of the registry to the owner task.
async fn follow_registry<P: Platform, Event: From<FeedEvent>>(
    platform: P,
    mut revision: u64,
    events: mpsc::Sender<Event>,
) {
    loop {
        sleep(REGISTRY_EVERY).await;
        let event = match platform
            .worker_changes(revision, Duration::ZERO, READ_LIMIT)
            .await
        {
            Ok(WorkerChanges::Events(changes, next)) => {
                revision = next.max(revision);
                FeedEvent::Workers(changes)
            }
            Ok(WorkerChanges::Compacted) => match platform.workers(READ_LIMIT).await {
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
        if events.send(event.into()).await.is_err() {
            return;
        }
    }
}

/// Passes jobs and cancellations that nobody announced to the owner task.
async fn follow_intake<P: Platform, Event: From<FeedEvent>>(
    platform: P,
    mut revision: u64,
    events: mpsc::Sender<Event>,
) {
    loop {
        sleep(INTAKE_EVERY).await;
        let watched = platform
            .watch(keys::INTAKE, revision, Duration::ZERO, READ_LIMIT)
            .await;
        let items = match watched {
            Ok(StoreChanges::Events(items, next)) => {
                revision = next.max(revision);
                items
            }
            Ok(StoreChanges::Compacted) => match recover::read_all(&platform, keys::INTAKE).await {
                Ok((items, next)) => {
                    revision = next;
                    items
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
        if !items.is_empty() && events.send(FeedEvent::Intake(items).into()).await.is_err() {
            return;
        }
    }
}
