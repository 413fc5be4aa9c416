//! Messages between entry processes and the membership state machine.
//!
//! The message code under `generated` comes from `proto/peer.proto` by `cargo run -p hs-gen`, and is
//! committed so that the build needs no generator.

#[rustfmt::skip]
#[expect(missing_docs, clippy::allow_attributes, reason = "generated code")]
#[path = "generated/hornbeamshunt.peer.v1.rs"]
pub mod message;

pub mod convert;
pub mod rendezvous;

mod loss_reason;
mod member;
mod member_event;
mod member_options;
mod member_view;
mod membership;

pub use loss_reason::LossReason;
pub use member_event::MemberEvent;
pub use member_options::MemberOptions;
pub use member_view::MemberView;
pub use membership::{MemberKey, Membership};
