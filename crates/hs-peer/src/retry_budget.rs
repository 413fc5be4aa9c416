//! Limit on the load that retries add.

use std::time::{Duration, Instant};

/// Length of the sliding window in which requests and retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Number of requests in the window that allow one more retry.
pub const REQUESTS_PER_RETRY: u64 = 10;
/// Number of retries that are allowed in the window in addition to the share of the requests.
pub const BASE_RETRIES_PER_WINDOW: u64 = 10;

/// Time for which each bucket counts requests and retries.
const BUCKET_DURATION: Duration = Duration::from_millis(100);
/// Number of buckets that are entirely within the window, including the current one.
const REQUEST_BUCKETS: u64 = 100;
/// Number of buckets that are at least partly within the window.
const RETRY_BUCKETS: u64 = REQUEST_BUCKETS + 1;

#[derive(Clone, Copy, Debug, Default)]
struct RetryBucket {
    requests: u64,
    retries: u64,
}

/// Allows retries up to 10 % of the requests in the last 10 s, and 10 more.
///
/// Requests and retries are counted in buckets of 100 ms. The oldest bucket is only partly within
/// the window. Its retries count but its requests do not, so that the limit holds for any window of
/// 10 s. Each call takes constant time: at most one pass over the 101 buckets after a time without
/// calls.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use hs_peer::{BASE_RETRIES_PER_WINDOW, RetryBudget};
///
/// let now = Instant::now();
/// let mut budget = RetryBudget::new(now);
/// for _ in 0..BASE_RETRIES_PER_WINDOW {
///     assert!(budget.try_retry(now));
/// }
/// assert!(!budget.try_retry(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    start: Instant,
    buckets: [RetryBucket; RETRY_BUCKETS as usize],
    /// Number of the current bucket, counted from `start`.
    current: u64,
    requests_in_window: u64,
    retries_in_window: u64,
}

impl RetryBudget {
    /// Creates a budget without requests or retries, which starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            buckets: [RetryBucket::default(); RETRY_BUCKETS as usize],
            current: 0,
            requests_in_window: 0,
            retries_in_window: 0,
        }
    }

    /// Counts a request. Retries must not be counted as requests.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.bucket(self.current).requests += 1;
        self.requests_in_window += 1;
    }

    /// Returns whether a retry is allowed, and counts it if so.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        let is_allowed = self.retries_in_window
            < self.requests_in_window / REQUESTS_PER_RETRY + BASE_RETRIES_PER_WINDOW;
        if is_allowed {
            self.bucket(self.current).retries += 1;
            self.retries_in_window += 1;
        }
        is_allowed
    }

    fn bucket(&mut self, number: u64) -> &mut RetryBucket {
        &mut self.buckets[(number % RETRY_BUCKETS) as usize]
    }

    /// Moves the window so that the bucket of `now` is the current one. A time before the current
    /// bucket leaves the window as it is.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start);
        let now_bucket = (elapsed.as_millis() / BUCKET_DURATION.as_millis()) as u64;
        if now_bucket.saturating_sub(self.current) >= RETRY_BUCKETS {
            self.buckets.fill(RetryBucket::default());
            (self.requests_in_window, self.retries_in_window) = (0, 0);
            self.current = now_bucket;
        }
        while self.current < now_bucket {
            self.current += 1;
            // The new bucket reuses the slot of the bucket that has left the window.
            self.retries_in_window -= std::mem::take(self.bucket(self.current)).retries;
            // The oldest remaining bucket is now only partly within the window.
            let partial = self.bucket(self.current + 1);
            self.requests_in_window -= std::mem::take(&mut partial.requests);
        }
    }
}
