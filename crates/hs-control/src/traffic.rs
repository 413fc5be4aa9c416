//! Bytes that the owner sends and receives, by what they are for.
//!
//! The counts are of contents, without the heads of calls, which the ports do not show.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hs_cell::{EndReport, StartOrder, WorkerReport};

/// Bytes of a row of a worker report or of a start without its texts.
const ROW_BYTES: usize = 60;

/// What bytes are for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TrafficKind {
    /// Transactions of the owner.
    Records,
    /// Starts that are sent to workers for the first time.
    Starts,
    /// Runs and ends in worker reports.
    Reports,
    /// Advice requests and their replies.
    Advice,
    /// Heartbeats of other processes and the replies.
    Heartbeats,
}

impl TrafficKind {
    pub(crate) const ALL: [Self; 5] = [
        Self::Records,
        Self::Starts,
        Self::Reports,
        Self::Advice,
        Self::Heartbeats,
    ];

    /// Returns the name in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Records => "records",
            Self::Starts => "starts",
            Self::Reports => "reports",
            Self::Advice => "advice",
            Self::Heartbeats => "heartbeats",
        }
    }
}

/// Counts bytes by kind. Clones share their counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficMeter {
    bytes: Arc<[AtomicU64; TrafficKind::ALL.len()]>,
}

impl TrafficMeter {
    /// Counts bytes.
    pub(crate) fn record(&self, kind: TrafficKind, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes[kind as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a start.
    pub(crate) fn record_start(&self, order: &StartOrder) {
        let ticket = order.ticket.as_ref().map_or(0, |ticket| ticket.len());
        let bytes = ROW_BYTES + order.input.len() + ticket;
        self.record(TrafficKind::Starts, bytes);
    }

    /// Counts a worker report.
    pub(crate) fn record_report(&self, report: &WorkerReport) {
        let ended = |end: &EndReport| ROW_BYTES + end.checkpoint.len();
        let running = report.running.iter();
        let running = running.map(|run| ROW_BYTES + run.checkpoint.len());
        let bytes = running.chain(report.ended.iter().map(ended)).sum();
        self.record(TrafficKind::Reports, bytes);
    }

    /// Returns the counts since the last call.
    pub(crate) fn take(&self) -> TrafficCounts {
        let take = |kind: TrafficKind| self.bytes[kind as usize].swap(0, Ordering::Relaxed);
        TrafficCounts(TrafficKind::ALL.map(|kind| (kind, take(kind))))
    }
}

/// Bytes by kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrafficCounts(pub [(TrafficKind, u64); TrafficKind::ALL.len()]);

impl fmt::Display for TrafficCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (kind, bytes) in self.0 {
            write!(f, " {}_bytes={bytes}", kind.name())?;
        }
        Ok(())
    }
}
