//! HTTP server with limits on sizes, times and connections.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::EXPECT;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::arrival_budget::ArrivalBudget;
use crate::byte_budget::HolderKind;
use crate::connection_phase::{ConnectionOverflow, ConnectionPhase, PhaseLimits};
use crate::connections::{Connections, PhaseReporter, ReportingStream};
use crate::read_body::{ReadError, discard_body, read_body};
use crate::refusals::{RefusalCounts, TurnedAway};
use crate::{HttpReply, HttpRequest, RequestHead};

/// Limits that a listener enforces.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Largest body in bytes; a larger one gets status 413.
    pub body_bytes: usize,
    /// Largest request head in bytes; a larger one gets status 431.
    pub head_bytes: usize,
    /// Maximum number of concurrent connections; see [`ConnectionOverflow`] for further ones.
    pub connections: usize,
    /// Maximum time for a request head to arrive, from its first byte on.
    pub head_timeout: Duration,
    /// Maximum time that an open connection may be without a request; `None` if it is the same as
    /// [`Self::head_timeout`].
    pub idle_timeout: Option<Duration>,
    /// Maximum time for a body to arrive; a slower one gets status 408.
    pub body_timeout: Duration,
    /// Maximum time that requests in flight may take after a shutdown has begun.
    pub drain_timeout: Duration,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            head_bytes: 16 << 10,
            connections: 4096,
            head_timeout: Duration::from_secs(30),
            idle_timeout: None,
            body_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(10),
        }
    }
}

impl ServeLimits {
    fn phase_limits(&self) -> PhaseLimits {
        PhaseLimits {
            idle: self.idle_timeout.unwrap_or(self.head_timeout),
            head: self.head_timeout,
        }
    }
}

/// What listeners of a process share.
#[derive(Clone, Debug, Default)]
pub struct ListenerGuard {
    /// Bytes that have arrived and are not handled yet.
    pub budget: ArrivalBudget,
    /// Counts of what was turned away.
    pub counts: RefusalCounts,
    /// What happens to callers beyond the connections of a listener.
    pub overflow: ConnectionOverflow,
}

