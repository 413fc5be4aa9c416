//! Tests of invalid input: at the listeners for callers and operators, and in manifests.

mod control;
mod manifest;
mod raw;
mod submission;
mod test_cluster;
