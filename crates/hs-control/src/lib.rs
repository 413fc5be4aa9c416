//! Tasks that run a cell on a platform.
//!
//! Each process takes jobs and writes them to the store. One process owns the cell: it holds the claim
//! in the store, runs the state machine of `hs-cell`, records its changes, and talks to the workers.
//! The others tell it of new jobs, ask it for states, and take over when it fails.
//!
//! The platform is reached only through the traits of [`port`].

#[rustfmt::skip]
#[expect(missing_docs, clippy::allow_attributes, reason = "generated code")]
#[path = "generated/hornbeamshunt.control.v1.rs"]
pub mod message;

mod advisers;
mod chain;
mod commits;
mod config;
mod control;
mod election;
mod end_waiters;
mod feeds;
mod intake;
mod keys;
mod lag;
mod link;
mod members;
mod metrics;
mod notify;
mod owner;
mod peers;
pub mod port;
mod recover;
mod run;
mod server;
mod shared;
mod store_health;
mod takeover;

pub use config::{ClusterConfig, QueueRoute};
pub use control::{CancelReply, Control, JobStateReply, SubmitReply};
pub use metrics::ControlMetrics;
pub use run::{ControlOptions, RunError, run};
