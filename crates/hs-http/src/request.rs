//! Requests and replies of HTTP handlers.

use std::str;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::BodyError;

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query string, empty if there is none.
    pub query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// The whole body, empty if there is none.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }

    /// Returns the value of the first query parameter with this name, without percent-decoding.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the value of a query parameter, or `None` if it is absent or not a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_parameter(name)?.parse().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the position, the parser's message and the text before the error, which shows the
    /// field.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, BodyError> {
        serde_json::from_slice(&self.body).map_err(|error| BodyError::new(&self.body, &error))
    }

    /// Returns the token of an `Authorization: Bearer` header.
    pub fn bearer_token(&self) -> Option<&str> {
        self.head().bearer_token()
    }

    /// Returns what was known before the body arrived.
    pub fn head(&self) -> RequestHead<'_> {
        RequestHead {
            path: &self.path,
            headers: &self.headers,
        }
    }
}

/// A request whose head has arrived.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Path without the query.
    pub path: &'a str,
    /// Request headers.
    pub headers: &'a HeaderMap,
}

impl<'a> RequestHead<'a> {
    /// Returns the token of an `Authorization: Bearer` header.
    pub fn bearer_token(self) -> Option<&'a str> {
        let value = self.headers.get(hyper::header::AUTHORIZATION)?;
        str::from_utf8(value.as_bytes())
            .ok()?
            .strip_prefix("Bearer ")
    }
}

/// The reply that a handler returns.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: &'static str,
    /// Headers in addition to `Content-Type`.
    pub headers: Vec<(&'static str, String)>,
    /// The whole body.
    pub body: Bytes,
}

impl HttpReply {
    /// Builds a JSON reply.
    ///
    /// A body that cannot be serialised becomes a reply with status 500.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        match serde_json::to_vec(body) {
            Ok(bytes) => Self::bytes(status, "application/json", bytes),
            Err(error) => Self::text(500, &error.to_string()),
        }
    }

    /// Builds a plain text reply.
    pub fn text(status: u16, body: &str) -> Self {
        Self::bytes(status, "text/plain; charset=utf-8", body.to_owned())
    }

    /// Builds a reply with a raw body.
    pub fn bytes(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Builds an error reply with a JSON body of the fields `code` and `message`.
    pub fn error(status: u16, code: &str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self::json(
            status,
            &serde_json::json!({ "code": code, "message": message }),
        )
    }

    /// Adds a header. One whose value is not a valid header value is omitted from the response.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Adds `Retry-After` if there is a delay, rounded up to whole seconds as the header requires.
    #[must_use]
    pub fn with_retry_after_ms(self, delay_ms: Option<u64>) -> Self {
        match delay_ms {
            Some(delay_ms) => self.with_header("retry-after", delay_ms.div_ceil(1000).max(1)),
            None => self,
        }
    }

    pub(crate) fn into_response(self) -> Response<Full<Bytes>> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.content_type));
        for (name, value) in self.headers {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        }
        response
    }
}
