//! Starts the tasks of a process.

use std::net::SocketAddr;
use std::time::Duration;

use hs_cell::CellOptions;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::config;
use crate::control::Control;
use crate::election::Election;
use crate::intake::IntakeHandle;
use crate::message::cell_server::CellServer;
use crate::notify::NotifyHandle;
use crate::peers::PeerPool;
use crate::port::Platform;
use crate::server::PeerServer;
use crate::shared::{NodeContext, Ownership};

/// How often readiness is determined while an owner is known.
const READY_EVERY: Duration = Duration::from_millis(250);

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Name of the process's VM.
    pub node: String,
    /// Address on which other processes reach this one.
    pub peer_listen: SocketAddr,
    /// Settings of the cell.
    pub cell: CellOptions,
}

/// Why a process can't run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The listener for peers can't be opened.
    #[error("listening for peers on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system answered.
        cause: std::io::Error,
    },
}

/// Starts all tasks. They end with the runtime, and give the cell up when `stop` becomes true.
///
/// # Errors
///
/// Returns [`RunError::Listen`] if the listener for peers can't be opened.
pub async fn run<P: Platform>(
    platform: P,
    options: ControlOptions,
    stop: watch::Receiver<bool>,
) -> Result<Control<P>, RunError> {
    let address = options.peer_listen;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|cause| RunError::Listen { address, cause })?;
    let (config_sender, config) = watch::channel(None);
    let (ownership_sender, ownership) = watch::channel(Ownership::Unknown);
    let (ready_sender, ready) = watch::channel(false);
    let context = NodeContext {
        node: options.node.as_str().into(),
        address: address.to_string().into(),
        started_ms: platform.unix_ms(),
        config,
        ownership,
        peers: PeerPool::default(),
    };
    let control = Control {
        platform: platform.clone(),
        context: context.clone(),
        intake: IntakeHandle::spawn(platform.clone()),
        notify: NotifyHandle::spawn(context.clone()),
        ready,
    };
    tokio::spawn(config::follow(platform.clone(), config_sender));
    let election = Election {
        platform,
        context: context.clone(),
        ownership: ownership_sender,
        options: options.cell,
        stop: stop.clone(),
    };
    tokio::spawn(election.run());
    tokio::spawn(follow_ready(context, ready_sender, stop));
    tokio::spawn(serve_peers(control.clone(), listener));
    Ok(control)
}

async fn serve_peers<P: Platform>(control: Control<P>, listener: TcpListener) {
    let service = CellServer::new(PeerServer { control });
    let incoming = TcpListenerStream::new(listener);
    let served = Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming(incoming);
    if let Err(error) = served.await {
        log::error!("E8105 peer listener ended: {error}");
    }
}

/// Determines whether this process should get new connections: it has a configuration and an owner,
/// and is not about to end.
async fn follow_ready(
    context: NodeContext,
    ready: watch::Sender<bool>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let stopping = *stop.borrow();
        let owned = !matches!(*context.ownership.borrow(), Ownership::Unknown);
        let configured = context.config.borrow().is_some();
        let now = configured && owned && !stopping;
        let changed = ready.send_if_modified(|current| std::mem::replace(current, now) != now);
        if changed {
            log::info!("E8005 readiness changed ready={now} configured={configured} owner={owned} stopping={stopping}");
        }
        tokio::select! {
            () = sleep(READY_EVERY) => {}
            _ = stop.changed() => {}
        }
    }
}
