//! Bounded HTTP/1.1 server and client helpers over `hyper`.
//!
//! The server reads each body completely within its limits before a handler sees it. The client
//! tells a request that was certainly never sent from one whose fate is unknown, since only the
//! first kind may be reported as "not run".

mod body_error;
pub mod call;
pub mod request;
pub mod serve;

pub use body_error::BodyError;
pub use call::{CallError, CallReply, HttpClient};
pub use request::{HttpReply, HttpRequest};
pub use serve::{ServeLimits, serve};
