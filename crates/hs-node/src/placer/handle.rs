//! Handle to the placer task.

use hs_core::TaskEnd;
use hs_peer::message::HeldTask;
use hs_wire::{NotRunReason, WorkId};
use tokio::sync::{mpsc, oneshot};

use super::message::TaskQuery;
use super::{PlaceRefusal, PlaceRequest, PlacerMessage, PlacerStatus, TaskGrant};

/// Sends messages to the placer task.
///
/// The channel is unbounded because releases must never block. The number of queued requests is
/// bounded by the connection limit of the listeners and the queue limits of the customers.
#[derive(Clone, Debug)]
pub struct PlacerHandle {
    sender: mpsc::UnboundedSender<PlacerMessage>,
}

impl PlacerHandle {
    /// Creates a handle and the receiver for the placer task.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<PlacerMessage>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Reserves capacity for the tasks of a request, as its [`PlaceMode`](super::PlaceMode) says.
    ///
    /// If the future is dropped, capacity that was reserved in the meantime is released.
    ///
    /// # Errors
    ///
    /// Returns the reason if no capacity is reserved.
    pub async fn place(&self, request: PlaceRequest) -> Result<Vec<TaskGrant>, PlaceRefusal> {
        let (reply, result) = oneshot::channel();
        self.send(PlacerMessage::Place { request, reply });
        let stopped = Err(PlaceRefusal::Refused(NotRunReason::ShuttingDown));
        result.await.unwrap_or(stopped)
    }

    /// Releases the capacity that one task holds.
    pub fn release(&self, task: WorkId, end: TaskEnd) {
        self.send(PlacerMessage::Release {
            ends: vec![(task, end)],
        });
    }

    /// Returns whether the retry budget allows another start, and charges it to the budget if so.
    pub async fn try_retry(&self) -> bool {
        let (reply, result) = oneshot::channel();
        self.send(PlacerMessage::TryRetry { reply });
        result.await.unwrap_or(false)
    }

    /// Returns the reservations of a worker whose tasks are due to be queried, or `None` if the
    /// placer does not know the worker, as after it was started again.
    pub async fn due_query(&self, name: &str) -> Option<TaskQuery> {
        let (reply, result) = oneshot::channel();
        let name = name.to_owned();
        self.send(PlacerMessage::DueQuery { name, reply });
        result.await.ok().flatten()
    }

    /// Returns the tasks that hold capacity and whose id starts with `prefix`.
    pub async fn held_tasks(&self, prefix: &str) -> Vec<HeldTask> {
        let (reply, result) = oneshot::channel();
        let prefix = prefix.to_owned();
        self.send(PlacerMessage::HeldTasks { prefix, reply });
        result.await.unwrap_or_default()
    }

    /// Returns the status of the placer; the default value if the placer task has ended.
    pub async fn status(&self) -> PlacerStatus {
        let (reply, result) = oneshot::channel();
        self.send(PlacerMessage::Status { reply });
        result.await.unwrap_or_default()
    }

    /// Sends a message. It is dropped if the placer task has ended.
    pub fn send(&self, message: PlacerMessage) {
        let _ = self.sender.send(message);
    }
}
