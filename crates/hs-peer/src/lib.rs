//! Messages between entry processes and the membership state machine.
//!
//! The message code under `generated` comes from `proto/peer.proto` by `cargo run -p hs-gen`, and is
//! committed so that the build needs no generator.

#[rustfmt::skip]
#[expect(missing_docs, clippy::allow_attributes, reason = "generated code")]
#[path = "generated/hornbeamshunt.peer.v1.rs"]
pub mod message;

pub mod convert;
