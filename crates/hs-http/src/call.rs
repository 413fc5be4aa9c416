//! Calls to another process.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, IF_NONE_MATCH};
use hyper::{HeaderMap, Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

/// Why a call has no reply.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request was certainly not sent.
    #[error("{operation} to {peer} was not sent: {cause}")]
    NotSent {
        /// What the call was for.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// What went wrong.
        cause: String,
    },
    /// The request may have been received and acted on.
    #[error("{operation} to {peer} has no reply: {cause}")]
    NoReply {
        /// What the call was for.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// What went wrong.
        cause: String,
    },
}

impl CallError {
    /// Returns whether the other side certainly did not receive the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// A reply with its body read.
#[derive(Clone, Debug)]
pub struct CallReply {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
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

    /// Returns a header as a number.
    pub fn header_number(&self, name: &str) -> Option<u64> {
        self.headers.get(name)?.to_str().ok()?.parse().ok()
    }
}

/// A client with pooled connections. Clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

/// Largest reply in bytes; the store's values end at one megabyte.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Time to open a connection. Workers, store and peers answer within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that an idle connection is kept. Shorter than the head timeout of `ServeLimits`, so that
/// the server does not close a connection at the moment of its reuse.
const POOL_IDLE: Duration = Duration::from_secs(15);

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE)
            // A request on a connection that closed underneath is reported instead of being sent
            // again, so that the caller decides whether a repetition is safe.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }
}

impl HttpClient {
    /// Sends a request with a raw body and waits for the reply at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if no connection could be opened, else
    /// [`CallError::NoReply`].
    pub async fn call(
        &self,
        operation: &'static str,
        method: Method,
        peer: &str,
        path: &str,
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Result<CallReply, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(|error| not_sent(operation, peer, &error))?;
        self.send(operation, peer, request, limit).await
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`].
    pub async fn post_json(
        &self,
        operation: &'static str,
        peer: &str,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<CallReply, CallError> {
        let body = serde_json::to_vec(body).map_err(|error| not_sent(operation, peer, &error))?;
        self.call(operation, Method::POST, peer, path, body, limit)
            .await
    }

    /// Sends a request without a body.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`].
    pub async fn get(
        &self,
        operation: &'static str,
        peer: &str,
        path: &str,
        limit: Duration,
    ) -> Result<CallReply, CallError> {
        self.call(operation, Method::GET, peer, path, Bytes::new(), limit)
            .await
    }

    /// Sends a request without a body, whose reply is 304 without a body if the resource still has
    /// this entity tag.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`].
    pub async fn get_if_changed(
        &self,
        operation: &'static str,
        peer: &str,
        path: &str,
        tag: &str,
        limit: Duration,
    ) -> Result<CallReply, CallError> {
        let request = Request::builder()
            .uri(format!("http://{peer}{path}"))
            .header(IF_NONE_MATCH, tag)
            .body(Full::new(Bytes::new()))
            .map_err(|error| not_sent(operation, peer, &error))?;
        self.send(operation, peer, request, limit).await
    }

    /// Sends a prepared request.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`].
    pub async fn send(
        &self,
        operation: &'static str,
        peer: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<CallReply, CallError> {
        let exchange = async {
            let response = match self.inner.request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => return Err(not_sent(operation, peer, &error)),
                Err(error) => return Err(no_reply(operation, peer, &error)),
            };
            let (parts, body) = response.into_parts();
            let read = Limited::new(body, MAX_REPLY_BYTES).collect().await;
            let body = read
                .map_err(|error| no_reply(operation, peer, &*error))?
                .to_bytes();
            Ok(CallReply {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body,
            })
        };
        match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(elapsed) => Err(no_reply(operation, peer, &elapsed)),
        }
    }
}

fn not_sent(operation: &'static str, peer: &str, cause: &dyn std::error::Error) -> CallError {
    CallError::NotSent {
        operation,
        peer: peer.to_owned(),
        cause: chain(cause),
    }
}

fn no_reply(operation: &'static str, peer: &str, cause: &dyn std::error::Error) -> CallError {
    CallError::NoReply {
        operation,
        peer: peer.to_owned(),
        cause: chain(cause),
    }
}

/// Joins an error and its sources, since the outer message alone often says only "client error".
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
