//! Stand-ins for the store, the VM list and workers, with fault injection.
//!
//! Each stand-in serves one listener until `stop` becomes true and then closes its connections at
//! once, as a crashed process does. `POST /fault` replaces all fault switches of a stand-in.
//! Switches that are absent from the body are off, so `{}` ends all faults. The paths through which
//! tests control and observe a stand-in (`/fault`, `/calls`, `/log`, `/peak`) are exempt from
//! faults.

mod fault;
mod server;
mod store;
mod vms;
mod worker;

pub use fault::{DownMode, ReplyLoss, StoreFault, VmsFault, WorkerFault};
pub use store::{StoreCalls, StoreOptions, run_store};
pub use vms::{VmsOptions, VmsUpdate, run_vms};
pub use worker::{WorkerLog, WorkerOptions, WorkerPeak, WorkerStart, run_worker};
