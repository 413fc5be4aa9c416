//! Connection pools of an [`HttpClient`](crate::HttpClient), which are renewed when connections have fallen silent.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// A pool of `hyper`, which clones share.
pub(crate) type SharedPool = Client<HttpConnector, Full<Bytes>>;

/// Largest read buffer of a connection in bytes. A reply in one piece would otherwise raise it to 400 KiB, which the
/// connection keeps.
pub(crate) const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Timeout for opening a connection. Workers, store and peers reply within milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed. It is shorter than the head timeout of
/// `ServeLimits`, so that the server does not close a connection at the moment of its reuse.
pub(crate) const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of peers with a pool of their own. Beyond it, all return to the pool of the others.
const MAX_RENEWED_POOLS: usize = 256;

/// One pool for all peers, and another one for each peer that has left a call without a reply.
#[derive(Debug)]
pub(crate) struct ConnectionPools {
    common: SharedPool,
    renewed: Mutex<HashMap<String, RenewedPool>>,
}

#[derive(Debug)]
struct RenewedPool {
    pool: SharedPool,
    since: Instant,
}

impl Default for ConnectionPools {
    fn default() -> Self {
        Self {
            common: new_pool(),
            renewed: Mutex::default(),
        }
    }
}

impl ConnectionPools {
    /// Returns the pool for the next call to a peer.
    pub(crate) fn pool(&self, peer: &str) -> SharedPool {
        let renewed = self.lock();
        let own = renewed.get(peer).map(|renewed| &renewed.pool);
        own.unwrap_or(&self.common).clone()
    }

    /// Watches a call to a peer, which begins now, for a reply within `limit`.
    pub(crate) fn watch_silence<'a>(&'a self, peer: &'a str, limit: Duration) -> SilenceGuard<'a> {
        SilenceGuard {
            pools: self,
            peer,
            began_at: Instant::now(),
            limit,
            has_ended: false,
        }
    }

    /// Lets later calls to a peer use new connections, after one that began at this time got no reply. What has silenced
    /// one connection for good, without a reset, has often silenced all that were open. Calls in progress go on.
    fn renew(&self, peer: &str, began_at: Instant) {
        let mut renewed = self.lock();
        if renewed
            .get(peer)
            .is_some_and(|renewed| renewed.since > began_at)
        {
            return;
        }
        if renewed.len() >= MAX_RENEWED_POOLS {
            renewed.clear();
        }
        let pool = RenewedPool {
            pool: new_pool(),
            since: Instant::now(),
        };
        renewed.insert(peer.to_owned(), pool);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, RenewedPool>> {
        self.renewed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call in progress. The connections to its peer are renewed if it is dropped after its limit without a reply or an error.
///
/// A call that ends in time because this process gives it up says nothing about its connection.
pub(crate) struct SilenceGuard<'a> {
    pools: &'a ConnectionPools,
    peer: &'a str,
    began_at: Instant,
    limit: Duration,
    has_ended: bool,
}

impl SilenceGuard<'_> {
    /// Records that the call has a reply or an error.
    pub(crate) fn end(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended && self.began_at.elapsed() >= self.limit {
            self.pools.renew(self.peer, self.began_at);
        }
    }
}

fn new_pool() -> SharedPool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        // If a pooled connection closes during a request, the client reports an error instead
        // of sending the request again, so that the caller decides whether a retry is safe.
        .retry_canceled_requests(false)
        .http1_max_buf_size(MAX_READ_BUFFER_BYTES)
        .build(connector)
}
