//! Loads the state of the cell for a new owner, between acquiring the claim and the first decision.
//!
//! Loading can take seconds if the store is slow. The claim writer keeps confirming the claim meanwhile;
//! otherwise another process would take the cell over again.

use tokio::sync::mpsc;

use crate::claim_writer::WriterEvent;
use crate::feeds::{self, StoredState};
use crate::owner::OwnerEnd;
use crate::port::Platform;
use crate::shared::OwnerRequest;

/// Everything that a new owner needs before its first decision.
#[derive(Debug)]
pub(crate) struct TakeoverState {
    pub state: StoredState,
    /// Offers of jobs and cancellations that arrived while the state was being read.
    pub buffered: Vec<OwnerRequest>,
}

/// Reads the state of the cell.
///
/// # Errors
///
/// Returns why the ownership ended if the claim is lost, the process shuts down, or the state can't be
/// read.
pub(crate) async fn load_state<P: Platform>(
    platform: &P,
    writer_events: &mut mpsc::Receiver<WriterEvent>,
    requests: &mut mpsc::Receiver<OwnerRequest>,
) -> Result<TakeoverState, OwnerEnd> {
    let mut buffered = Vec::new();
    let reading = feeds::read_state(platform);
    tokio::pin!(reading);
    loop {
        tokio::select! {
            biased;
            read = &mut reading => return match read {
                Ok(state) => Ok(TakeoverState { state, buffered }),
                Err(error) => Err(OwnerEnd::Unreadable(error.to_string())),
            },
            event = writer_events.recv() => match event {
                Some(WriterEvent::Lost(error)) => return Err(OwnerEnd::Lost(error.to_string())),
                Some(WriterEvent::Written(_)) => {}
                None => return Err(OwnerEnd::Lost("the claim writer has ended".to_owned())),
            },
            Some(request) = requests.recv() => match request {
                OwnerRequest::Offer { .. } => buffered.push(request),
                OwnerRequest::Release(_) => return Err(OwnerEnd::Released),
                // The state is not loaded yet. A dropped reply makes callers read job states from the
                // store.
                OwnerRequest::State(..) | OwnerRequest::AwaitEnd(..) | OwnerRequest::Pending(..) => {}
            },
        }
    }
}
