//! Start and shutdown of an entry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use hs_config::{LimitSettings, Settings};
use hs_event::EventCode;
use hs_http::{ServeLimits, serve};
use hs_peer::MemberOptions;
use hs_wire::VmList;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::api::{CallerApi, ControlApi};
use crate::ledger::LedgerHandle;
use crate::link::LinkHandle;
use crate::member::{MemberHandle, MemberSnapshot};
use crate::metrics::NodeMetrics;
use crate::peer::{PeerPool, PeerServerTask};
use crate::placer::PlacerHandle;
use crate::port::{ClockPort, HttpPlatform, Platform};
use crate::shared::NodeShared;
use crate::spawn::{TaskInputs, spawn_tasks};
use crate::sync::SyncHandle;

/// Timeout of each of these steps of the shutdown: releasing the partitions, announcing the
/// shutdown to the peers, and releasing the leases. A store that is down must not delay the
/// shutdown; the next owners then have to wait until the leases expire, and for the takeover
/// timeout of the partitions.
const SHUTDOWN_STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Error that prevents the start of an entry process.
#[derive(Debug, Error)]
pub enum RunError {
    /// A listening socket could not be opened.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics exporter could not be registered.
    #[error("set up metrics: {0}")]
    Metrics(String),
}

/// The listening sockets of one process, opened before it starts.
pub struct NodeListeners {
    /// Listener for callers.
    pub caller: TcpListener,
    /// Listener for operators.
    pub control: TcpListener,
    /// Listener for peers.
    pub peer: TcpListener,
}

impl NodeListeners {
    /// Opens the listeners at the addresses in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if a listener cannot be opened.
    pub async fn bind(settings: &Settings) -> Result<Self, RunError> {
        Ok(Self {
            caller: bind(settings.caller_listen).await?,
            control: bind(settings.control_listen).await?,
            peer: bind(settings.peer_listen).await?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| RunError::Listen { address, source })
}

/// Runs an entry process with the HTTP adapters until `stop` becomes true, then shuts it down.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub async fn run(settings: Settings, stop: watch::Receiver<bool>) -> Result<(), RunError> {
    let listeners = NodeListeners::bind(&settings).await?;
    let platform = HttpPlatform::new(settings.store, settings.vm_list);
    run_with(settings, platform, listeners, stop).await
}

/// Runs an entry process with the given adapters and listeners.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub async fn run_with<P: Platform>(
    settings: Settings,
    platform: P,
    listeners: NodeListeners,
    mut stop: watch::Receiver<bool>,
) -> Result<(), RunError> {
    let (placer, placer_messages) = PlacerHandle::channel();
    let (links, link_messages) = LinkHandle::channel();
    let (ledger, partition_messages) = LedgerHandle::channels();
    let (member_task, member_messages) = MemberHandle::channel();
    let (sync, sync_messages) = SyncHandle::channel();
    let (manifest_sender, manifest) = watch::channel(None);
    let (vms_sender, vms) = watch::channel(Arc::new(VmList::default()));
    let incarnation = platform.clock().wall_ms();
    let options = member_options(&settings, incarnation);
    let (snapshots, members) = watch::channel(Arc::new(MemberSnapshot::without_peers(
        &options,
        platform.clock().now(),
    )));
    let metrics = NodeMetrics::new().map_err(|error| RunError::Metrics(error.to_string()))?;
    let (shutdown_sender, is_shutting_down) = watch::channel(false);
    let shared = Arc::new(NodeShared {
        incarnation,
        settings,
        platform,
        placer,
        links,
        ledger,
        peers: PeerPool::default(),
        member_task,
        members,
        manifest,
        vms,
        metrics,
        is_shutting_down: is_shutting_down.clone(),
        next_check: AtomicU64::new(0),
        next_takeover: AtomicU64::new(1),
        next_seed: AtomicU64::new(0),
    });
    EventCode::ProcessStarted.log(format_args!(
        "id={} data_centre={} version={} callers={}",
        shared.settings.id,
        shared.settings.data_centre,
        env!("CARGO_PKG_VERSION"),
        shared.settings.caller_listen,
    ));
    let inputs = TaskInputs {
        placer_messages,
        link_messages,
        member_messages,
        sync_messages,
        partition_messages,
        snapshots,
        manifest_sender,
        vms_sender,
        sync,
        options,
    };
    spawn_tasks(&shared, inputs);
    let (end_sender, is_ended) = watch::channel(false);
    let peer_server = PeerServerTask::new(shared.clone()).run(listeners.peer, is_ended.clone());
    let peer_server = tokio::spawn(async move {
        if let Err(error) = peer_server.await {
            EventCode::PeerListenerEnded.log(format_args!("cause={error}"));
        }
    });
    let limits = serve_limits(shared.settings.limits);
    let caller = Arc::new(CallerApi::new(shared.clone()));
    let callers = tokio::spawn(serve(
        listeners.caller,
        limits,
        is_shutting_down,
        move |request| {
            let caller = caller.clone();
            async move { caller.handle(request).await }
        },
    ));
    let control = Arc::new(ControlApi::new(shared.clone()));
    tokio::spawn(serve(listeners.control, limits, is_ended, move |request| {
        let control = control.clone();
        async move { control.handle(request).await }
    }));
    let _ = stop.wait_for(|stopped| *stopped).await;
    EventCode::ProcessStopping.log(format_args!("id={}", shared.settings.id));
    let _ = shutdown_sender.send(true);
    shut_down(&shared, callers).await;
    let _ = end_sender.send(true);
    peer_server.abort();
    Ok(())
}

/// Shuts the process down without losing work. Calls in flight end first, while the process still
/// holds its leases and partitions; then it releases them, so that peers can take them over.
async fn shut_down<P: Platform>(shared: &Arc<NodeShared<P>>, callers: tokio::task::JoinHandle<()>) {
    let _ = callers.await;
    let _ = timeout(SHUTDOWN_STEP_TIMEOUT, shared.ledger.release_all()).await;
    let _ = timeout(SHUTDOWN_STEP_TIMEOUT, shared.member_task.leave()).await;
    let _ = timeout(SHUTDOWN_STEP_TIMEOUT, shared.links.release_all()).await;
}

fn member_options(settings: &Settings, incarnation: u64) -> MemberOptions {
    MemberOptions {
        incarnation,
        id: settings.id.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.peer_address().to_string(),
        seeds: settings.seeds.iter().map(ToString::to_string).collect(),
        ..MemberOptions::default()
    }
}

fn serve_limits(limits: LimitSettings) -> ServeLimits {
    ServeLimits {
        body_bytes: limits.body_bytes,
        head_bytes: limits.head_bytes,
        connections: limits.connections,
        head_timeout: Duration::from_millis(limits.head_timeout_ms),
        idle_timeout: None,
        body_timeout: Duration::from_millis(limits.body_timeout_ms),
        drain_timeout: Duration::from_millis(limits.drain_timeout_ms),
    }
}
