//! Leases on the workers that this process owns. Each worker has a link, a task that acquires,
//! renews and releases its lease.

mod handle;
mod manager;
mod message;
mod worker_link;

pub use handle::LinkHandle;
pub use manager::LinkManager;
pub use message::{LinkCommand, LinkMessage, ResolvedTask};
pub use worker_link::WorkerLink;
