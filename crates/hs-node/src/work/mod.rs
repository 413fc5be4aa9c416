//! The way of a submission through the process.

mod check;
mod durable;
mod reserve;
mod submit;

pub(crate) use reserve::deadline_of;

pub use durable::{DurableCall, call_partition_owner};
pub use reserve::{HeldGrants, ReserveSpec, reserve};
pub use submit::submit;
