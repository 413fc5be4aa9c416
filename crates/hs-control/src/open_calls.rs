//! Limits the open calls of the listener for other processes.
//!
//! A call is open from its head until its reply has been sent. Flow control keeps replies in the process until the caller
//! reads, so a connection hands few of them to HTTP/2 at a time. If too many calls are open in all, no connection is read
//! from, and the one whose number of calls times the time without a reply is highest is closed.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{Notify, Semaphore};
use tonic::Status;

/// Maximum number of replies of a connection that HTTP/2 has and the system has not taken yet.
const MAX_HANDED_OVER: usize = 16;

/// Open calls of all connections, at most `max` at a time. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct OpenCalls {
    shared: Arc<SharedCalls>,
}

#[derive(Debug)]
struct SharedCalls {
    max: usize,
    state: Mutex<CallsState>,
}

#[derive(Debug, Default)]
struct CallsState {
    next_connection: u64,
    /// Number of calls that have begun or ended, by which the age of progress is counted.
    events: u64,
    total: usize,
    by_connection: BTreeMap<u64, ConnectionCalls>,
    /// Connections that wait until they may read.
    readers: BTreeMap<u64, Waker>,
}

#[derive(Debug)]
struct ConnectionCalls {
    open: usize,
    /// Event at which a call ended last, or the first of the open ones began.
    progress: u64,
    is_closing: bool,
    closer: Arc<Notify>,
}

impl SharedCalls {
    fn lock(&self) -> MutexGuard<'_, CallsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end(&self, key: u64, count: usize) {
        let mut state = self.lock();
        state.end(key, count);
        if state.total < self.max {
            state.wake_readers();
        }
    }
}

impl CallsState {
    fn begin(&mut self, key: u64) {
        self.events += 1;
        if let Some(connection) = self.by_connection.get_mut(&key) {
            if connection.open == 0 {
                connection.progress = self.events;
            }
            connection.open += 1;
            self.total += 1;
        }
    }

    fn end(&mut self, key: u64, count: usize) {
        self.events += 1;
        if let Some(connection) = self.by_connection.get_mut(&key) {
            connection.progress = self.events;
            connection.open -= count;
            self.total -= count;
        }
    }

    fn wake_readers(&mut self) {
        for waker in std::mem::take(&mut self.readers).into_values() {
            waker.wake();
        }
    }

    /// Closes the connection whose open calls times the age of its progress are highest, unless one is being closed.
    fn close_slowest(&mut self) {
        let mut connections = self.by_connection.values_mut();
        if connections.any(|connection| connection.is_closing) {
            return;
        }
        let events = self.events;
        let cost = |connection: &ConnectionCalls| {
            let age = events - connection.progress + 1;
            connection.open as u128 * u128::from(age)
        };
        let connections = self.by_connection.values_mut();
        if let Some(slowest) = connections.max_by_key(|connection| cost(connection)) {
            slowest.is_closing = true;
            slowest.closer.notify_one();
        }
    }
}

impl OpenCalls {
    /// Creates the state of a listener with at most `max` open calls.
    pub(crate) fn new(max: usize) -> Self {
        Self {
            shared: Arc::new(SharedCalls {
                max,
                state: Mutex::default(),
            }),
        }
    }

    /// Adds a connection.
    pub(crate) fn add_connection(&self) -> Arc<CallWindow> {
        let mut state = self.shared.lock();
        let key = state.next_connection;
        state.next_connection += 1;
        let closer = Arc::new(Notify::new());
        let connection = ConnectionCalls {
            open: 0,
            progress: state.events,
            is_closing: false,
            closer: closer.clone(),
        };
        state.by_connection.insert(key, connection);
        Arc::new(CallWindow {
            shared: self.shared.clone(),
            key,
            closer,
            permits: Semaphore::new(MAX_HANDED_OVER),
            ended: AtomicUsize::new(0),
        })
    }
}

/// The open calls of a connection.
#[derive(Debug)]
pub(crate) struct CallWindow {
    shared: Arc<SharedCalls>,
    key: u64,
    closer: Arc<Notify>,
    permits: Semaphore,
    /// Replies that HTTP/2 has as a whole, and that the next flush sends.
    ended: AtomicUsize,
}

impl CallWindow {
    /// Begins a call.
    pub(crate) fn begin(self: &Arc<Self>) -> OpenCall {
        self.shared.lock().begin(self.key);
        OpenCall {
            window: self.clone(),
            phase: CallPhase::Handling,
        }
    }

    /// Waits until the connection may read further calls. If too many are open, a connection is closed.
    pub(crate) fn poll_may_read(&self, context: &Context<'_>) -> Poll<()> {
        let mut state = self.shared.lock();
        if state.total < self.shared.max {
            return Poll::Ready(());
        }
        state.readers.insert(self.key, context.waker().clone());
        state.close_slowest();
        Poll::Pending
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Records that the system has taken all that HTTP/2 had.
    pub(crate) fn record_flush(&self) {
        let sent = self.ended.swap(0, Ordering::AcqRel);
        if sent > 0 {
            self.shared.end(self.key, sent);
            self.permits.add_permits(sent);
        }
    }
}

impl Drop for CallWindow {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        let connection = state.by_connection.remove(&self.key);
        state.total -= connection.map_or(0, |connection| connection.open);
        state.readers.remove(&self.key);
        state.wake_readers();
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallPhase {
    /// The reply is not ready, or waits until it may be handed over.
    Handling,
    /// HTTP/2 has the reply or a part of it.
    HandedOver,
    /// HTTP/2 has the whole reply.
    Ended,
}

/// An open call.
#[derive(Debug)]
pub(crate) struct OpenCall {
    window: Arc<CallWindow>,
    phase: CallPhase,
}

impl OpenCall {
    /// Waits until the reply may be handed to HTTP/2.
    pub(crate) async fn hand_over(&mut self) {
        if let Ok(permit) = self.window.permits.acquire().await {
            permit.forget();
            self.phase = CallPhase::HandedOver;
        }
    }

    /// Records that HTTP/2 takes the last part of the reply. The flush after that counts it as sent.
    fn end(&mut self) {
        if self.phase == CallPhase::HandedOver {
            self.phase = CallPhase::Ended;
            self.window.ended.fetch_add(1, Ordering::AcqRel);
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        match self.phase {
            CallPhase::Ended => return,
            CallPhase::HandedOver => self.window.permits.add_permits(1),
            CallPhase::Handling => {}
        }
        self.window.shared.end(self.window.key, 1);
    }
}

/// The body of a reply, whose call is open until HTTP/2 has its end and has been flushed.
#[derive(Debug)]
pub(crate) struct ReplyBody {
    body: tonic::body::Body,
    call: OpenCall,
}

impl ReplyBody {
    /// Wraps a body.
    pub(crate) fn new(body: tonic::body::Body, mut call: OpenCall) -> Self {
        if body.is_end_stream() {
            call.end();
        }
        Self { body, call }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let is_last = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(frame))) => frame.is_trailers() || self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if is_last {
            self.call.end();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
