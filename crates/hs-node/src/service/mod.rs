//! Services: long-running replicas, kept at a stated count in each data centre.

mod reconciler;
mod replica;

pub use reconciler::ServiceReconciler;
pub use replica::ReplicaId;
