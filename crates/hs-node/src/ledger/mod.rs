//! Durable work: the tasks that own ledger partitions and run the work recorded in them.

mod calls;
mod candidate;
mod follow;
mod handle;
mod message;
mod owned;
mod partition_task;
mod placed;
mod resolve;
mod runner;
mod runner_port;
mod runs;
mod starts;

pub use handle::LedgerHandle;
pub use message::{LedgerAnswer, LedgerCall, PartitionMessage, PartitionStatus};
pub use partition_task::PartitionTask;

/// Number of ledger partitions of an installation. It must be the same in all processes, since it
/// determines which partition a key belongs to.
pub const PARTITION_COUNT: u32 = 4;
