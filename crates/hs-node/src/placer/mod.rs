//! The task that owns the placement core.

mod grant;
mod handle;
mod message;
mod reservation;
mod status;
mod task;

pub use grant::{PlaceRefusal, TaskGrant};
pub use handle::PlacerHandle;
pub use message::{PlaceMode, PlaceRequest, PlacerMessage, WorkerReport};
pub use reservation::TaskReservation;
pub use status::{PlacerStatus, WorkerStatus};
pub use task::PlacerTask;
