//! Counts of what a process has turned away, by reason.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a request or a connection was turned away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TurnedAway {
    /// The memory for bodies was short.
    Memory,
    /// The body was larger than allowed.
    BodySize,
    /// The body did not arrive in time.
    BodyTime,
    /// The request was refused by its head, before its body was read.
    Head,
    /// The head did not arrive in time.
    HeadTime,
    /// The connection was idle for longer than allowed.
    Idle,
    /// The connection was idle or slow while others waited for one.
    Connections,
}

impl TurnedAway {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Memory,
        Self::BodySize,
        Self::BodyTime,
        Self::Head,
        Self::HeadTime,
        Self::Idle,
        Self::Connections,
    ];

    /// Returns the name of the reason in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::BodySize => "body_size",
            Self::BodyTime => "body_time",
            Self::Head => "head",
            Self::HeadTime => "head_time",
            Self::Idle => "idle",
            Self::Connections => "connections",
        }
    }
}

/// Counts by reason. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct RefusalCounts {
    counts: Arc<[AtomicU64; TurnedAway::ALL.len()]>,
}

impl RefusalCounts {
    /// Counts a request or connection.
    pub fn record(&self, reason: TurnedAway) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts since the last call, without the reasons that have none.
    pub fn take(&self) -> Vec<(TurnedAway, u64)> {
        let reasons = TurnedAway::ALL.into_iter();
        let counts = reasons.map(|reason| {
            let count = self.counts[reason as usize].swap(0, Ordering::Relaxed);
            (reason, count)
        });
        counts.filter(|(_, count)| *count > 0).collect()
    }
}
