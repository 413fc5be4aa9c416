//! The tasks of a process that serves a cell: owner election, persistence, and calls to workers and
//! peers.
//!
//! Every process accepts jobs and writes them to the store. One process owns the cell: it holds the claim
//! in the store, runs the state machine of `hs-cell`, persists its changes, and sends orders to the
//! workers. The other processes notify the owner of new jobs, query it for job states, and take over when
//! it fails.
//!
//! All access to the platform goes through the traits in [`port`].

#[rustfmt::skip]
#[expect(missing_docs, clippy::allow_attributes, reason = "generated code")]
#[path = "generated/hornbeamshunt.control.v1.rs"]
pub mod message;

mod access;
mod admission;
mod advice_dispatcher;
mod cell_facts;
mod chunk_portions;
mod claim;
mod claim_writer;
mod commits;
mod config;
mod config_reader;
mod config_state;
mod confirmation;
mod congestion;
mod contact_permits;
mod control;
mod election;
mod end_waiters;
mod feeds;
mod flush_stream;
mod follow_end;
mod handover;
mod intake;
mod job_phase;
mod job_query;
mod keys;
mod lag;
mod large_record;
mod line_limit;
mod link;
pub mod link_speed;
mod load;
mod members;
mod metrics;
mod notify;
mod open_calls;
mod owner;
mod owner_status;
mod peer_connections;
mod peer_connector;
mod peer_listener;
mod peers;
pub mod port;
mod port_error;
pub mod rank;
mod recover;
mod run;
mod run_lines;
mod server;
mod shared;
mod speed;
mod store_health;
mod supervise;
mod takeover;
pub mod tcp_network;
mod traffic;
pub mod unknown_cancellations;
mod work_portions;

pub use access::{Access, AccessRules, CurrentRules};
pub use config::{ClusterConfig, QueueRoute, RequestLimits, TeamConfig};
pub use config_state::AccessOptions;
pub use control::{CancelReply, Control, JobStateReply, SubmitReply};
pub use metrics::ControlMetrics;
pub use peer_listener::PeerLimits;
pub use rank::VmLimits;
pub use run::{ControlOptions, RunError, run};
pub use supervise::restart_on_panic;
