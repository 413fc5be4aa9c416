//! Tests of the state machines of this crate.

mod common;
mod links;
mod manifest;
mod membership;
mod rendezvous;
