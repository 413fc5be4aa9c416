//! Durable partition records: a synchronous state machine without I/O.
//!
//! A [`LedgerPartition`] is the owner's view of one store value. Changes get a [`Stamp`]; a change is
//! durable once its stamp is at most [`LedgerPartition::committed`]. The caller writes the value that
//! [`LedgerPartition::begin_flush`] returns and reports what became of the write.

mod admit;
mod error;
mod flush;
mod flush_outcome;
mod hash;
mod head;
mod image;
mod long_results;
mod mark;
mod options;
mod owner;
mod partition;
mod read_back;
mod record;
mod size;
mod stamp;
mod task;
mod view;
mod writing;

pub use admit::{Admission, AdmitSpec};
pub use error::{ChangeError, ImageError};
pub use flush::LedgerFlush;
pub use flush_outcome::FlushOutcome;
pub use hash::partition_of;
pub use head::PartitionHead;
pub use image::PartitionImage;
pub use options::LedgerOptions;
pub use owner::{LedgerOwner, OwnerAddress};
pub use partition::{LedgerPartition, RecordKey};
pub use read_back::ReadBackOutcome;
pub use record::{LedgerRecord, OpenSubmission};
pub use stamp::Stamp;
pub use task::{LedgerTask, RetryCause, TaskKey, TaskState};
pub use view::OpenTask;
