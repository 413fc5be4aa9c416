//! HTTP server with limits on sizes, times and connections.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use crate::{HttpReply, HttpRequest};

/// Limits that a listener enforces.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Largest body in bytes; a larger one gets status 413.
    pub body_bytes: usize,
    /// Largest request head in bytes; a larger one gets status 431.
    pub head_bytes: usize,
    /// Maximum number of concurrent connections. Further ones wait in the accept queue of the
    /// system.
    pub connections: usize,
    /// Maximum time for a request head to arrive on an open connection, including idle time.
    pub head_timeout: Duration,
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
            body_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(10),
        }
    }
}

/// Serves requests until `shutdown` becomes true, then waits for the requests in flight to end, at
/// most [`ServeLimits::drain_timeout`].
///
/// The handler is called once for each request whose body arrived within the limits.
pub async fn serve<Handler, Reply>(
    listener: TcpListener,
    limits: ServeLimits,
    mut shutdown: watch::Receiver<bool>,
    handler: Handler,
) where
    Handler: Fn(HttpRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = HttpReply> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::debug!("accept failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = wait_for_shutdown(&mut shutdown) => break,
        };
        let connection = graceful.watch(build_connection(stream, limits, handler.clone()));
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
            drop(permit);
        });
    }
    drop(listener);
    let _ = timeout(limits.drain_timeout, graceful.shutdown()).await;
}

async fn wait_for_shutdown(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|requested| *requested).await;
}

/// Delay after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest read buffer that `hyper` accepts, in bytes. Smaller head limits are raised to it.
const MIN_READ_BUFFER_BYTES: usize = 8192;

fn build_connection<Handler, Reply>(
    stream: TcpStream,
    limits: ServeLimits,
    handler: Handler,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send
where
    Handler: Fn(HttpRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = HttpReply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handle_request(request, limits, handler.clone()));
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service)
}

async fn handle_request<Handler, Reply>(
    request: Request<Incoming>,
    limits: ServeLimits,
    handler: Handler,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    Handler: Fn(HttpRequest) -> Reply,
    Reply: Future<Output = HttpReply>,
{
    let (parts, body) = request.into_parts();
    let read_body = Limited::new(body, limits.body_bytes).collect();
    let reply = match timeout(limits.body_timeout, read_body).await {
        Err(_) => HttpReply::error(
            408,
            "body_timeout",
            "the request body did not arrive in time",
        ),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => HttpReply::error(
            413,
            "body_too_large",
            format!("the request body exceeds {} bytes", limits.body_bytes),
        ),
        Ok(Err(error)) => HttpReply::error(400, "body_unreadable", error.to_string()),
        Ok(Ok(collected)) => {
            let request = HttpRequest {
                method: parts.method,
                path: parts.uri.path().to_owned(),
                query: parts.uri.query().unwrap_or_default().to_owned(),
                headers: parts.headers,
                body: collected.to_bytes(),
            };
            handler(request).await
        }
    };
    Ok(reply.into_response())
}
