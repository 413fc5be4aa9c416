//! HTTP APIs for callers and operators.

mod caller;
mod control;
mod status;

pub use caller::CallerApi;
pub use control::ControlApi;
pub use status::NodeStatus;
