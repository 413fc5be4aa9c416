//! The cell against a simple oracle, and the load patterns that its policies answer.

mod fixture;
mod fuzz;
mod patterns;
mod record_log;
mod records;
mod regressions;
mod world;
