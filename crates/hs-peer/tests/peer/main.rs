//! Tests of the state machines: membership, manifest, retry budget and circuit breaker.

mod common;
mod links;
mod manifest;
mod membership;
mod rendezvous;
