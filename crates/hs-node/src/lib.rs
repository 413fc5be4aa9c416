//! Entry process: the tasks that own sockets and state.

pub mod port;

pub use port::{
    HttpPlatform, Platform, PortError, StorePort, StoreValue, StoreWrite, VmPort, WorkerPort,
};
