//! Membership: the set of live entry processes.

mod handle;
mod snapshot;
mod task;

pub use handle::{MemberHandle, MemberMessage};
pub use snapshot::MemberSnapshot;
pub use task::MemberTask;
