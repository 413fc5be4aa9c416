//! The entry process of the scheduler: the tasks that own its sockets and its state.
//!
//! [`run()`] starts one process. Its tasks communicate by messages, through the handles in
//! [`shared::NodeShared`]. They access the platform through the traits in [`port`].

pub mod api;
pub mod ledger;
pub mod link;
pub mod manifest;
pub mod member;
pub mod metrics;
pub mod peer;
pub mod placer;
pub mod port;
mod repeat_filter;
pub mod run;
pub mod service;
pub mod shared;
mod spawn;
pub mod supervise;
pub mod sync;
pub mod work;

pub use port::{
    ClockPort, HttpPlatform, HttpStore, Platform, PortError, StorePort, StoreValue, StoreWrite,
    SystemClock, VmPort, WorkerPort,
};
pub use run::{NodeListeners, RunError, run, run_with};
