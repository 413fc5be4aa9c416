//! Entry process: the tasks that own sockets and state.
//!
//! [`run()`] starts one process. Its tasks talk by messages; [`shared::NodeShared`] holds the handles
//! to them. Everything outside the process is behind the traits of [`port`].

pub mod api;
pub mod ledger;
pub mod link;
pub mod manifest;
pub mod member;
pub mod metrics;
pub mod peer;
pub mod placer;
pub mod port;
pub mod run;
pub mod service;
pub mod shared;
pub mod sync;
pub mod work;

pub use port::{
    ClockPort, HttpPlatform, HttpStore, Platform, PortError, StorePort, StoreValue, StoreWrite,
    SystemClock, VmPort, WorkerPort,
};
pub use run::{NodeListeners, RunError, run, run_with};
