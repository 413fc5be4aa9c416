//! Reads a body under a budget.

use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::time::timeout;

use crate::arrival_budget::{BudgetShort, ByteLease};

/// Size of the pieces in which a body is kept until it is complete. The data of a frame are copied, since a frame keeps
/// the whole read buffer of its connection, however small it is.
const SEGMENT_BYTES: usize = 16 << 10;

/// Size of the first piece of a body without an announced length.
const FIRST_SEGMENT_BYTES: usize = 1 << 10;

/// Time for which the rest of a refused body is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The body has more bytes than allowed, or announces more.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// The bytes of this body are needed for others.
    #[error("memory for bodies is short")]
    BudgetShort,
    /// The connection failed, or its data are invalid.
    #[error("the body can't be read")]
    Broken(#[source] hyper::Error),
}

impl From<BudgetShort> for ReadError {
    fn from(_: BudgetShort) -> Self {
        Self::BudgetShort
    }
}

/// Pieces of a body.
#[derive(Debug, Default)]
struct Segments {
    filled: Vec<Vec<u8>>,
    bytes: usize,
}

impl Segments {
    /// Adds data, and takes bytes of the budget for each piece.
    async fn push(
        &mut self,
        mut data: &[u8],
        announced: Option<usize>,
        lease: &ByteLease,
    ) -> Result<(), ReadError> {
        while !data.is_empty() {
            let has_room = |last: &Vec<u8>| last.len() < last.capacity();
            if !self.filled.last().is_some_and(has_room) {
                let segment_bytes = match (announced, self.filled.is_empty()) {
                    (Some(total), _) => total.saturating_sub(self.bytes).min(SEGMENT_BYTES),
                    (None, true) => FIRST_SEGMENT_BYTES,
                    (None, false) => SEGMENT_BYTES,
                };
                let segment_bytes = segment_bytes.max(1);
                lease.take(segment_bytes).await?;
                self.filled.push(Vec::with_capacity(segment_bytes));
            }
            if let Some(last) = self.filled.last_mut() {
                let room = last.capacity() - last.len();
                let (fitting, rest) = data.split_at(room.min(data.len()));
                last.extend_from_slice(fitting);
                self.bytes += fitting.len();
                data = rest;
            }
        }
        Ok(())
    }

    /// Joins the pieces. Each is freed once it has been copied.
    fn join(mut self) -> Bytes {
        if self.filled.len() <= 1 {
            return self.filled.pop().unwrap_or_default().into();
        }
        let mut whole = Vec::with_capacity(self.bytes);
        for segment in self.filled {
            whole.extend_from_slice(&segment);
        }
        whole.into()
    }
}

/// Reads a body of at most `max_bytes` to its end. A larger one is given up once its announced length or its data show
/// it.
///
/// # Errors
///
/// Returns [`ReadError`] if the body is too large, ends early or has to make room.
pub(crate) async fn read_body<B>(
    body: &mut B,
    max_bytes: usize,
    lease: &ByteLease,
) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let announced = body.size_hint().exact();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > max_bytes) {
        return Err(ReadError::TooLarge(max_bytes));
    }
    let mut segments = Segments::default();
    loop {
        let frame = tokio::select! {
            biased;
            () = lease.closed() => return Err(ReadError::BudgetShort),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() else {
            continue;
        };
        if segments.bytes + data.remaining() > max_bytes {
            return Err(ReadError::TooLarge(max_bytes));
        }
        segments.push(&data, announced, lease).await?;
    }
    lease.complete()?;
    Ok(segments.join())
}

/// Reads and drops the rest of a refused body, at most `max_bytes` of it and for a second, so that its client can read
/// the reply.
pub(crate) async fn discard_body<B>(mut body: B, max_bytes: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let discard = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > max_bytes {
                return;
            }
        }
    };
    // After that the connection is closed with whatever the client still sends.
    let _ = timeout(DISCARD_TIME, discard).await;
}
