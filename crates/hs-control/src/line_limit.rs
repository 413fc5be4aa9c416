//! A bound on the number of log lines of one kind.

use std::time::{Duration, Instant};

/// Lets a number of lines pass in each interval, and counts the others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineLimit {
    max_lines: u32,
    interval: Duration,
    began_at: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl LineLimit {
    /// Creates a limit of `max_lines` in each interval.
    pub(crate) fn new(max_lines: u32, interval: Duration) -> Self {
        Self {
            max_lines,
            interval,
            began_at: None,
            lines: 0,
            left_out: 0,
        }
    }

    /// Returns the number of lines that were left out before this one, or `None` if this one is left out too.
    pub(crate) fn next_line(&mut self, now: Instant) -> Option<u64> {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= self.interval;
        if self.began_at.is_none_or(is_over) {
            self.began_at = Some(now);
            self.lines = 0;
        }
        if self.lines >= self.max_lines {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
