//! HTTP client for many small calls to many peers.

use std::collections::{HashMap, VecDeque};
use std::error::Error;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hs_timer::timeout;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use serde::Serialize;
use tokio::time::sleep;

use crate::byte_budget::HolderKind;
use crate::call::{MAX_REPLY_BYTES, no_reply, not_sent};
use crate::connection::{Connection, ExchangeError};
use crate::connection_pools::{CONNECT_TIMEOUT, POOL_IDLE_TIMEOUT};
use crate::{ArrivalBudget, CallError, CallReply};

/// Interval at which idle connections are checked for their age.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of idle connections to a peer: one for a call that is long-polled, and one for the others.
pub const MAX_IDLE_CONNECTIONS: usize = 2;

/// An HTTP/1.1 client whose calls read and write their connections themselves. Clones share the connections.
///
/// A call takes an idle connection to its peer or opens one, and returns it after a complete reply. No
/// task of the connection is involved, as it is in [`crate::HttpClient`].
///
/// A peer keeps [`MAX_IDLE_CONNECTIONS`] connections at most, which take turns. One that is only needed now and then,
/// such as that for orders beside a call that is long-polled, thus stays open.
#[derive(Clone, Debug, Default)]
pub struct DirectClient {
    idle: Arc<Mutex<IdleConnections>>,
    budget: ArrivalBudget,
}

/// Header that a request has in addition to those of all requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestHeader<'a> {
    /// Name, in lower case.
    pub name: &'static str,
    /// Value, of printable ASCII characters.
    pub value: &'a str,
}

/// Open connections that no call uses.
#[derive(Debug, Default)]
struct IdleConnections {
    /// Connections of each peer, the one that has been idle for longest first.
    by_peer: HashMap<Arc<str>, VecDeque<IdleConnection>>,
    /// Whether the task that closes old connections runs.
    is_swept: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Box<Connection>,
    idle_since: Instant,
}

impl IdleConnection {
    fn is_fresh(&self) -> bool {
        self.idle_since.elapsed() < POOL_IDLE_TIMEOUT
    }
}

impl DirectClient {
    /// Creates a client whose replies are read under a budget.
    pub fn with_budget(budget: ArrivalBudget) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Sends a POST request with a JSON body, once at most, and waits at most `call_timeout` for the reply.
    ///
    /// After a call without a reply in time, the next one to the peer only uses a connection that has carried a reply
    /// meanwhile, or a new one.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the request is invalid, no connection could be opened in time, or it ended
    /// before any byte of the request was written; [`CallError::NoResources`] if this process can't open one; else
    /// [`CallError::NoReply`].
    pub async fn post_json(
        &self,
        operation: &'static str,
        peer: &Arc<str>,
        path: &str,
        header: RequestHeader<'_>,
        body: &impl Serialize,
        call_timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let request = request_of(peer, path, header, body);
        let request = request.map_err(|error| not_sent(operation, peer, &*error))?;
        let began_at = Instant::now();
        let opened_at = OnceLock::new();
        let exchange = self.exchange(operation, peer, request, &opened_at);
        match timeout(call_timeout, exchange).await {
            Ok(result) => result,
            Err(elapsed) => {
                self.close_unproven(peer, began_at);
                match opened_at.get() {
                    Some(at) => Err(no_reply(operation, peer, Some(*at), &elapsed)),
                    None => Err(not_sent(operation, peer, &elapsed)),
                }
            }
        }
    }

    /// Sends a request on an idle connection, or on one that it opens. `opened_at` is set as soon as the connection is
    /// open, before anything is sent.
    async fn exchange(
        &self,
        operation: &'static str,
        peer: &Arc<str>,
        request: Request<Full<Bytes>>,
        opened_at: &OnceLock<Instant>,
    ) -> Result<CallReply, CallError> {
        let mut connection = match self.take_idle(peer) {
            Some(connection) => connection,
            None => open(operation, peer).await?,
        };
        let at = *opened_at.get_or_init(|| connection.opened_at);
        let lease = self.budget.lease(HolderKind::Reply);
        let exchange = connection.exchange(request, MAX_REPLY_BYTES, &lease);
        match exchange.await {
            Ok(reply) => {
                self.put_back(peer, connection);
                Ok(reply)
            }
            Err(error @ ExchangeError::NotSent(_)) => Err(not_sent(operation, peer, &error)),
            Err(error) => Err(no_reply(operation, peer, Some(at), &error)),
        }
    }

    /// Takes the usable connection that has been idle for longest, so that none reaches its maximum age while there
    /// are calls.
    fn take_idle(&self, peer: &str) -> Option<Box<Connection>> {
        let mut idle = self.lock();
        let connections = idle.by_peer.get_mut(peer)?;
        while let Some(mut oldest) = connections.pop_front() {
            if oldest.is_fresh() && oldest.connection.is_usable() {
                return Some(oldest.connection);
            }
        }
        None
    }

    /// Closes the idle connections to a peer that have carried no reply since this time. What has silenced one
    /// connection for good, without a reset, has often silenced all that were open.
    fn close_unproven(&self, peer: &str, since: Instant) {
        let mut idle = self.lock();
        if let Some(connections) = idle.by_peer.get_mut(peer) {
            connections.retain(|idle| idle.idle_since >= since);
        }
    }

    fn put_back(&self, peer: &Arc<str>, connection: Box<Connection>) {
        let returned = IdleConnection {
            connection,
            idle_since: Instant::now(),
        };
        let mut idle = self.lock();
        match idle.by_peer.get_mut(peer) {
            Some(connections) => {
                connections.push_back(returned);
                if connections.len() > MAX_IDLE_CONNECTIONS {
                    connections.pop_front();
                }
            }
            None => {
                idle.by_peer.insert(peer.clone(), [returned].into());
            }
        }
        if !std::mem::replace(&mut idle.is_swept, true) {
            tokio::spawn(close_old_connections(self.clone()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(operation: &'static str, peer: &Arc<str>) -> Result<Box<Connection>, CallError> {
    match timeout(CONNECT_TIMEOUT, Connection::open(peer)).await {
        Ok(Ok(connection)) => Ok(Box::new(connection)),
        Ok(Err(error)) => Err(not_sent(operation, peer, &error)),
        Err(elapsed) => Err(not_sent(operation, peer, &elapsed)),
    }
}

/// Returns a request in origin form.
///
/// # Errors
///
/// Returns an error if a value can't be part of a head, or if the body can't be serialised.
fn request_of(
    peer: &str,
    path: &str,
    header: RequestHeader<'_>,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, Box<dyn Error>> {
    let body = serde_json::to_vec(body)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, peer)
        .header(CONTENT_TYPE, "application/json")
        .header(header.name, header.value)
        .body(Full::new(Bytes::from(body)))?;
    Ok(request)
}

/// Closes connections that have been idle for [`POOL_IDLE_TIMEOUT`], until none is left.
async fn close_old_connections(client: DirectClient) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let mut idle = client.lock();
        idle.by_peer.retain(|_, connections| {
            connections.retain(IdleConnection::is_fresh);
            !connections.is_empty()
        });
        if idle.by_peer.is_empty() {
            idle.is_swept = false;
            return;
        }
    }
}
