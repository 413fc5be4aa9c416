//! What must always hold, with real entry processes under failure. One file for each promise.

mod at_most_once;
mod cluster;
mod faults;
mod gang;
mod not_run;
mod service;
mod single_run;
mod whole_path;
