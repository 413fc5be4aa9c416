//! Bounded HTTP/1.1 server and client helpers over `hyper`.
//!
//! The server reads each body completely and enforces its limits before it calls the handler. The
//! client distinguishes a request that was certainly not sent from one that may have been received,
//! since only work of the first kind may be reported as "not run".

mod body_error;
pub mod call;
mod connection;
pub mod direct;
pub mod request;
pub mod serve;

pub use body_error::BodyError;
pub use call::{CallError, CallReply, HttpClient};
pub use direct::{DirectClient, RequestHeader};
pub use request::{HttpReply, HttpRequest};
pub use serve::{ServeLimits, serve};
