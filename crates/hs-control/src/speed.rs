//! Measures how fast the VM computes.
//!
//! The time that a fixed piece of work takes depends on the VM's share of a core and on what slows the VM down,
//! but little on how much work the process has. The lag of a timer cannot tell an overloaded process from one on
//! a slow VM.

use std::hash::{DefaultHasher, Hasher};
use std::hint::black_box;
use std::time::{Duration, Instant};

use crate::port::ClockPort;

/// Interval between measurements.
const MEASUREMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of the last measurements of which the fastest counts, since a measurement that is interrupted shows
/// nothing about the VM.
const MEASUREMENTS: usize = 3;

/// Number of bytes that one measurement hashes. A whole core takes about 50 us.
const WORK_BYTES: usize = 64 << 10;

/// Work of a measurement in the unit of [`ClockPort::record_work`].
const RECORDED_WORK: u64 = 330;

/// Number of bytes that are hashed at a time.
const BLOCK_BYTES: usize = 1 << 10;

/// Measures the time that a fixed piece of work takes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedMeter {
    /// The last measurements, the newest first.
    work_times: [Option<Duration>; MEASUREMENTS],
    measured_at: Option<Instant>,
}

impl SpeedMeter {
    /// Takes a measurement if the last one is old enough.
    pub(crate) fn measure_if_due(&mut self, clock: &impl ClockPort) {
        let now = clock.now();
        let is_recent = |at| now.saturating_duration_since(at) < MEASUREMENT_INTERVAL;
        if self.measured_at.is_some_and(is_recent) {
            return;
        }
        self.measured_at = Some(now);
        do_fixed_work();
        clock.record_work(RECORDED_WORK);
        self.work_times.rotate_right(1);
        self.work_times[0] = Some(clock.now().saturating_duration_since(now));
    }

    /// Returns the time that the work takes, or `None` before the first measurement.
    pub(crate) fn work_time(&self) -> Option<Duration> {
        self.work_times.iter().flatten().min().copied()
    }
}

fn do_fixed_work() {
    let block = [0x5a; BLOCK_BYTES];
    let mut hasher = DefaultHasher::new();
    for _ in 0..WORK_BYTES / BLOCK_BYTES {
        hasher.write(black_box(&block));
    }
    black_box(hasher.finish());
}
