//! Links to the workers that this process owns.

mod handle;
mod manager;
mod message;
mod worker_link;

pub use handle::LinkHandle;
pub use manager::LinkManager;
pub use message::{LinkCommand, LinkMessage, ResolvedTask};
pub use worker_link::WorkerLink;
