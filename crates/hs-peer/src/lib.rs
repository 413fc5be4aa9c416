//! Messages between entry processes, and the state machines for their membership, for the manifest
//! and for calls to the store and to peers.
//!
//! - [`Membership`] tracks which entry processes are live, and determines the preferred owner of a
//!   worker and the candidate owners of a ledger partition.
//! - [`ManifestState`] holds the current manifest, which never reverts to a lower revision.
//! - [`RetryBudget`] limits the load that retries add.
//! - [`CircuitBreaker`] stops calls to a store or a peer that fails.
//!
//! None of them does I/O or reads a clock: the caller passes the current time, so that tests can
//! simulate hours of failures within milliseconds.
//!
//! `cargo run -p hs-gen` generates the message code in `generated` from `proto/peer.proto`. The
//! code is committed so that the build needs no generator.

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
pub use retry_budget::{BASE_RETRIES_PER_WINDOW, REQUESTS_PER_RETRY, RETRY_WINDOW, RetryBudget};
