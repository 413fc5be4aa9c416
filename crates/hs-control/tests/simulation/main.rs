//! Deterministic simulation of processes with slow processors: the real control tasks, each process on a runtime
//! of its own whose clock the simulation moves, in a world of simulated services and workers.
//!
//! A case that fails prints its cluster, which has the seed.

mod admission;
mod advice;
mod calm;
mod cancellations;
mod cpu;
mod determinism;
mod faults;
mod handover;
mod incarnations;
mod incident;
mod link;
mod load;
mod network;
mod observer;
mod ownership;
mod paused_owners;
mod peer_client;
mod platform;
mod power_losses;
mod process;
mod registry;
mod simulation;
mod store;
mod unlisted_workers;
mod wire_size;
mod worker;
mod world;
