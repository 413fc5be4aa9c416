//! The installation of the demonstration.

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
use crate::publisher::{ManifestPublisher, PublishEnd};

pub(super) const WORKERS: usize = 12;
const ENTRIES: usize = 3;
const WORKERS_PER_RACK: usize = 6;
const DATA_CENTRE: &str = "dc1";

/// Pause between two looks at the entry processes.
const STATUS_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for the entry processes to end. Leases and partitions need no hand-over here.
const STOP_LIMIT: Duration = Duration::from_secs(3);

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
    /// Starts everything and waits until the entry processes own all workers and partitions.
    pub(super) async fn start() -> Result<Self, CommandError> {
        let (stop_platform, platform_stopped) = watch::channel(false);
        let (stop_entries, entries_stopped) = watch::channel(false);
        let (listener, store) = listen().await?;
        let stopped = platform_stopped.clone();
        tokio::spawn(run_store(listener, StoreOptions::default(), stopped));
        let (vms_listener, vm_list) = listen().await?;
        let mut vms = Vec::with_capacity(WORKERS + ENTRIES);
        let options = WorkerOptions::default();
        for number in 0..WORKERS {
            let (listener, address) = listen().await?;
            tokio::spawn(run_worker(listener, options, platform_stopped.clone()));
            let rack = format!("r{}", number / WORKERS_PER_RACK);
            let name = format!("w{number}");
            vms.push(vm(name, address, rack, VmRole::Worker, options.capacity));
        }
        publish(store).await?;
        let mut entries = Vec::with_capacity(ENTRIES);
        let mut running = JoinSet::new();
        for number in 0..ENTRIES {
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
        cluster.wait_owned().await;
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
        if timeout(STOP_LIMIT, ended).await.is_err() {
            println!("an entry process did not end within {STOP_LIMIT:?}");
        }
    }

    async fn wait_owned(&self) {
        let client = ControlClient::new(None);
        loop {
            let mut owned = OwnedParts::default();
            for entry in &self.entries {
                if let Ok(status) = client.status(entry.control).await {
                    owned.add(&status);
                }
            }
            if owned.is_complete() {
                return;
            }
            sleep(STATUS_PAUSE).await;
        }
    }
}

/// What the entry processes own together.
#[derive(Default)]
struct OwnedParts {
    ready: usize,
    workers: usize,
    partitions: usize,
    /// Number of partitions, as one process reports it.
    all_partitions: usize,
}

impl OwnedParts {
    fn add(&mut self, status: &Value) {
        self.ready += usize::from(status["ready"] == true);
        self.workers += status["workers"].as_array().map_or(0, Vec::len);
        if let Some(partitions) = status["partitions"].as_array() {
            self.all_partitions = partitions.len();
            let owned = partitions.iter();
            self.partitions += owned.filter(|part| part["is_owned"] == true).count();
        }
    }

    fn is_complete(&self) -> bool {
        self.ready == ENTRIES
            && self.workers == WORKERS
            && self.all_partitions > 0
            && self.partitions == self.all_partitions
    }
}

async fn publish(store: SocketAddr) -> Result<(), CommandError> {
    let manifest = parse_manifest(SAMPLE_MANIFEST)
        .map_err(|error| CommandError::failed(format!("sample manifest:\n{error}")))?;
    let publisher = ManifestPublisher::new(HttpStore::new(HttpClient::default(), store));
    let stored = publisher.read().await?;
    match publisher.replace(&stored, manifest).await? {
        PublishEnd::Published { .. } => Ok(()),
        end => Err(CommandError::failed(format!("publish: {end:?}"))),
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
