//! Tests of the links of an owner to its workers, on a platform in memory.

mod cancellations;
mod confirmation;
mod orders;
mod platform;
mod process;
mod renewals;
mod state_requests;
mod store;
mod takeover;
