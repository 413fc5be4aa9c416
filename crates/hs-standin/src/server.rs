//! An HTTP server whose handler may close the connection without a reply, which `hs_http::serve`
//! does not support.

use std::future::Future;

use bytes::Bytes;
use hs_http::{HttpReply, HttpRequest};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Error that makes `hyper` close the connection without a reply.
#[derive(Debug, Error)]
#[error("closed without a reply")]
struct ClosedWithoutReply;

/// Serves requests until `stop` becomes true, then closes all connections.
///
/// A handler runs to completion even if the caller disconnects, so that a call whose caller timed
/// out still takes effect. If the handler returns `None`, the connection is closed without a reply.
pub(crate) async fn serve_lossy<Handler, Reply>(
    listener: TcpListener,
    max_body_bytes: usize,
    mut stop: watch::Receiver<bool>,
    handler: Handler,
) where
    Handler: Fn(HttpRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = Option<HttpReply>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, max_body_bytes, handler.clone()));
                }
                Err(error) => log::debug!("accept failed: {error}"),
            },
            Some(_) = connections.join_next() => {}
            _ = stop.wait_for(|stopped| *stopped) => break,
        }
    }
}

async fn serve_connection<Handler, Reply>(
    stream: TcpStream,
    max_body_bytes: usize,
    handler: Handler,
) where
    Handler: Fn(HttpRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = Option<HttpReply>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service =
        service_fn(move |request| handle_request(request, max_body_bytes, handler.clone()));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection ended: {error}");
    }
}

async fn handle_request<Handler, Reply>(
    request: Request<Incoming>,
    max_body_bytes: usize,
    handler: Handler,
) -> Result<Response<Full<Bytes>>, ClosedWithoutReply>
where
    Handler: Fn(HttpRequest) -> Reply,
    Reply: Future<Output = Option<HttpReply>> + Send + 'static,
{
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, max_body_bytes).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {max_body_bytes} bytes");
            return into_response(HttpReply::error(413, "body_too_large", message));
        }
        Err(_) => return Err(ClosedWithoutReply),
    };
    let request = HttpRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    match tokio::spawn(handler(request)).await {
        Ok(Some(reply)) => into_response(reply),
        Ok(None) | Err(_) => Err(ClosedWithoutReply),
    }
}

fn into_response(reply: HttpReply) -> Result<Response<Full<Bytes>>, ClosedWithoutReply> {
    let mut response = Response::builder()
        .status(reply.status)
        .header(CONTENT_TYPE, reply.content_type);
    for (name, value) in reply.headers {
        response = response.header(name, value);
    }
    response
        .body(Full::new(reply.body))
        .map_err(|_| ClosedWithoutReply)
}
