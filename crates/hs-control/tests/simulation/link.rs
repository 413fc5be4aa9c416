//! Virtual network link of a simulated VM, which its calls to services, workers and other processes share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Link with a bandwidth in each direction. Messages pass one after the other.
#[derive(Debug, Default)]
pub struct VirtualLink {
    /// Bandwidth of each direction; `None` without a limit.
    mbps: Option<f64>,
    sent_until_ns: AtomicU64,
    received_until_ns: AtomicU64,
    is_cut: AtomicBool,
}

impl VirtualLink {
    /// Builds a link with this bandwidth, or without a limit.
    pub fn new(mbps: Option<f64>) -> Self {
        Self {
            mbps,
            ..Self::default()
        }
    }

    /// Drops all messages from now on, in both directions.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }

    /// Returns whether messages are dropped.
    pub fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    /// Queues a message that is sent at a time. Returns the time at which its last byte has left.
    pub fn send(&self, at: Duration, bytes: usize) -> Duration {
        self.pass(&self.sent_until_ns, at, bytes)
    }

    /// Queues a message that arrives at a time. Returns the time at which its last byte is there.
    pub fn receive(&self, at: Duration, bytes: usize) -> Duration {
        self.pass(&self.received_until_ns, at, bytes)
    }

    fn pass(&self, busy_until_ns: &AtomicU64, at: Duration, bytes: usize) -> Duration {
        let Some(mbps) = self.mbps else {
            return at;
        };
        let busy_until = Duration::from_nanos(busy_until_ns.load(Ordering::Relaxed));
        let end = at.max(busy_until) + Duration::from_secs_f64(bytes as f64 * 8.0 / (mbps * 1e6));
        let end_ns = u64::try_from(end.as_nanos()).expect("a simulation is short");
        busy_until_ns.store(end_ns, Ordering::Relaxed);
        end
    }
}
