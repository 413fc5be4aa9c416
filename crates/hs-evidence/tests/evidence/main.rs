//! Tests of the estimates and of the preference, with simulated runs.

mod bounds;
mod cluster;
mod interference;
mod preference;
mod speeds;
