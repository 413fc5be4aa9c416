//! Tests of the cell against a simulated environment with an oracle, and of its scheduling policies.

mod advice_queue;
mod advised_load;
mod backlog;
mod crashes;
mod fixture;
mod fuzz;
mod odd_reports;
mod patterns;
mod readiness;
mod record_log;
mod records;
mod regressions;
mod shrinking;
mod unavailable_capacity;
mod world;
