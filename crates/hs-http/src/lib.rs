//! Bounded HTTP/1.1 server and client helpers over `hyper`.
//!
//! The server reads each body completely and enforces its limits before it calls the handler. The
//! client distinguishes a request that was certainly not sent from one that may have been received,
//! since only work of the first kind may be reported as "not run".

pub mod arrival_budget;
mod body_error;
pub mod byte_budget;
pub mod call;
mod connection;
pub mod connection_phase;
mod connection_pools;
mod connections;
pub mod direct;
mod read_body;
pub mod refusals;
pub mod request;
pub mod serve;

pub use arrival_budget::{ArrivalBudget, ArrivedBody, ConnectionLease};
pub use body_error::BodyError;
pub use call::{CallError, CallReply, HttpClient};
pub use connection_phase::ConnectionOverflow;
pub use direct::{DirectClient, RequestHeader};
pub use read_body::ReadError;
pub use refusals::{RefusalCounts, TurnedAway};
pub use request::{HttpReply, HttpRequest, RequestHead};
pub use serve::{ListenerGuard, ServeLimits, serve, serve_guarded};
