//! Starts the tasks of a process.

use hs_event::EventCode;
use std::net::SocketAddr;
use std::sync::Arc;
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
use crate::keys;
use crate::message::cell_server::CellServer;
use crate::metrics::ControlMetrics;
use crate::notify::NotifyHandle;
use crate::peers::PeerPool;
use crate::port::Platform;
use crate::server::PeerServer;
use crate::shared::{NodeContext, Ownership};
use crate::store_health::StoreHealth;

/// How often readiness is determined.
const READY_EVERY: Duration = Duration::from_millis(150);

/// How often the store is looked at while it does not answer.
const PROBE_EVERY: Duration = Duration::from_millis(150);

/// Time that such a look may take.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Name of the process's VM.
    pub node: String,
    /// Address on which other processes reach this one.
    pub peer_listen: SocketAddr,
    /// Settings of the cell.
    pub cell: CellOptions,
    /// Time that the process lets pass before it takes the cell, so that larger VMs go first.
    pub takeover_delay: Duration,
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
    metrics: ControlMetrics,
    stop: watch::Receiver<bool>,
) -> Result<Control<P>, RunError> {
    let address = options.peer_listen;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|cause| RunError::Listen { address, cause })?;
    let (config_sender, config) = watch::channel(None);
    let (ownership_sender, ownership) = watch::channel(Ownership::Unknown);
    let (ready_sender, ready) = watch::channel(false);
    let (owner_seen_sender, owner_seen) = watch::channel(None);
    let store_health = StoreHealth::default();
    let context = NodeContext {
        node: options.node.as_str().into(),
        address: address.to_string().into(),
        started_ms: platform.unix_ms(),
        config,
        ownership,
        peers: PeerPool::default(),
        store_health: store_health.clone(),
        metrics,
        owner_seen,
    };
    let control = Control {
        platform: platform.clone(),
        context: context.clone(),
        intake: IntakeHandle::spawn(platform.clone(), store_health.clone()),
        notify: NotifyHandle::spawn(context.clone()),
        ready,
    };
    tokio::spawn(config::follow(
        platform.clone(),
        store_health.clone(),
        config_sender,
    ));
    tokio::spawn(probe_store(platform.clone(), store_health));
    let election = Election {
        platform: platform.clone(),
        context: context.clone(),
        ownership: ownership_sender,
        owner_seen: Arc::new(owner_seen_sender),
        rest_until: None,
        options: options.cell,
        takeover_delay: options.takeover_delay,
        stop: stop.clone(),
    };
    tokio::spawn(election.run());
    tokio::spawn(follow_ready(platform, context, ready_sender, stop));
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
        EventCode::PeerListenerEnded.log(format_args!("cause=\"{error}\""));
    }
}

/// Looks at the store while it does not answer, so that its return is noticed soon.
async fn probe_store<P: Platform>(platform: P, health: StoreHealth) {
    loop {
        sleep(PROBE_EVERY).await;
        if health.is_away(platform.now()) {
            let answer = platform.read(keys::OWNER, PROBE_LIMIT).await;
            health.note(answer.is_ok(), platform.now());
        }
    }
}

/// Determines whether this process should get new connections: it has a configuration, reaches the owner
/// or the store, and is not about to end.
async fn follow_ready<P: Platform>(
    platform: P,
    context: NodeContext,
    ready: watch::Sender<bool>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let stopping = *stop.borrow();
        let now = platform.now();
        let store = !context.store_health.is_away(now);
        let owner = context.owner_answers(now);
        let configured = context.config.borrow().is_some();
        let serves = configured && (store || owner) && !stopping;
        let changed = ready.send_if_modified(|ready| std::mem::replace(ready, serves) != serves);
        if changed {
            EventCode::ReadinessChanged.log(format_args!(
                "ready={serves} configured={configured} store={store} owner={owner} stopping={stopping}"
            ));
        }
        tokio::select! {
            () = sleep(READY_EVERY) => {}
            _ = stop.changed() => {}
        }
    }
}
