//! Calls between entry processes: client and server.

mod pool;
mod server;

pub use pool::{PeerError, PeerPool};
pub use server::PeerServerTask;
