//! A listener with limits.

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

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Largest body in bytes; a larger one gets status 413.
    pub body_bytes: usize,
    /// Largest request head in bytes; a larger one gets status 431.
    pub head_bytes: usize,
    /// Most connections at a time. Further ones wait in the accept queue of the system.
    pub connections: usize,
    /// Longest time for a request head to arrive on an open connection, idle time included.
    pub head_timeout: Duration,
    /// Longest time for a body to arrive; a slower one gets status 408.
    pub body_timeout: Duration,
    /// Longest time that calls in flight may take after a shutdown has begun.
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

/// Serves requests until `stop` becomes true, then lets the calls in flight end.
///
/// The handler runs once for each request whose body arrived within the limits.
pub async fn serve<Handler, Reply>(
    listener: TcpListener,
    limits: ServeLimits,
    mut stop: watch::Receiver<bool>,
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = wait_stopped(&mut stop) => break,
        };
        let connection = graceful.watch(connect(stream, limits, handler.clone()));
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

async fn wait_stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await;
}

/// Pause after a failed accept, which is most often a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest read buffer that `hyper` accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

fn connect<Handler, Reply>(
    stream: TcpStream,
    limits: ServeLimits,
    handler: Handler,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send
where
    Handler: Fn(HttpRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = HttpReply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(request, limits, handler.clone()));
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service)
}

async fn answer<Handler, Reply>(
    request: Request<Incoming>,
    limits: ServeLimits,
    handler: Handler,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    Handler: Fn(HttpRequest) -> Reply,
    Reply: Future<Output = HttpReply>,
{
    let (parts, body) = request.into_parts();
    let read = Limited::new(body, limits.body_bytes).collect();
    let reply = match timeout(limits.body_timeout, read).await {
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
