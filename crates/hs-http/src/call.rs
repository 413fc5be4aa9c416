//! HTTP client.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hs_timer::timeout;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, IF_NONE_MATCH};
use hyper::{HeaderMap, Method, Request};
use rustix::io::Errno;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::ArrivalBudget;
use crate::byte_budget::HolderKind;
use crate::connection_pools::ConnectionPools;
use crate::read_body::read_body;

/// Error of a call that got no reply.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request was certainly not sent.
    #[error("{operation} to {peer} was not sent: {cause}")]
    NotSent {
        /// Name of the call for messages, such as "task start".
        operation: &'static str,
        /// Address of the called process.
        peer: String,
        /// Messages of the error and its sources.
        cause: String,
    },
    /// The request was certainly not sent, since this process or its system lacks descriptors, ports or memory for it.
    #[error("{operation} to {peer} was not sent for want of resources: {cause}")]
    NoResources {
        /// Name of the call for messages, such as "task start".
        operation: &'static str,
        /// Address of the called process.
        peer: String,
        /// Messages of the error and its sources.
        cause: String,
    },
    /// The request may have been received and executed.
    #[error("{operation} to {peer} has no reply: {cause}")]
    NoReply {
        /// Name of the call for messages, such as "task start".
        operation: &'static str,
        /// Address of the called process.
        peer: String,
        /// Time at which the connection was opened on which the request was sent, if it is known. A process that has started
        /// since then has not received the request.
        opened_at: Option<Instant>,
        /// Messages of the error and its sources.
        cause: String,
    },
}

impl CallError {
    /// Returns whether the called process certainly did not receive the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::NoResources { .. })
    }
}

/// A reply whose body has been read completely.
#[derive(Clone, Debug)]
pub struct CallReply {
    /// HTTP status code.
    pub status: u16,
    /// Reply headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CallReply {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the parser's message.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    /// Returns the value of a header, or `None` if it is absent or not a number.
    pub fn header_number(&self, name: &str) -> Option<u64> {
        self.headers.get(name)?.to_str().ok()?.parse().ok()
    }
}

/// An HTTP client with a connection pool, which clones share.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    pools: Arc<ConnectionPools>,
    budget: ArrivalBudget,
}

/// Largest reply body in bytes. Values in the store are limited to one megabyte.
pub(crate) const MAX_REPLY_BYTES: usize = 4 << 20;

impl HttpClient {
    /// Creates a client whose replies are read under a budget.
    pub fn with_budget(budget: ArrivalBudget) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Sends a request with a raw body and waits at most `call_timeout` for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] or [`CallError::NoResources`] if no connection could be opened, else
    /// [`CallError::NoReply`].
    pub async fn call(
        &self,
        operation: &'static str,
        method: Method,
        peer: &str,
        path: &str,
        body: impl Into<Bytes>,
        call_timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(|error| not_sent(operation, peer, &error))?;
        self.send(operation, peer, request, call_timeout).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// The same as for [`HttpClient::call`].
    pub async fn post_json(
        &self,
        operation: &'static str,
        peer: &str,
        path: &str,
        body: &impl Serialize,
        call_timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let body = serde_json::to_vec(body).map_err(|error| not_sent(operation, peer, &error))?;
        self.call(operation, Method::POST, peer, path, body, call_timeout)
            .await
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// The same as for [`HttpClient::call`].
    pub async fn get(
        &self,
        operation: &'static str,
        peer: &str,
        path: &str,
        call_timeout: Duration,
    ) -> Result<CallReply, CallError> {
        self.call(
            operation,
            Method::GET,
            peer,
            path,
            Bytes::new(),
            call_timeout,
        )
        .await
    }

    /// Sends a conditional GET request. The reply has status 304 and no body if the resource still
    /// has the entity tag `tag`.
    ///
    /// # Errors
    ///
    /// The same as for [`HttpClient::call`].
    pub async fn get_if_changed(
        &self,
        operation: &'static str,
        peer: &str,
        path: &str,
        tag: &str,
        call_timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let request = Request::builder()
            .uri(format!("http://{peer}{path}"))
            .header(IF_NONE_MATCH, tag)
            .body(Full::new(Bytes::new()))
            .map_err(|error| not_sent(operation, peer, &error))?;
        self.send(operation, peer, request, call_timeout).await
    }

    /// Sends a prepared request. The time in which this process is late does not count towards the timeout.
    ///
    /// After a call without a reply in time, later ones to the peer use new connections, also if the caller has given it up
    /// later than `call_timeout`.
    ///
    /// # Errors
    ///
    /// The same as for [`HttpClient::call`].
    pub async fn send(
        &self,
        operation: &'static str,
        peer: &str,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let pool = self.pools.pool(peer);
        let exchange = async {
            let response = match pool.request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => return Err(not_sent(operation, peer, &error)),
                Err(error) => return Err(no_reply(operation, peer, None, &error)),
            };
            let (parts, mut body) = response.into_parts();
            let lease = self.budget.lease(HolderKind::Reply);
            let body = read_body(&mut body, MAX_REPLY_BYTES, &lease).await;
            let body = body.map_err(|error| no_reply(operation, peer, None, &error))?;
            Ok(CallReply {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body,
            })
        };
        let mut silence = self.pools.watch_silence(peer, call_timeout);
        match timeout(call_timeout, exchange).await {
            Ok(result) => {
                silence.end();
                result
            }
            Err(elapsed) => Err(no_reply(operation, peer, None, &elapsed)),
        }
    }
}

pub(crate) fn not_sent(
    operation: &'static str,
    peer: &str,
    cause: &(dyn std::error::Error + 'static),
) -> CallError {
    let (peer, text) = (peer.to_owned(), error_chain(cause));
    match is_shortage(cause) {
        true => CallError::NoResources {
            operation,
            peer,
            cause: text,
        },
        false => CallError::NotSent {
            operation,
            peer,
            cause: text,
        },
    }
}

/// Returns whether an error tells that this process or its system has run out of something that a connection needs.
fn is_shortage(error: &(dyn std::error::Error + 'static)) -> bool {
    const SHORTAGES: [Errno; 5] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
    ];
    let errors = std::iter::successors(Some(error), |error| error.source());
    let mut codes = errors
        .filter_map(|error| error.downcast_ref::<io::Error>())
        .filter_map(io::Error::raw_os_error);
    codes.any(|code| SHORTAGES.iter().any(|errno| errno.raw_os_error() == code))
}

pub(crate) fn no_reply(
    operation: &'static str,
    peer: &str,
    opened_at: Option<Instant>,
    cause: &dyn std::error::Error,
) -> CallError {
    CallError::NoReply {
        operation,
        peer: peer.to_owned(),
        opened_at,
        cause: error_chain(cause),
    }
}

/// Returns the messages of an error and its sources, since the outermost message alone often says
/// only "client error".
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
