//! Cluster scheduler for services, batch work and gangs on one shared cluster.

fn main() {}
