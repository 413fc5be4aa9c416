//! Startup of a process: spawns its tasks and its peer listener.

use hs_event::EventCode;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hs_cell::CellOptions;
use thiserror::Error;
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

use crate::cell_facts::CellFacts;
use crate::config;
use crate::config_reader::ConfigReader;
use crate::config_state::{AccessOptions, ConfigState};
use crate::confirmation;
use crate::congestion::CongestedTeams;
use crate::control::Control;
use crate::election::Election;
use crate::intake::IntakeHandle;
use crate::job_query::MAX_STATE_REQUESTS;
use crate::keys;
use crate::large_record::RecordLimits;
use crate::metrics::ControlMetrics;
use crate::notify::NotifyHandle;
use crate::peer_listener::{self, PeerLimits};
use crate::peers::PeerPool;
use crate::port::Platform;
use crate::rank::VmLimits;
use crate::shared::{NodeContext, Ownership};
use crate::speed::SpeedMeter;
use crate::store_health::StoreHealth;
use crate::supervise::restart_on_panic;
use crate::unknown_cancellations::UnknownCancellations;

/// Interval at which readiness is evaluated.
const READINESS_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which the store is probed while it is down.
const STORE_PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of such a probe.
const STORE_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Settings of the control tasks of a process.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Name of the process's VM.
    pub node: String,
    /// Address at which this process listens for other processes of the cell.
    pub peer_listen: SocketAddr,
    /// Settings of the cell that this process runs when it is the owner.
    pub cell: CellOptions,
    /// Resources of the VM, by which processes on better VMs take the cell over first.
    pub limits: VmLimits,
    /// What the listener for other processes may use.
    pub peer_limits: PeerLimits,
    /// Settings of the decision whether a call is allowed.
    pub access: AccessOptions,
}

/// Why a process failed to start.
#[derive(Debug, Error)]
pub enum RunError {
    /// The listener for peers can't be opened.
    #[error("listening for peers on {address}: {cause}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
}

/// Spawns all tasks of a process. They run until the runtime shuts down, and release the cell when `stop`
/// becomes true.
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
    let listener = platform.listen(address).await;
    let listener = listener.map_err(|cause| RunError::Listen { address, cause })?;
    let (config_sender, config) = watch::channel(None);
    let (ownership_sender, ownership) = watch::channel(Ownership::Unknown);
    let (ready_sender, ready) = watch::channel(false);
    let (owner_last_seen_sender, owner_last_seen) = watch::channel(None);
    let config_state = ConfigState::new(config_sender, options.access);
    let store_health = StoreHealth::default();
    let context = NodeContext {
        node: options.node.as_str().into(),
        address: address.to_string().into(),
        started_ms: platform.unix_ms(),
        config,
        ownership,
        peers: PeerPool::new(platform.clone()),
        store_health: store_health.clone(),
        metrics,
        owner_last_seen,
        congested_teams: CongestedTeams::default(),
    };
    let control = Control {
        platform: platform.clone(),
        context: context.clone(),
        intake: IntakeHandle::spawn(platform.clone(), store_health.clone()),
        notify: NotifyHandle::spawn(context.clone()),
        config_state: config_state.clone(),
        config_reader: ConfigReader::default(),
        state_permits: Arc::new(Semaphore::new(MAX_STATE_REQUESTS)),
        record_limits: RecordLimits::new(options.cell.max_value_bytes),
        unknown_cancellations: Arc::new(Mutex::new(UnknownCancellations::new(platform.now()))),
        ready,
    };
    if let Some(max_age) = options.access.max_key_age {
        let (platform, state) = (platform.clone(), config_state.clone());
        tokio::spawn(restart_on_panic("confirmation", move || {
            confirmation::confirm(platform.clone(), state.clone(), max_age)
        }));
    }
    let (config_platform, config_health) = (platform.clone(), store_health.clone());
    let follow_state = config_state.clone();
    tokio::spawn(restart_on_panic("configuration", move || {
        config::follow(
            config_platform.clone(),
            config_health.clone(),
            follow_state.clone(),
        )
    }));
    let probe_platform = platform.clone();
    tokio::spawn(restart_on_panic("store probe", move || {
        probe_store(probe_platform.clone(), store_health.clone())
    }));
    let election = Election {
        platform: platform.clone(),
        context: context.clone(),
        ownership: ownership_sender,
        owner_last_seen: Arc::new(owner_last_seen_sender),
        cooldown_until: None,
        options: options.cell,
        limits: options.limits,
        cell_facts: CellFacts::default(),
        speed: SpeedMeter::default(),
        stop: stop.clone(),
    };
    tokio::spawn(restart_on_panic("election", move || election.clone().run()));
    tokio::spawn(restart_on_panic("readiness", move || {
        track_readiness(
            platform.clone(),
            context.clone(),
            config_state.clone(),
            ready_sender.clone(),
            stop.clone(),
        )
    }));
    tokio::spawn(peer_listener::serve(
        control.clone(),
        listener,
        options.peer_limits,
    ));
    Ok(control)
}

/// Probes the store while it is down, so that its recovery is noticed soon.
async fn probe_store<P: Platform>(platform: P, health: StoreHealth) {
    loop {
        sleep(STORE_PROBE_INTERVAL).await;
        if health.is_down(platform.now()) {
            let answer = platform.read(keys::CLAIM, STORE_PROBE_TIMEOUT).await;
            health.record_call(answer.is_ok(), platform.now());
        }
    }
}

/// Evaluates whether this process should receive new connections: it must have a configuration, reach the
/// owner or the store, have confirmed keys if calls need them, and not be shutting down.
async fn track_readiness<P: Platform>(
    platform: P,
    context: NodeContext,
    config_state: ConfigState,
    ready: watch::Sender<bool>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let stopping = *stop.borrow();
        let now = platform.now();
        let store = !context.store_health.is_down(now);
        let owner = context.is_owner_reachable(now);
        let configured = context.config.borrow().is_some();
        let confirmed = config_state.check_confirmation(platform.boot_now());
        let serves = configured && confirmed && (store || owner) && !stopping;
        let changed = ready.send_if_modified(|ready| std::mem::replace(ready, serves) != serves);
        if changed {
            EventCode::ReadinessChanged.log(format_args!(
                "ready={serves} configured={configured} confirmed={confirmed} store={store} owner={owner} \
                stopping={stopping}"
            ));
        }
        tokio::select! {
            biased;
            () = sleep(READINESS_INTERVAL) => {}
            _ = stop.changed() => {}
        }
    }
}
