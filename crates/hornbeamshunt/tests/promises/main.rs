//! Tests of the promises that have to hold under failures, with real entry processes. Each promise
//! has a file of its own.

mod at_most_once;
mod capacity;
mod cluster;
mod drain;
mod faults;
mod gang;
mod gone_worker;
mod history;
mod leaving;
mod manifest;
mod not_run;
mod own_answer;
mod service;
mod single_run;
mod takeover;
mod urgent;
mod whole_path;
