//! Tests of one entry process against faults of its neighbours: a worker, a store, a VM list and a
//! peer whose replies are wrong, late or missing, and tasks of the process that panic.

mod damage;
mod deadline;
mod fake_peer;
mod follow;
mod harness;
mod log_lines;
mod odd_store;
mod panics;
mod peer_messages;
mod placer;
mod platform;
mod service;
mod startup;
mod vm_list;
mod worker_replies;
