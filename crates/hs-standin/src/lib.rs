//! Stand-ins for store, VM list and worker, with fault switches.
//!
//! Each stand-in serves one listener until `stop` becomes true and then drops its connections at
//! once, as a process that dies does. `POST /fault` replaces all fault switches of a stand-in;
//! switches that are absent from the body are off, so `{}` heals it. The paths that tests observe
//! (`/fault`, `/calls`, `/log`, `/peak`) are exempt from faults.

mod fault;
mod front;
mod store;
mod vms;
mod worker;

pub use fault::{DownMode, ReplyLoss, StoreFault, VmsFault, WorkerFault};
pub use store::{StoreCalls, StoreOptions, run_store};
pub use vms::{VmsOptions, VmsUpdate, run_vms};
pub use worker::{WorkerLog, WorkerOptions, WorkerPeak, WorkerStart, run_worker};
