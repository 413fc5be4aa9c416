//! Notifies the owner of stored jobs and cancellations, with retries until an owner acknowledges them.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::{JobId, JobSpec};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::message::{JobRow, OfferRequest};
use crate::shared::{NodeContext, OwnerRequest, Ownership};

/// Maximum number of notices that may wait. The owner finds the jobs of further ones by its watch of the
/// store.
const QUEUE_CAPACITY: usize = 1024;

/// Maximum number of notices in one call.
const MAX_BATCH_NOTICES: usize = 32;

/// Bytes of the jobs in one call from which no further ones are added. Jobs have up to 256 KiB, and 32 of that size
/// would exceed the 4 MiB that a message may have.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Maximum number of attempts to deliver a batch, after which it is left to the owner's watch of the store.
const MAX_ATTEMPTS: u32 = 40;

/// A new item in the store that the owner should learn of.
#[derive(Clone, Debug)]
pub(crate) enum Notice {
    /// An accepted job, with its specification decoded and as stored.
    Job(JobId, Arc<JobSpec>, Vec<u8>),
    /// The cancellation of a job.
    Cancel(JobId),
}

impl Notice {
    fn job_bytes(&self) -> usize {
        match self {
            Self::Job(_, _, spec) => spec.len(),
            Self::Cancel(_) => 0,
        }
    }
}

/// Handle of the task that notifies the owner.
#[derive(Clone, Debug)]
pub(crate) struct NotifyHandle {
    sender: mpsc::Sender<Notice>,
}

impl NotifyHandle {
    /// Spawns the task.
    pub(crate) fn spawn(context: NodeContext) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(context, receiver));
        Self { sender }
    }

    /// Queues a notice without waiting for its delivery.
    pub(crate) fn send(&self, notice: Notice) {
        if self.sender.try_send(notice).is_err() {
            log::debug!(
                "notice not queued; the owner will find the item by its watch of the store"
            );
        }
    }
}

async fn run(context: NodeContext, mut receiver: mpsc::Receiver<Notice>) {
    while let Some(notice) = receiver.recv().await {
        let mut batch_bytes = notice.job_bytes();
        let mut batch = vec![notice];
        while batch.len() < MAX_BATCH_NOTICES
            && batch_bytes < MAX_BATCH_BYTES
            && let Ok(notice) = receiver.try_recv()
        {
            batch_bytes += notice.job_bytes();
            batch.push(notice);
        }
        for _ in 0..MAX_ATTEMPTS {
            if offer(&context, &batch).await {
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}

async fn offer(context: &NodeContext, batch: &[Notice]) -> bool {
    let ownership = context.ownership.borrow().clone();
    match ownership {
        Ownership::Unknown => false,
        Ownership::Here(owner) => {
            let mut jobs = Vec::new();
            let mut cancelled = Vec::new();
            for notice in batch {
                match notice {
                    Notice::Job(id, spec, _) => jobs.push((*id, spec.clone())),
                    Notice::Cancel(id) => cancelled.push(*id),
                }
            }
            let answer = owner.ask(|reply| OwnerRequest::Offer {
                jobs,
                cancelled,
                reply,
            });
            answer.await.is_some()
        }
        Ownership::Peer(address) => {
            let mut request = OfferRequest::default();
            for notice in batch {
                match notice {
                    Notice::Job(id, _, spec) => request.jobs.push(JobRow {
                        id: id.0,
                        spec: spec.clone(),
                    }),
                    Notice::Cancel(id) => request.cancelled.push(id.0),
                }
            }
            let call =
                context
                    .peers
                    .call("offer", &address, CALL_TIMEOUT, |mut client| async move {
                        client.offer(request).await
                    });
            match call.await {
                Ok(_) => true,
                Err(error) => {
                    log::debug!("{error}");
                    false
                }
            }
        }
    }
}
