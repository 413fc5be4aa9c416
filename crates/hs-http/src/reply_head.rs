//! Heads of HTTP/1.1 replies.

use std::io;
use std::str;

use httparse::{EMPTY_HEADER, Header, Response, Status};

/// Maximum number of headers of a reply.
const MAX_HEADERS: usize = 32;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyLength {
    /// The body has this number of bytes.
    Fixed(usize),
    /// The body is sent in chunks, each with its size.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// The parts of a head that decide how the reply is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ReplyHead {
    pub status: u16,
    /// Number of bytes of the head, with the empty line that ends it.
    pub bytes: usize,
    pub body: BodyLength,
    /// Whether the connection stays open after the reply.
    pub keeps_open: bool,
}

impl ReplyHead {
    /// Parses the head at the start of `received`. Returns `None` if it is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not a valid head of a reply.
    pub(crate) fn parse(received: &[u8]) -> io::Result<Option<Self>> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut response = Response::new(&mut headers);
        let bytes = match response.parse(received) {
            Ok(Status::Complete(bytes)) => bytes,
            Ok(Status::Partial) => return Ok(None),
            Err(error) => return Err(invalid(error.to_string())),
        };
        let mut head = Self {
            status: response.code.unwrap_or_default(),
            bytes,
            body: BodyLength::UntilClose,
            keeps_open: response.version == Some(1),
        };
        for header in &*response.headers {
            head.add_header(header)?;
        }
        if matches!(head.status, 100..200 | 204 | 304) {
            head.body = BodyLength::Fixed(0);
        }
        head.keeps_open &= head.body != BodyLength::UntilClose;
        Ok(Some(head))
    }

    fn add_header(&mut self, header: &Header<'_>) -> io::Result<()> {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            self.set_length(header.value)
        } else if is("transfer-encoding") {
            // Chunked replaces a length that is given as well.
            self.body = BodyLength::Chunked;
            match header.value.eq_ignore_ascii_case(b"chunked") {
                true => Ok(()),
                false => Err(invalid("unknown transfer encoding")),
            }
        } else {
            let closes = is("connection") && has_token(header.value, "close");
            self.keeps_open &= !closes;
            Ok(())
        }
    }

    fn set_length(&mut self, value: &[u8]) -> io::Result<()> {
        let length = str::from_utf8(value)
            .ok()
            .and_then(|text| text.parse().ok());
        let length = BodyLength::Fixed(length.ok_or_else(|| invalid("invalid content length"))?);
        match self.body {
            BodyLength::UntilClose => self.body = length,
            BodyLength::Fixed(_) if self.body != length => {
                return Err(invalid("contradictory content lengths"));
            }
            BodyLength::Fixed(_) | BodyLength::Chunked => {}
        }
        Ok(())
    }
}

/// Returns an error for a reply that violates HTTP.
pub(crate) fn invalid(cause: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause.into())
}

fn has_token(value: &[u8], token: &str) -> bool {
    let mut tokens = value.split(|byte| *byte == b',');
    tokens.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}
