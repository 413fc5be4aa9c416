//! A client connection that is driven by the call that uses it.

use std::io;

use bytes::Bytes;
use hyper::HeaderMap;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::CallReply;
use crate::reply_head::{BodyLength, ReplyHead, invalid};

/// Space for one read, in bytes. Most replies fit, so that one system call reads them.
const READ_BYTES: usize = 2048;

/// Largest head of a reply, and largest size line of a chunk, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Capacity above which the buffer is released after a reply, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 16 << 10;

/// Length of the line end after a chunk, in bytes.
const LINE_END_BYTES: usize = 2;

/// Why an exchange on a connection failed.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    /// The connection ended before any byte of the request was written.
    #[error("connection closed before the request was sent")]
    NotSent(#[source] io::Error),
    /// The request may have been received.
    #[error("request without a complete reply")]
    NoReply(#[source] io::Error),
}

/// An open HTTP/1.1 connection, which handles one request at a time.
///
/// No task belongs to it: it reads and writes in the task of the caller. This saves the wake-ups between
/// the task of a call and the task of its connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes received but not processed.
    received: Vec<u8>,
    /// Whether the last exchange was complete and left the connection open.
    is_reusable: bool,
}

impl Connection {
    /// Opens a connection to `peer`, a host and a port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if `peer` does not accept the connection.
    pub(crate) async fn open(peer: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            received: Vec::new(),
            is_reusable: true,
        })
    }

    /// Returns whether the connection can take a request. It can't if it has been closed, or if it has
    /// received something that belongs to no request.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let nothing_received = match self.stream.try_read(&mut byte) {
            Ok(_) => false,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        };
        self.is_reusable && self.received.is_empty() && nothing_received
    }

    /// Sends a request and reads the reply, with a body of at most `max_body_bytes`. The reply has no
    /// headers.
    ///
    /// If this future is dropped before it is complete, the connection becomes unusable.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if there is no complete reply.
    pub(crate) async fn exchange(
        &mut self,
        request: &[u8],
        max_body_bytes: usize,
    ) -> Result<CallReply, ExchangeError> {
        self.is_reusable = false;
        self.write(request).await?;
        let read = self.read_reply(max_body_bytes).await;
        read.map_err(ExchangeError::NoReply)
    }

    async fn write(&mut self, request: &[u8]) -> Result<(), ExchangeError> {
        let written = self.stream.write(request).await;
        let written = match written {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            written => written,
        };
        let written = written.map_err(ExchangeError::NotSent)?;
        let rest = self.stream.write_all(&request[written..]).await;
        rest.map_err(ExchangeError::NoReply)
    }

    async fn read_reply(&mut self, max_body_bytes: usize) -> io::Result<CallReply> {
        let head = self.read_final_head().await?;
        let body = match head.body {
            BodyLength::Fixed(bytes) => self.read_fixed(bytes, max_body_bytes).await?,
            BodyLength::Chunked => self.read_chunks(max_body_bytes).await?,
            BodyLength::UntilClose => self.read_to_end(max_body_bytes).await?,
        };
        if self.received.is_empty() && self.received.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.received = Vec::new();
        }
        self.is_reusable = head.keeps_open;
        Ok(CallReply {
            status: head.status,
            headers: HeaderMap::new(),
            body,
        })
    }

    /// Reads the head of the reply, after those that only announce it.
    async fn read_final_head(&mut self) -> io::Result<ReplyHead> {
        loop {
            let head = self.read_head().await?;
            self.received.drain(..head.bytes);
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    async fn read_head(&mut self) -> io::Result<ReplyHead> {
        loop {
            if let Some(head) = ReplyHead::parse(&self.received)? {
                return Ok(head);
            }
            check_size(self.received.len(), MAX_HEAD_BYTES)?;
            self.receive().await?;
        }
    }

    async fn read_fixed(&mut self, bytes: usize, max_body_bytes: usize) -> io::Result<Bytes> {
        check_size(bytes, max_body_bytes)?;
        while self.received.len() < bytes {
            self.receive().await?;
        }
        let body = Bytes::copy_from_slice(&self.received[..bytes]);
        self.received.drain(..bytes);
        Ok(body)
    }

    async fn read_chunks(&mut self, max_body_bytes: usize) -> io::Result<Bytes> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size().await?;
            if size == 0 {
                self.read_trailers().await?;
                return Ok(body.into());
            }
            check_size(body.len().saturating_add(size), max_body_bytes)?;
            while self.received.len() < size + LINE_END_BYTES {
                self.receive().await?;
            }
            body.extend_from_slice(&self.received[..size]);
            self.received.drain(..size + LINE_END_BYTES);
        }
    }

    async fn read_chunk_size(&mut self) -> io::Result<usize> {
        loop {
            match httparse::parse_chunk_size(&self.received) {
                Ok(httparse::Status::Complete((line_bytes, size))) => {
                    self.received.drain(..line_bytes);
                    return usize::try_from(size).map_err(|error| invalid(error.to_string()));
                }
                Ok(httparse::Status::Partial) => {}
                Err(error) => return Err(invalid(error.to_string())),
            }
            check_size(self.received.len(), MAX_HEAD_BYTES)?;
            self.receive().await?;
        }
    }

    /// Reads the lines after the last chunk, up to the empty one.
    async fn read_trailers(&mut self) -> io::Result<()> {
        loop {
            let line_end = self.received.windows(2).position(|bytes| bytes == b"\r\n");
            if let Some(line_bytes) = line_end {
                self.received.drain(..line_bytes + LINE_END_BYTES);
                if line_bytes == 0 {
                    return Ok(());
                }
                continue;
            }
            check_size(self.received.len(), MAX_HEAD_BYTES)?;
            self.receive().await?;
        }
    }

    async fn read_to_end(&mut self, max_body_bytes: usize) -> io::Result<Bytes> {
        loop {
            check_size(self.received.len(), max_body_bytes)?;
            self.received.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Ok(std::mem::take(&mut self.received).into());
            }
        }
    }

    /// Waits for more bytes. The end of the connection is an error.
    async fn receive(&mut self) -> io::Result<()> {
        self.received.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.received).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

fn check_size(bytes: usize, limit: usize) -> io::Result<()> {
    match bytes <= limit {
        true => Ok(()),
        false => Err(invalid(format!("reply exceeds {limit} bytes"))),
    }
}
