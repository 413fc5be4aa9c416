//! Messages between entry processes, the membership state machine, and the state machines that
//! guard the manifest and the links to store and peers.
//!
//! - [`Membership`] tracks which entry processes are live, and names the preferred owner of a worker
//!   and the candidates for a ledger partition.
//! - [`ManifestState`] holds the manifest in force, which never reverts.
//! - [`RetryBudget`] limits the load that retries add to a link.
//! - [`CircuitBreaker`] stops calls on a link whose other end fails.
//!
//! None of them does I/O or reads a clock: the caller passes the time in, so that tests can run
//! hours of failures within milliseconds.
//!
//! The message code under `generated` comes from `proto/peer.proto` by `cargo run -p hs-gen`, and is
//! committed so that the build needs no generator.

#[rustfmt::skip]
#[expect(missing_docs, clippy::allow_attributes, reason = "generated code")]
#[path = "generated/hornbeamshunt.peer.v1.rs"]
pub mod message;

pub mod convert;
pub mod rendezvous;

mod circuit_breaker;
mod loss_reason;
mod manifest_state;
mod member;
mod member_event;
mod member_options;
mod member_view;
mod membership;
mod retry_budget;

pub use circuit_breaker::{BreakerOptions, BreakerPermit, BreakerState, CircuitBreaker};
pub use loss_reason::LossReason;
pub use manifest_state::{ManifestState, OfferOutcome};
pub use member_event::MemberEvent;
pub use member_options::MemberOptions;
pub use member_view::MemberView;
pub use membership::{MemberKey, Membership};
pub use retry_budget::{MIN_RETRIES_PER_WINDOW, REQUESTS_PER_RETRY, RETRY_WINDOW, RetryBudget};
