//! Services: long-running tasks, of which each data centre runs the number of replicas in the
//! manifest.

mod reconciler;
mod replica;

pub use reconciler::ServiceReconciler;
pub use replica::ReplicaId;
