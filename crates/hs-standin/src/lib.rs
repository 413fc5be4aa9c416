//! Stand-ins for store, VM list and worker, with fault switches.
