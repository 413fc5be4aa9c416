//! Stand-ins and entry processes of the demonstration.

use std::net::SocketAddr;
use std::time::Duration;

use hs_config::{LimitSettings, Settings, parse_manifest};
use hs_http::HttpClient;
use hs_load::SAMPLE_MANIFEST;
use hs_node::port::HttpStore;
use hs_node::{HttpPlatform, NodeListeners, RunError, run_with};
use hs_standin::{StoreOptions, VmsOptions, WorkerOptions, run_store, run_vms, run_worker};
use hs_wire::{Resources, VmEntry, VmRole, VmState};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::control::ControlClient;
use crate::exit::CommandError;
use crate::publisher::{ManifestPublisher, PublishOutcome};

pub(super) const WORKER_COUNT: usize = 12;
const ENTRY_COUNT: usize = 3;
const WORKERS_PER_RACK: usize = 6;
const DATA_CENTRE: &str = "dc1";

/// Delay between two rounds of status queries to the entry processes.
const STATUS_POLL_DELAY: Duration = Duration::from_millis(50);

/// Timeout of the shutdown of the entry processes. Leases and partitions need not be released here.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Addresses of one entry process.
#[derive(Clone, Copy)]
pub(super) struct DemoEntry {
    pub(super) caller: SocketAddr,
    control: SocketAddr,
}

/// Stand-ins and entry processes, which run until [`DemoCluster::stop`].
pub(super) struct DemoCluster {
    entries: Vec<DemoEntry>,
    stop_entries: watch::Sender<bool>,
    /// Dropping it ends the stand-ins.
    _stop_platform: watch::Sender<bool>,
    running: JoinSet<Result<(), RunError>>,
}

impl DemoCluster {
    /// Starts the stand-ins and entry processes, and waits until the latter own all workers and
    /// partitions.
    pub(super) async fn start() -> Result<Self, CommandError> {
        let (stop_platform, platform_stopped) = watch::channel(false);
        let (stop_entries, entries_stopped) = watch::channel(false);
        let (listener, store) = listen().await?;
        let stopped = platform_stopped.clone();
        tokio::spawn(run_store(listener, StoreOptions::default(), stopped));
        let (vms_listener, vm_list) = listen().await?;
        let mut vms = Vec::with_capacity(WORKER_COUNT + ENTRY_COUNT);
        let options = WorkerOptions::default();
        for number in 0..WORKER_COUNT {
            let (listener, address) = listen().await?;
            tokio::spawn(run_worker(listener, options, platform_stopped.clone()));
            let rack = format!("r{}", number / WORKERS_PER_RACK);
            let name = format!("w{number}");
            vms.push(vm(name, address, rack, VmRole::Worker, options.capacity));
        }
        publish(store).await?;
        let mut entries = Vec::with_capacity(ENTRY_COUNT);
        let mut running = JoinSet::new();
        for number in 0..ENTRY_COUNT {
            let (caller_listener, caller) = listen().await?;
            let (control_listener, control) = listen().await?;
            let (peer_listener, peer) = listen().await?;
            let id = format!("e{number}");
            let role = VmRole::Entry;
            vms.push(vm(id.clone(), peer, String::new(), role, Resources::ZERO));
            entries.push(DemoEntry { caller, control });
            let settings = Settings {
                id,
                data_centre: DATA_CENTRE.to_owned(),
                caller_listen: caller,
                control_listen: control,
                peer_listen: peer,
                peer_advertise: None,
                control_token: None,
                store,
                vm_list,
                seeds: Vec::new(),
                limits: LimitSettings::default(),
            };
            let listeners = NodeListeners {
                caller: caller_listener,
                control: control_listener,
                peer: peer_listener,
            };
            let platform = HttpPlatform::new(store, vm_list);
            let stopped = entries_stopped.clone();
            running.spawn(run_with(settings, platform, listeners, stopped));
        }
        let options = VmsOptions { lag_ms: 0, vms };
        tokio::spawn(run_vms(vms_listener, options, platform_stopped));
        let cluster = Self {
            entries,
            stop_entries,
            _stop_platform: stop_platform,
            running,
        };
        cluster.wait_until_owned().await;
        Ok(cluster)
    }

    /// Returns the entry processes.
    pub(super) fn entries(&self) -> Vec<DemoEntry> {
        self.entries.clone()
    }

    /// Shuts the entry processes down, then the stand-ins.
    pub(super) async fn stop(mut self) {
        self.stop_entries.send_replace(true);
        let ended = async { while self.running.join_next().await.is_some() {} };
        if timeout(STOP_TIMEOUT, ended).await.is_err() {
            println!("an entry process did not end within {STOP_TIMEOUT:?}");
        }
    }

    /// Waits until every worker and every partition has an owner.
    async fn wait_until_owned(&self) {
        let client = ControlClient::new(None);
        loop {
            let mut totals = OwnershipTotals::default();
            for entry in &self.entries {
                if let Ok(status) = client.status(entry.control).await {
                    totals.add(&status);
                }
            }
            if totals.is_complete() {
                return;
            }
            sleep(STATUS_POLL_DELAY).await;
        }
    }
}

/// Totals over the entry processes: how many are ready and what they own.
#[derive(Default)]
struct OwnershipTotals {
    ready: usize,
    workers: usize,
    partitions: usize,
    /// Number of existing partitions, as one process reports it.
    partition_count: usize,
}

impl OwnershipTotals {
    fn add(&mut self, status: &Value) {
        self.ready += usize::from(status["ready"] == true);
        self.workers += status["workers"].as_array().map_or(0, Vec::len);
        if let Some(partitions) = status["partitions"].as_array() {
            self.partition_count = partitions.len();
            let partitions = partitions.iter();
            self.partitions += partitions.filter(|part| part["is_owned"] == true).count();
        }
    }

    fn is_complete(&self) -> bool {
        self.ready == ENTRY_COUNT
            && self.workers == WORKER_COUNT
            && self.partition_count > 0
            && self.partitions == self.partition_count
    }
}

async fn publish(store: SocketAddr) -> Result<(), CommandError> {
    let manifest = parse_manifest(SAMPLE_MANIFEST)
        .map_err(|error| CommandError::failed(format!("sample manifest:\n{error}")))?;
    let publisher = ManifestPublisher::new(HttpStore::new(HttpClient::default(), store));
    let stored = publisher.read().await?;
    match publisher.replace(&stored, manifest).await? {
        PublishOutcome::Published { .. } => Ok(()),
        outcome => Err(CommandError::failed(format!("publish: {outcome:?}"))),
    }
}

fn vm(id: String, addr: SocketAddr, rack: String, role: VmRole, capacity: Resources) -> VmEntry {
    VmEntry {
        id,
        addr: addr.to_string(),
        data_centre: DATA_CENTRE.to_owned(),
        rack,
        role,
        state: VmState::Live,
        capacity,
    }
}

async fn listen() -> Result<(TcpListener, SocketAddr), CommandError> {
    let failed = |error: std::io::Error| CommandError::failed(format!("listen: {error}"));
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}
