//! Calls between entry processes.

mod pool;
mod server;

pub use pool::{PeerError, PeerPool};
pub use server::PeerServerTask;
