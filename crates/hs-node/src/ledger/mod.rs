//! Durable work: the tasks around the ledger partitions.

mod calls;
mod candidate;
mod fate;
mod follow;
mod handle;
mod message;
mod owned;
mod partition_task;
mod placed;
mod runner;
mod runner_port;
mod runs;
mod starts;

pub use handle::LedgerHandle;
pub use message::{LedgerAnswer, LedgerCall, PartitionMessage, PartitionStatus};
pub use partition_task::PartitionTask;

/// Number of ledger partitions of an installation. All processes have to agree on it, since it
/// decides which partition a key belongs to.
pub const PARTITION_COUNT: u32 = 4;
