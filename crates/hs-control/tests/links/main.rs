//! Tests of the links of an owner to its workers, on a platform in memory.

mod cancellations;
#[path = "../../../../platform/tests/odd_entries/captured_log.rs"]
mod captured_log;
mod confirmation;
mod large_records;
mod many_orders;
mod orders;
mod outdated_config;
mod platform;
mod process;
mod renewals;
mod replaced_workers;
mod slow_links;
mod state_requests;
mod store;
mod takeover;
mod worker_calls;
