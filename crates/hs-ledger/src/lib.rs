//! Durable records of submissions: a synchronous state machine without I/O.
//!
//! The records are spread over partitions, and each partition is one value in the store. A
//! [`LedgerPartition`] is the state that the owner of a partition holds in memory. Every change
//! gets a [`Stamp`]; it is durable once [`LedgerPartition::committed`] has reached that stamp. The
//! caller writes the value that [`LedgerPartition::begin_flush`] returns to the store and reports
//! the outcome with [`LedgerPartition::end_flush`].

mod admit;
mod error;
mod flush;
mod flush_outcome;
mod hash;
mod head;
mod image;
mod image_decode;
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
mod unreadable;
mod view;
mod write_state;

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
pub use unreadable::UnreadableRecord;
pub use view::OpenTask;
