//! Handle to the placer task.

use hs_core::TaskEnd;
use hs_peer::message::HeldTask;
use hs_wire::{NotRunReason, WorkId};
use tokio::sync::{mpsc, oneshot};

use super::message::TaskQuery;
use super::{PlaceRefusal, PlaceRequest, PlacerMessage, PlacerStatus, TaskGrant};

/// Sends messages to the placer task.
///
/// The channel is unbounded: releases must never wait, and what callers can queue is bounded by the
/// connection limit of the listeners and the queue limits of the customers.
#[derive(Clone, Debug)]
pub struct PlacerHandle {
    sender: mpsc::UnboundedSender<PlacerMessage>,
}

impl PlacerHandle {
    /// Builds a handle and the receiver for the task.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<PlacerMessage>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Reserves room for work.
    ///
    /// Dropping the future frees room that was reserved in the meantime.
    ///
    /// # Errors
    ///
    /// Returns why nothing is reserved.
    pub async fn place(&self, request: PlaceRequest) -> Result<Vec<TaskGrant>, PlaceRefusal> {
        let (reply, result) = oneshot::channel();
        self.send(PlacerMessage::Place { request, reply });
        let stopped = Err(PlaceRefusal::Refused(NotRunReason::ShuttingDown));
        result.await.unwrap_or(stopped)
    }

    /// Frees the room of one task.
    pub fn release(&self, task: WorkId, end: TaskEnd) {
        self.send(PlacerMessage::Release {
            ends: vec![(task, end)],
        });
    }

    /// Asks whether the retry budget allows another start, and counts it if so.
    pub async fn try_retry(&self) -> bool {
        let (reply, result) = oneshot::channel();
        self.send(PlacerMessage::TryRetry { reply });
        result.await.unwrap_or(false)
    }

    /// Asks which reservations of a worker are due for a query.
    pub async fn due_query(&self, name: &str) -> TaskQuery {
        let (reply, result) = oneshot::channel();
        let name = name.to_owned();
        self.send(PlacerMessage::DueQuery { name, reply });
        result.await.unwrap_or_default()
    }

    /// Asks for the tasks that hold room and whose id begins with a prefix.
    pub async fn held_tasks(&self, prefix: &str) -> Vec<HeldTask> {
        let (reply, result) = oneshot::channel();
        let prefix = prefix.to_owned();
        self.send(PlacerMessage::HeldTasks { prefix, reply });
        result.await.unwrap_or_default()
    }

    /// Asks for a summary.
    pub async fn status(&self) -> PlacerStatus {
        let (reply, result) = oneshot::channel();
        self.send(PlacerMessage::Status { reply });
        result.await.unwrap_or_default()
    }

    /// Sends a message. A task that has ended drops it.
    pub fn send(&self, message: PlacerMessage) {
        let _ = self.sender.send(message);
    }
}