/// Serves requests until `shutdown` becomes true, then waits for the requests in flight to end, at
/// most [`ServeLimits::drain_timeout`].
///
/// The handler is called once for each request whose body arrived within the limits.
pub async fn serve<Handler, Reply>(
    listener: TcpListener,
    limits: ServeLimits,
    shutdown: watch::Receiver<bool>,
    handler: Handler,
) where
    Handler: Fn(HttpRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = HttpReply> + Send + 'static,
{
    let (_sender, limits) = watch::channel(limits);
    let guard = ListenerGuard::default();
    let confirm = |_, refusal| std::future::ready(refusal);
    serve_guarded(
        listener,
        limits,
        guard,
        shutdown,
        |_| None,
        confirm,
        handler,
    )
    .await;
}

/// Serves requests like [`serve`], under limits that may change, and a budget that listeners share.
///
/// `check_head` may refuse a request before its body is read. `confirm` returns the reply to a request, without its body,
/// that is refused because memory is short, from the refusal that it would get. The number of connections does not change.
pub async fn serve_guarded<Check, Confirm, Confirmed, Handler, Reply>(
    listener: TcpListener,
    limits: watch::Receiver<ServeLimits>,
    guard: ListenerGuard,
    mut shutdown: watch::Receiver<bool>,
    check_head: Check,
    confirm: Confirm,
    handler: Handler,
) where
    Check: Fn(RequestHead<'_>) -> Option<HttpReply> + Clone + Send + Sync + 'static,
    Confirm: Fn(HttpRequest, HttpReply) -> Confirmed + Clone + Send + Sync + 'static,
    Confirmed: Future<Output = HttpReply> + Send + 'static,
    Handler: Fn(HttpRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = HttpReply> + Send + 'static,
{
    let max_connections = limits.borrow().connections;
    let connections = Connections::new(max_connections, guard.clone());
    let graceful = GracefulShutdown::new();
    let accept = async {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::debug!("accept failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let entry = connections.add().await;
            let exchange = Exchange {
                limits: limits.clone(),
                guard: guard.clone(),
                reporter: entry.reporter(),
                check_head: check_head.clone(),
                confirm: confirm.clone(),
                handler: handler.clone(),
            };
            let connection = graceful.watch(build_connection(stream, exchange));
            tokio::spawn(async move {
                tokio::select! {
                    result = connection => if let Err(error) = result {
                        log::debug!("connection ended: {error}");
                    },
                    () = entry.closed() => log::debug!("connection closed for others"),
                }
            });
        }
    };
    let sweep = connections.sweep(|| limits.borrow().phase_limits());
    tokio::select! {
        () = accept => {}
        () = sweep => {}
        () = wait_for_shutdown(&mut shutdown) => {}
    }
    drop(listener);
    let drain_timeout = limits.borrow().drain_timeout;
    let _ = timeout(drain_timeout, graceful.shutdown()).await;
}

async fn wait_for_shutdown(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|requested| *requested).await;
}

/// Delay after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest read buffer that `hyper` accepts, in bytes. Smaller head limits are raised to it.
const MIN_READ_BUFFER_BYTES: usize = 8192;

/// Time after which a client should retry a request for which memory was short, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// What a connection needs for its requests.
#[derive(Clone)]
struct Exchange<Check, Confirm, Handler> {
    limits: watch::Receiver<ServeLimits>,
    guard: ListenerGuard,
    reporter: PhaseReporter,
    check_head: Check,
    confirm: Confirm,
    handler: Handler,
}

fn build_connection<Check, Confirm, Confirmed, Handler, Reply>(
    stream: TcpStream,
    exchange: Exchange<Check, Confirm, Handler>,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send
where
    Check: Fn(RequestHead<'_>) -> Option<HttpReply> + Clone + Send + Sync + 'static,
    Confirm: Fn(HttpRequest, HttpReply) -> Confirmed + Clone + Send + Sync + 'static,
    Confirmed: Future<Output = HttpReply> + Send + 'static,
    Handler: Fn(HttpRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = HttpReply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let limits = *exchange.limits.borrow();
    let phase_limits = limits.phase_limits();
    let stream = ReportingStream {
        stream,
        reporter: exchange.reporter.clone(),
    };
    let service = service_fn(move |request| {
        let exchange = exchange.clone();
        async move { Ok::<_, Infallible>(exchange.reply(request).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        // The time-outs of the phases are shorter, except for a head whose begin came together with the request before.
        .header_read_timeout(phase_limits.idle.max(phase_limits.head))
        .max_buf_size(limits.head_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service)
}

impl<Check, Confirm, Confirmed, Handler, Reply> Exchange<Check, Confirm, Handler>
where
    Check: Fn(RequestHead<'_>) -> Option<HttpReply>,
    Confirm: Fn(HttpRequest, HttpReply) -> Confirmed,
    Confirmed: Future<Output = HttpReply>,
    Handler: Fn(HttpRequest) -> Reply,
    Reply: Future<Output = HttpReply>,
{
    async fn reply(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.reporter.enter(ConnectionPhase::Body);
        let (parts, mut body) = request.into_parts();
        let reply = match self.refuse_head(&parts) {
            Some(reply) => Err(reply),
            None => self.read_and_handle(parts, &mut body).await,
        };
        let reply = reply.unwrap_or_else(|refusal| {
            let max_bytes = self.limits.borrow().body_bytes;
            // A client that is still sending would otherwise lose the reply to the reset of its connection.
            if !body.is_end_stream() {
                tokio::spawn(discard_body(body, max_bytes));
            }
            refusal
        });
        self.reporter.enter(ConnectionPhase::Idle);
        reply.into_response()
    }

    fn refuse_head(&self, parts: &Parts) -> Option<HttpReply> {
        let head = RequestHead {
            path: parts.uri.path(),
            headers: &parts.headers,
        };
        let refusal = (self.check_head)(head)?;
        self.guard.counts.record(TurnedAway::Head);
        // The body is not read before a client that expects a go-ahead has got its refusal.
        match parts.headers.contains_key(EXPECT) {
            true => Some(refusal.with_header("connection", "close")),
            false => Some(refusal),
        }
    }

    /// Returns the reply of the handler, or a refusal if the body could not be read.
    async fn read_and_handle(
        &self,
        parts: Parts,
        body: &mut Incoming,
    ) -> Result<HttpReply, HttpReply> {
        let limits = *self.limits.borrow();
        let lease = self.guard.budget.lease(HolderKind::Request);
        let read = read_body(body, limits.body_bytes, &lease);
        let body = match timeout(limits.body_timeout, read).await {
            Err(_) => return Err(self.refusal(TurnedAway::BodyTime, limits)),
            Ok(Err(ReadError::TooLarge(_))) => {
                return Err(self.refusal(TurnedAway::BodySize, limits));
            }
            Ok(Err(ReadError::BudgetShort)) => {
                drop(lease);
                let refusal = self.refusal(TurnedAway::Memory, limits);
                let request = request_from_parts(parts, Bytes::new());
                return Err((self.confirm)(request, refusal).await);
            }
            Ok(Err(ReadError::Broken(error))) => {
                return Err(HttpReply::error(400, "body_unreadable", error.to_string()));
            }
            Ok(Ok(body)) => body,
        };
        if !self.reporter.enter(ConnectionPhase::Handling) {
            return Err(self.refusal(TurnedAway::Memory, limits));
        }
        let reply = (self.handler)(request_from_parts(parts, body)).await;
        drop(lease);
        Ok(reply)
    }

    fn refusal(&self, reason: TurnedAway, limits: ServeLimits) -> HttpReply {
        self.guard.counts.record(reason);
        let reply = match reason {
            TurnedAway::BodyTime => HttpReply::error(
                408,
                "body_timeout",
                "the request body did not arrive in time",
            ),
            TurnedAway::BodySize => HttpReply::error(
                413,
                "body_too_large",
                format!("the request body exceeds {} bytes", limits.body_bytes),
            ),
            _ => HttpReply::error(
                503,
                "overloaded",
                "memory for bodies is short; the request was not handled",
            )
            .with_retry_after_ms(Some(RETRY_AFTER_MS)),
        };
        reply.with_header("connection", "close")
    }
}

fn request_from_parts(parts: Parts, body: Bytes) -> HttpRequest {
    HttpRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    }
}
