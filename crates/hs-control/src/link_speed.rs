//! Estimates the bandwidth of the owner's link from the times of its transactions against their bytes.
//!
//! A slow store takes long for small transactions too, a slow link only for large ones. The time of a transaction is
//! therefore fitted as a constant and a time for each byte.

use std::time::Duration;

/// Weight of a new transaction in the moving averages.
const EWMA_WEIGHT: f64 = 0.05;

/// Number of transactions before an estimate.
const MIN_TRANSACTIONS: u32 = 40;

/// Standard deviation of the sizes in bytes below which they tell nothing about the link.
const MIN_BYTES_DEVIATION: f64 = 1000.0;

/// Correlation of time and size below which the times have another cause.
const MIN_CORRELATION: f64 = 0.6;

/// Mean time of transactions from which an owner is behind. A healthy store answers within 10 ms.
const SLOW_COMMIT: Duration = Duration::from_millis(40);

/// Time of a transaction without bytes up to which the store answers fast.
const FAST_STORE: Duration = Duration::from_millis(25);

/// Moving averages of the sizes and times of transactions.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkMeter {
    count: u32,
    mean_bytes: f64,
    mean_s: f64,
    bytes_variance: f64,
    time_variance: f64,
    covariance: f64,
}

impl LinkMeter {
    /// Records a transaction that took this long.
    pub fn record_commit(&mut self, bytes: usize, duration: Duration) {
        self.count = self.count.saturating_add(1);
        // The first transactions count alike.
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(self.count));
        let bytes_off = bytes as f64 - self.mean_bytes;
        let time_off = duration.as_secs_f64() - self.mean_s;
        self.mean_bytes += weight * bytes_off;
        self.mean_s += weight * time_off;
        let update = |average: &mut f64, product: f64| {
            *average = (1.0 - weight) * (*average + weight * product);
        };
        update(&mut self.bytes_variance, bytes_off * bytes_off);
        update(&mut self.time_variance, time_off * time_off);
        update(&mut self.covariance, bytes_off * time_off);
    }

    /// Returns the mean time of transactions.
    pub fn mean_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.max(0.0))
    }

    /// Returns whether transactions take long, for whatever reason.
    pub fn is_slow(&self) -> bool {
        self.count >= MIN_TRANSACTIONS && self.mean_s >= SLOW_COMMIT.as_secs_f64()
    }

    /// Returns the bandwidth in Mbit/s if transactions take long because of their bytes.
    pub fn slow_link_mbps(&self) -> Option<f64> {
        if !self.is_slow() || self.bytes_variance < MIN_BYTES_DEVIATION * MIN_BYTES_DEVIATION {
            return None;
        }
        let correlation = self.covariance / (self.bytes_variance * self.time_variance).sqrt();
        let s_per_byte = self.covariance / self.bytes_variance;
        let s_without_bytes = self.mean_s - s_per_byte * self.mean_bytes;
        let is_link = correlation >= MIN_CORRELATION && s_without_bytes <= FAST_STORE.as_secs_f64();
        is_link.then(|| 8e-6 / s_per_byte)
    }
}
