//! Limit of the load that retries add.

use std::time::{Duration, Instant};

/// Time over which requests and retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Number of requests that allow one retry.
pub const REQUESTS_PER_RETRY: u64 = 10;
/// Number of retries within a window that need no requests.
pub const MIN_RETRIES_PER_WINDOW: u64 = 10;

const BUCKET: Duration = Duration::from_millis(100);
/// Buckets that are wholly within the window, the present one included.
const REQUEST_BUCKETS: u64 = 100;
/// Buckets that are at least partly within the window.
const RETRY_BUCKETS: u64 = REQUEST_BUCKETS + 1;

#[derive(Clone, Copy, Debug, Default)]
struct RetryBucket {
    requests: u64,
    retries: u64,
}

/// Allows retries up to 10 % of the requests of the last 10 s, and 10 more.
///
/// Counts are kept per 100 ms. The oldest, partial bucket counts for retries but not for requests,
/// so that the limit holds for any window of 10 s. Each call takes constant time: at most one pass
/// over the 101 buckets after a break.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use hs_peer::{MIN_RETRIES_PER_WINDOW, RetryBudget};
///
/// let now = Instant::now();
/// let mut budget = RetryBudget::new(now);
/// for _ in 0..MIN_RETRIES_PER_WINDOW {
///     assert!(budget.try_retry(now));
/// }
/// assert!(!budget.try_retry(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    start: Instant,
    buckets: [RetryBucket; RETRY_BUCKETS as usize],
    /// Number of the present bucket since `start`.
    present: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget that has seen no requests.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            buckets: [RetryBucket::default(); RETRY_BUCKETS as usize],
            present: 0,
            requests: 0,
            retries: 0,
        }
    }

    /// Counts a request. A retry is not a request.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.bucket(self.present).requests += 1;
        self.requests += 1;
    }

    /// Returns whether a retry is allowed, and if so counts it.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        let is_allowed = self.retries < self.requests / REQUESTS_PER_RETRY + MIN_RETRIES_PER_WINDOW;
        if is_allowed {
            self.bucket(self.present).retries += 1;
            self.retries += 1;
        }
        is_allowed
    }

    fn bucket(&mut self, number: u64) -> &mut RetryBucket {
        &mut self.buckets[(number % RETRY_BUCKETS) as usize]
    }

    /// Makes the bucket of `now` the present one. A time before it counts as the present one.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start);
        let target = (elapsed.as_millis() / BUCKET.as_millis()) as u64;
        if target.saturating_sub(self.present) >= RETRY_BUCKETS {
            self.buckets.fill(RetryBucket::default());
            (self.requests, self.retries) = (0, 0);
            self.present = target;
        }
        while self.present < target {
            self.present += 1;
            // The slot of the new bucket held the one that has left the window.
            self.retries -= std::mem::take(self.bucket(self.present)).retries;
            // The oldest bucket that remains is now partial.
            let partial = self.bucket(self.present + 1);
            self.requests -= std::mem::take(&mut partial.requests);
        }
    }
}
