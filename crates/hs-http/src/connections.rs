//! Open connections of a listener.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::ListenerGuard;
use crate::arrival_budget::ConnectionLease;
use crate::connection_phase::{
    ConnectionOverflow, ConnectionPhase, PhaseLimits, PhaseSince, longest_waiting,
};
use crate::refusals::TurnedAway;

/// Interval at which connections are compared with the limits of their phases.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Lateness of a sweep from which the process counts as paused. What has arrived meanwhile is read first.
const PAUSE_LATENESS: Duration = Duration::from_millis(500);

/// Time after which a listener without a free connection looks for one to close again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections of a listener. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    shared: Arc<SharedConnections>,
}

#[derive(Debug)]
struct SharedConnections {
    max: usize,
    guard: ListenerGuard,
    open: Mutex<OpenConnections>,
    released: Notify,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next: u64,
    by_key: HashMap<u64, Arc<ConnectionState>>,
}

#[derive(Debug)]
struct ConnectionState {
    phase: Mutex<PhaseSince>,
    closer: Notify,
}

impl ConnectionState {
    fn lock(&self) -> MutexGuard<'_, PhaseSince> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters a phase, unless the connection is being closed.
    fn enter(&self, phase: ConnectionPhase) -> bool {
        let mut current = self.lock();
        if current.phase == ConnectionPhase::Closing {
            return false;
        }
        *current = PhaseSince {
            phase,
            since: Instant::now(),
        };
        true
    }

    /// Closes the connection if it is still in this phase.
    fn close(&self, seen: ConnectionPhase) -> bool {
        let mut current = self.lock();
        if current.phase != seen {
            return false;
        }
        current.phase = ConnectionPhase::Closing;
        self.closer.notify_one();
        true
    }
}

impl Connections {
    /// Creates the state of a listener with at most `max` connections.
    pub(crate) fn new(max: usize, guard: ListenerGuard) -> Self {
        Self {
            shared: Arc::new(SharedConnections {
                max,
                guard,
                open: Mutex::default(),
                released: Notify::new(),
            }),
        }
    }

    /// Adds a connection. If there are too many, waits until one has ended, and closes one where the listener does so.
    pub(crate) async fn add(&self) -> ConnectionEntry {
        loop {
            let released = self.shared.released.notified();
            if let Some(entry) = self.try_add() {
                return entry;
            }
            match self.shared.guard.overflow {
                ConnectionOverflow::Wait => released.await,
                ConnectionOverflow::CloseLongestWaiting => {
                    self.close_longest_waiting();
                    // If all connections handle requests, none was closed.
                    let _ = tokio::time::timeout(RETRY_DELAY, released).await;
                }
            }
        }
    }

    fn try_add(&self) -> Option<ConnectionEntry> {
        let mut open = self.lock();
        if open.by_key.len() >= self.shared.max {
            return None;
        }
        let key = open.next;
        open.next += 1;
        let state = Arc::new(ConnectionState {
            phase: Mutex::new(PhaseSince {
                phase: ConnectionPhase::Idle,
                since: Instant::now(),
            }),
            closer: Notify::new(),
        });
        open.by_key.insert(key, state.clone());
        Some(ConnectionEntry {
            connections: self.clone(),
            key,
            state,
            _lease: self.shared.guard.budget.connection_lease(),
        })
    }

    fn close_longest_waiting(&self) {
        let open = self.lock();
        let phases = open.by_key.values().map(|state| (state, *state.lock()));
        if let Some(state) = longest_waiting(phases) {
            let seen = state.lock().phase;
            if seen != ConnectionPhase::Handling && state.close(seen) {
                self.shared.guard.counts.record(TurnedAway::Connections);
            }
        }
    }

    /// Closes connections that exceed the limits of their phases, for as long as it is polled.
    pub(crate) async fn sweep(&self, limits: impl Fn() -> PhaseLimits) {
        let mut resumed_at = Instant::now();
        loop {
            let slept_at = Instant::now();
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            if now - slept_at > SWEEP_INTERVAL + PAUSE_LATENESS {
                resumed_at = now;
            }
            self.close_expired(limits(), resumed_at, now);
        }
    }

    fn close_expired(&self, limits: PhaseLimits, resumed_at: Instant, now: Instant) {
        for state in self.lock().by_key.values() {
            let seen = *state.lock();
            if seen.is_expired(limits, resumed_at, now) && state.close(seen.phase) {
                self.shared.guard.counts.record(match seen.phase {
                    ConnectionPhase::Head => TurnedAway::HeadTime,
                    _ => TurnedAway::Idle,
                });
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, OpenConnections> {
        let open = self.shared.open.lock();
        open.unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection, which counts until this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    connections: Connections,
    key: u64,
    state: Arc<ConnectionState>,
    _lease: ConnectionLease,
}

impl ConnectionEntry {
    /// Returns the handle by which the connection reports its phase.
    pub(crate) fn reporter(&self) -> PhaseReporter {
        PhaseReporter {
            state: self.state.clone(),
        }
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn closed(&self) {
        self.state.closer.notified().await;
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.connections.lock().by_key.remove(&self.key);
        self.connections.shared.released.notify_waiters();
    }
}

/// Reports what a connection does.
#[derive(Clone, Debug)]
pub(crate) struct PhaseReporter {
    state: Arc<ConnectionState>,
}

impl PhaseReporter {
    /// Enters a phase. Returns false if the connection is being closed.
    pub(crate) fn enter(&self, phase: ConnectionPhase) -> bool {
        self.state.enter(phase)
    }

    fn record_read(&self) {
        let mut current = self.state.lock();
        if current.phase == ConnectionPhase::Idle {
            *current = PhaseSince {
                phase: ConnectionPhase::Head,
                since: Instant::now(),
            };
        }
    }
}

/// A stream that reports the begin of a head.
#[derive(Debug)]
pub(crate) struct ReportingStream {
    pub(crate) stream: TcpStream,
    pub(crate) reporter: PhaseReporter,
}

impl AsyncRead for ReportingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.reporter.record_read();
        }
        result
    }
}

impl AsyncWrite for ReportingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
