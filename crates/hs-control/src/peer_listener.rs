//! Listener for the other processes of the cell.
//!
//! The process serves one gRPC service, so its connections hand requests to it without a router and its
//! layers, which take about a tenth of the processor time of a call.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hs_event::EventCode;
use hs_http::ArrivalBudget;
use hs_timer::timeout;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::time::sleep;
use tonic::Status;
use tonic::codegen::Service;

use crate::control::Control;
use crate::flush_stream::FlushStream;
use crate::message::cell_server::CellServer;
use crate::open_calls::{CallWindow, OpenCalls, ReplyBody};
use crate::peer_connections::{PeerConnection, PeerConnections};
use crate::port::{ListenerPort, NetworkPort, Platform};
use crate::server::PeerServer;

/// Pause after an error that concerns the listener, such as too many open files. Without one the listener would
/// fail again at once for as long as the cause lasts.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of concurrent calls of a connection. A process has a call for each client that waits for a state, and
/// further calls of a peer wait for a free one, heartbeats included.
const MAX_STREAMS: u32 = 1024;

/// Maximum size of the head of a call. Those of peers have about 300 bytes.
const MAX_HEAD_BYTES: u32 = 2 << 10;

/// Maximum size of a message with its prefix: the default of `tonic`, which the offers of earlier versions stay under.
const MAX_BODY_BYTES: usize = (4 << 20) + 5;

/// Bytes that a connection, and each of its calls, may have in flight. HTTP/2 keeps them until the call reads them. With
/// less than 128 KiB, senders wait for a slow owner, which then does not see how much it is behind.
const RECEIVE_WINDOW_BYTES: u32 = 128 << 10;

/// Maximum time for a message to arrive. Peers give up after 3 s at most.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// What the listener for other processes may use. The default has no limits.
#[derive(Clone, Debug, Default)]
pub struct PeerLimits {
    /// Maximum number of connections.
    pub connections: Option<usize>,
    /// Maximum number of open calls, from the head of a call until its reply has been sent.
    pub calls: Option<usize>,
    /// Budget of connections, and of messages that have arrived and are not handled yet.
    pub budget: ArrivalBudget,
}

/// Accepts and serves connections.
pub(crate) async fn serve<P: Platform>(
    control: Control<P>,
    mut listener: <P as NetworkPort>::Listener,
    limits: PeerLimits,
) {
    let connections = PeerConnections::new(limits.connections.unwrap_or(usize::MAX));
    let calls = OpenCalls::new(limits.calls.unwrap_or(usize::MAX));
    let exchange = PeerExchange {
        service: CellServer::new(PeerServer {
            control: control.clone(),
        }),
        control,
        budget: limits.budget,
    };
    let mut is_failing = false;
    loop {
        match listener.accept().await {
            Ok(stream) => {
                is_failing = false;
                let (connection, closed) = connections.add().await;
                if closed > 0 {
                    let metrics = &exchange.control.context.metrics;
                    metrics.record_turned_away("peer_connections", closed);
                }
                let window = calls.add_connection();
                let served = serve_connection(stream, exchange.clone(), connection, window);
                tokio::spawn(served);
            }
            Err(error) if concerns_one_connection(&error) => {
                log::debug!("failed to accept a connection: {error}");
            }
            Err(error) => {
                if !is_failing {
                    EventCode::PeerAcceptFailed.log(format_args!("cause=\"{error}\""));
                }
                is_failing = true;
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns whether an error of the listener concerns only the connection that was to be accepted.
fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::Interrupted
            | io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
    )
}

async fn serve_connection<P: Platform>(
    stream: <P as NetworkPort>::Stream,
    exchange: PeerExchange<P>,
    connection: PeerConnection,
    window: Arc<CallWindow>,
) {
    let _lease = exchange.budget.connection_lease();
    let connection = Arc::new(connection);
    let metrics = exchange.control.context.metrics.clone();
    let (called, calls) = (connection.clone(), window.clone());
    let service = service_fn(move |request| {
        let (exchange, connection) = (exchange.clone(), called.clone());
        let mut call = calls.begin();
        async move {
            let response = exchange.reply(request, &connection).await;
            call.hand_over().await;
            Ok::<_, Infallible>(response.map(|body| ReplyBody::new(body, call)))
        }
    });
    let stream = FlushStream {
        stream,
        window: window.clone(),
    };
    let mut builder = http2::Builder::new(TokioExecutor::new());
    // All calls of a process use one connection.
    builder
        .timer(TokioTimer::new())
        // Peers don't read it, and the time of day would change the size of replies.
        .auto_date_header(false)
        .max_header_list_size(MAX_HEAD_BYTES)
        .initial_stream_window_size(RECEIVE_WINDOW_BYTES)
        .initial_connection_window_size(RECEIVE_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS);
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        result = served => if let Err(error) = result {
            log::debug!("connection of a peer ended: {error}");
        },
        () = connection.closed() => log::debug!("connection of a peer closed for others"),
        () = window.closed() => {
            metrics.record_turned_away("peer_calls", 1);
            log::debug!("connection of a peer closed, which has many open calls");
        }
    }
}

/// What a connection needs for its requests.
#[derive(Clone)]
struct PeerExchange<P> {
    control: Control<P>,
    service: CellServer<PeerServer<P>>,
    budget: ArrivalBudget,
}

impl<P: Platform> PeerExchange<P> {
    /// Reads the message of a request and handles it. All calls have one message, which counts until it is handled.
    async fn reply(
        &self,
        request: Request<Incoming>,
        connection: &PeerConnection,
    ) -> Response<tonic::body::Body> {
        let (parts, mut body) = request.into_parts();
        let read = self.budget.read_body(&mut body, MAX_BODY_BYTES);
        let message = match timeout(MESSAGE_TIMEOUT, read).await {
            Ok(Ok(message)) => message,
            Ok(Err(error)) => return self.refuse(&error.to_string()),
            Err(_) => return self.refuse("the message did not arrive in time"),
        };
        connection.record_request(self.control.platform.now());
        let request = Request::from_parts(parts, Full::new(message.bytes.clone()));
        let Ok(response) = self.service.clone().call(request).await;
        response
    }

    fn refuse(&self, cause: &str) -> Response<tonic::body::Body> {
        log::debug!("message of a peer refused: {cause}");
        self.control
            .context
            .metrics
            .record_turned_away("peer_message", 1);
        Status::resource_exhausted(cause).into_http()
    }
}
