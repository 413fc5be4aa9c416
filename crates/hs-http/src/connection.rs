//! A client connection that is driven by the call that uses it.

use std::error::Error;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::CallReply;
use crate::arrival_budget::ByteLease;
use crate::connection_pools::MAX_READ_BUFFER_BYTES;
use crate::read_body::read_body;

/// Future that reads and writes the socket of a connection.
type SocketDriver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Why an exchange on a connection failed.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    /// The connection ended before any byte of the request was written.
    #[error("connection closed before the request was sent")]
    NotSent(#[source] hyper::Error),
    /// The request may have been received.
    #[error("request without a complete reply")]
    NoReply(#[source] Box<dyn Error + Send + Sync>),
}

/// An open HTTP/1.1 connection, which handles one request at a time.
///
/// No task belongs to it: the socket is read and written in the task of the caller. This saves the wake-ups
/// between the task of a call and the task of its connection, and a call whose timer fires first looks at what has
/// arrived.
pub(crate) struct Connection {
    /// Time from which the connection is open.
    pub(crate) opened_at: Instant,
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<SocketDriver>>,
    /// Whether the driver has ended, after which it must not be polled.
    is_closed: bool,
}

impl Connection {
    /// Opens a connection to `peer`, a host and a port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if `peer` does not accept the connection.
    pub(crate) async fn open(peer: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(peer).await?;
        let opened_at = Instant::now();
        stream.set_nodelay(true)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        Ok(Self {
            opened_at,
            sender,
            driver: Box::pin(driver),
            is_closed: false,
        })
    }

    /// Returns whether the connection can take a request. It can't if it has been closed, or if the last
    /// exchange is not complete.
    pub(crate) fn is_usable(&mut self) -> bool {
        self.drive(&mut Context::from_waker(Waker::noop()));
        !self.is_closed && self.sender.is_ready()
    }

    /// Sends a request and reads the reply, with a body of at most `max_body_bytes` under `lease`.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if there is no complete reply.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body_bytes: usize,
        lease: &ByteLease,
    ) -> Result<CallReply, ExchangeError> {
        let sent = self.sender.try_send_request(request);
        let mut reply = pin!(async {
            let response = sent.await.map_err(|mut error| {
                let was_sent = error.take_message().is_none();
                match (was_sent, error.into_error()) {
                    (true, error) => ExchangeError::NoReply(error.into()),
                    (false, error) => ExchangeError::NotSent(error),
                }
            })?;
            let (parts, mut body) = response.into_parts();
            let body = read_body(&mut body, max_body_bytes, lease).await;
            Ok(CallReply {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body: body.map_err(|error| ExchangeError::NoReply(error.into()))?,
            })
        });
        poll_fn(|context| {
            self.drive(context);
            reply.as_mut().poll(context)
        })
        .await
    }

    /// Reads and writes as much as the socket allows.
    fn drive(&mut self, context: &mut Context<'_>) {
        if !self.is_closed
            && let Poll::Ready(result) = self.driver.as_mut().poll(context)
        {
            self.is_closed = true;
            if let Err(error) = result {
                log::debug!("connection ended: {error}");
            }
        }
    }
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut text = f.debug_struct("Connection");
        text.field("is_closed", &self.is_closed)
            .finish_non_exhaustive()
    }
}
