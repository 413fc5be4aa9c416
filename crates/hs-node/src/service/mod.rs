//! Services: long-running replicas, kept at a stated count in each data centre.

mod keeper;
mod replica;

pub use keeper::ServiceKeeper;
pub use replica::ReplicaId;
