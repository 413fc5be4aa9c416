//! The placer task: owns the placement core ([`hs_core::Placer`]) and the reservations on leased
//! workers.

mod grant;
mod handle;
mod held;
mod message;
mod reconcile;
mod reservation;
mod status;
mod task;
mod workers;

pub use grant::{PlaceRefusal, TaskGrant};
pub use handle::PlacerHandle;
pub use message::{PlaceMode, PlaceRequest, PlacerMessage, WorkerReport};
pub use reservation::TaskReservation;
pub(crate) use reservation::task_end;
pub use status::{PlacerStatus, WorkerStatus};
pub use task::PlacerTask;
