//! Tests of the cell against a simulated environment with an oracle, and of its scheduling policies.

mod advice_queue;
mod advice_window;
mod advised_load;
mod advised_workers;
mod backlog;
mod backlog_drain;
mod batch_order;
mod crashes;
mod early_cancellations;
mod fixture;
mod fuzz;
mod job_counts;
mod late_crashes;
mod odd_reports;
mod owner_processor;
mod pass_turns;
mod patterns;
mod readiness;
mod record_log;
mod records;
mod regressions;
mod shrinking;
mod unavailable_capacity;
mod unlisted_workers;
mod world;
