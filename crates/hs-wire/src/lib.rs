//! Wire types of the interfaces between callers, entry processes, workers, the store and the VM
//! list.
//!
//! All types are serialised as JSON bodies. The crate does no I/O, so an additional adapter for a
//! worker, a store or a VM list only needs these types and one of the traits in `hs-node`.

mod lease_decode;
pub mod lenient;
pub mod outcome;
pub mod resources;
pub mod submission;
mod vm_decode;
pub mod vms;
pub mod work;
pub mod worker;

pub use outcome::{NotRunReason, Outcome, WorkReply};
pub use resources::Resources;
pub use submission::Submission;
pub use vms::{UnusableVm, VmEntry, VmList, VmRole, VmState};
pub use work::{WorkClass, WorkId};
pub use worker::{
    ErrorBody, LeaseGrant, LeaseRequest, StartReply, StartRequest, StopMode, StopRequest,
    TaskPhase, TaskView, UnreadableTask, WorkerUsage,
};
