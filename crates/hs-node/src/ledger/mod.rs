//! Durable work: the tasks around the ledger partitions.

mod fate;
mod handle;
mod message;
mod partition_task;
mod runner;
mod runner_port;

pub use handle::LedgerHandle;
pub use message::{LedgerAnswer, LedgerCall, PartitionMessage, PartitionStatus};
pub use partition_task::PartitionTask;

/// Number of ledger partitions of an installation. All processes have to agree on it, since it
/// decides which partition a key belongs to.
pub const PARTITIONS: u32 = 4;
