//! Listener for the other processes of the cell.
//!
//! The process serves one gRPC service, so its connections hand requests to it without a router and its
//! layers, which take about a tenth of the processor time of a call.

use std::io;
use std::time::Duration;

use hs_event::EventCode;
use hyper::server::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::time::sleep;

use crate::control::Control;
use crate::message::cell_server::CellServer;
use crate::port::{ListenerPort, NetworkPort, Platform};
use crate::server::PeerServer;

/// Pause after an error that concerns the listener, such as too many open files. Without one the listener would
/// fail again at once for as long as the cause lasts.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

type PeerService<P> = TowerToHyperService<CellServer<PeerServer<P>>>;

/// Accepts and serves connections.
pub(crate) async fn serve<P: Platform>(
    control: Control<P>,
    mut listener: <P as NetworkPort>::Listener,
) {
    let service = TowerToHyperService::new(CellServer::new(PeerServer { control }));
    let mut is_failing = false;
    loop {
        match listener.accept().await {
            Ok(stream) => {
                is_failing = false;
                tokio::spawn(serve_connection(stream, service.clone()));
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
    service: PeerService<P>,
) {
    let mut builder = http2::Builder::new(TokioExecutor::new());
    // All calls of a process use one connection.
    builder
        .timer(TokioTimer::new())
        // Peers don't read it, and the time of day would change the size of replies.
        .auto_date_header(false)
        .max_concurrent_streams(None);
    if let Err(error) = builder
        .serve_connection(TokioIo::new(stream), service)
        .await
    {
        log::debug!("connection of a peer ended: {error}");
    }
}
