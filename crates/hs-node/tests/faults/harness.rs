//! One entry process with stand-ins of its platform, all in the process of the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_config::{LimitSettings, Settings};
use hs_http::HttpClient;
use hs_node::{HttpPlatform, NodeListeners, run_with};
use hs_peer::rendezvous;
use hs_standin::{
    StoreOptions, VmsOptions, VmsUpdate, WorkerLog, WorkerOptions, run_store, run_vms, run_worker,
};
use hs_wire::{Outcome, Resources, Submission, TaskPhase, VmEntry, VmRole, VmState, WorkReply};
use hyper::Method;
use serde::Serialize;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::platform::{FaultPlatform, Switches};

/// Timeout of one call to a stand-in or to the process.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time until the process has started or shows an expected state.
pub const STATE_LIMIT: Duration = Duration::from_secs(15);

/// Manifest of most tests.
pub const MANIFEST: &str = r#"{
    "revision": 1,
    "customers": [{ "name": "acme" }],
    "workloads": [
        { "name": "check", "class": "check", "resources": { "connections": 1 } },
        { "name": "order", "class": "order", "resources": { "slots": 1 } },
        { "name": "batch", "class": "batch", "resources": { "slots": 1 } },
        { "name": "gang", "class": "gang", "tasks": 3, "resources": { "slots": 1 } }
    ]
}"#;

/// What a harness starts.
pub struct HarnessOptions {
    /// Manifest in the store; empty for none.
    pub manifest: String,
    /// Workers, as listening addresses. Empty for one stand-in named `w0`.
    pub workers: Vec<VmEntry>,
    /// Further entry processes in the VM list.
    pub peers: Vec<VmEntry>,
    /// Peer addresses in the settings of the process.
    pub seeds: Vec<SocketAddr>,
    /// Delay of the store, in milliseconds.
    pub store_delay_ms: u64,
    /// Delay of the VM list, in milliseconds. With a delay, the list has version 2.
    pub vm_list_delay_ms: u64,
    /// Peer listener of the process; `None` for a new one.
    pub peer_listener: Option<TcpListener>,
    /// Address of another VM list, which the process reads instead of that of the stand-in.
    pub vm_list: Option<SocketAddr>,
}

impl Default for HarnessOptions {
    fn default() -> Self {
        Self {
            manifest: MANIFEST.to_owned(),
            workers: Vec::new(),
            peers: Vec::new(),
            seeds: Vec::new(),
            store_delay_ms: 0,
            vm_list_delay_ms: 0,
            peer_listener: None,
            vm_list: None,
        }
    }
}

/// A running entry process. Dropping it stops the process and the stand-ins.
pub struct Harness {
    pub caller: SocketAddr,
    pub control: SocketAddr,
    pub peer: SocketAddr,
    pub store: SocketAddr,
    pub vm_list: SocketAddr,
    pub vms: Vec<VmEntry>,
    pub switches: Arc<Switches>,
    pub client: HttpClient,
    stop: watch::Sender<bool>,
}

impl Harness {
    /// Starts the process and waits until it owns its workers and partitions.
    pub async fn start(options: HarnessOptions) -> Self {
        let harness = Self::launch(options, Switches::new()).await;
        harness.wait_until_owned().await;
        harness
    }

    /// Starts the process without waiting for it.
    pub async fn launch(options: HarnessOptions, switches: Arc<Switches>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let client = HttpClient::default();
        let (listener, store) = listen().await;
        tokio::spawn(run_store(
            listener,
            StoreOptions::default(),
            stopped.clone(),
        ));
        let mut vms = options.workers;
        if vms.is_empty() {
            vms.push(start_worker("w0", WorkerOptions::default(), stopped.clone()).await);
        }
        let (caller_listener, caller) = listen().await;
        let (control_listener, control) = listen().await;
        let peer_listener = match options.peer_listener {
            Some(listener) => listener,
            None => listen().await.0,
        };
        let peer = peer_listener.local_addr().expect("address");
        vms.push(vm("e0", peer, VmRole::Entry, Resources::ZERO));
        vms.extend(options.peers);
        let (listener, standin) = listen().await;
        let vm_list = options.vm_list.unwrap_or(standin);
        let list = VmsOptions {
            lag_ms: 0,
            vms: vms.clone(),
        };
        tokio::spawn(run_vms(listener, list, stopped.clone()));
        let settings = Settings {
            id: "e0".to_owned(),
            data_centre: "dc1".to_owned(),
            caller_listen: caller,
            control_listen: control,
            peer_listen: peer,
            peer_advertise: None,
            control_token: None,
            store,
            vm_list,
            seeds: options.seeds,
            limits: LimitSettings::default(),
        };
        let listeners = NodeListeners {
            caller: caller_listener,
            control: control_listener,
            peer: peer_listener,
        };
        let harness = Self {
            caller,
            control,
            peer,
            store,
            vm_list,
            vms,
            switches,
            client,
            stop,
        };
        if !options.manifest.is_empty() {
            harness.put_manifest(&options.manifest, 0).await;
        }
        let delay = serde_json::json!({ "delay_ms": options.store_delay_ms });
        let set: Option<Value> = harness.post(store, "/fault", &delay).await;
        assert!(set.is_some(), "fault switch of the store");
        if options.vm_list_delay_ms > 0 {
            harness.put_vms(harness.vms.clone()).await;
            let delay = serde_json::json!({ "delay_ms": options.vm_list_delay_ms });
            let set: Option<Value> = harness.post(vm_list, "/fault", &delay).await;
            assert!(set.is_some(), "fault switch of the VM list");
        }
        let platform = HttpPlatform::new(store, vm_list);
        let platform = FaultPlatform::new(platform, &harness.switches);
        tokio::spawn(run_with(settings, platform, listeners, stopped));
        harness
    }

    /// Waits until the process owns all partitions and a worker.
    pub async fn wait_until_owned(&self) {
        self.wait_status("ownership", |status| {
            let all = |name: &str| status[name].as_array().cloned().unwrap_or_default();
            let partitions = all("partitions");
            let is_owned = |partition: &Value| partition["is_owned"] == true;
            !all("workers").is_empty() && partitions.len() == 4 && partitions.iter().all(is_owned)
        })
        .await;
    }

    /// Polls the status of the process until it is as expected, and returns it.
    pub async fn wait_status(&self, what: &str, expected: impl Fn(&Value) -> bool) -> Value {
        let begin = Instant::now();
        loop {
            let status = self.status().await;
            if expected(&status) {
                return status;
            }
            assert!(begin.elapsed() < STATE_LIMIT, "{what}: {status}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the status of the process, or null if it does not answer.
    pub async fn status(&self) -> Value {
        let peer = self.control.to_string();
        let call = self
            .client
            .get("status", &peer, "/v1/status", Duration::from_secs(2));
        let reply = call.await;
        reply.map_or(Value::Null, |reply| reply.json().unwrap_or_default())
    }

    /// Submits work that may wait for up to `deadline_ms`, and returns the reply.
    pub async fn submit(
        &self,
        key: &str,
        workload: &str,
        deadline_ms: u64,
        payload: &str,
    ) -> WorkReply {
        let work = Submission {
            key: key.to_owned(),
            customer: "acme".to_owned(),
            workload: workload.to_owned(),
            deadline_ms,
            wait_ms: None,
            issued_at_ms: None,
            payload: format!("{payload} echo={key}").trim().to_owned(),
        };
        self.post(self.caller, "/v1/work", &work)
            .await
            .expect("a work reply")
    }

    /// Submits a check and durable work for every partition, and requires that all of it is done.
    pub async fn assert_serves(&self, name: &str) {
        let check = self
            .submit(&format!("{name}-check"), "check", 8000, "")
            .await;
        assert_eq!(check.outcome, Outcome::Done, "{name}: {check:?}");
        for number in 0..8 {
            let key = format!("{name}-order{number}");
            let order = self.submit(&key, "order", 8000, "").await;
            assert_eq!(order.outcome, Outcome::Done, "{name}: {order:?}");
        }
    }

    /// Writes a manifest to the store.
    pub async fn put_manifest(&self, text: &str, if_revision: u64) {
        let path = format!("/kv/manifest?if_revision={if_revision}");
        let (peer, body) = (self.store.to_string(), text.to_owned());
        let call = self
            .client
            .call("test", Method::PUT, &peer, &path, body, CALL_TIMEOUT);
        assert_eq!(call.await.expect("store").status, 200, "write the manifest");
    }

    /// Replaces the VM list.
    pub async fn put_vms(&self, vms: Vec<VmEntry>) {
        let reply: Option<Value> = self.post(self.vm_list, "/vms", &VmsUpdate { vms }).await;
        reply.expect("VM list");
    }

    /// Returns the log of the worker at an address.
    pub async fn worker_log(&self, address: &str) -> WorkerLog {
        let call = self.client.get("test", address, "/log", CALL_TIMEOUT);
        call.await.expect("worker").json().expect("log")
    }

    /// Returns how many tasks run on the worker at an address.
    pub async fn running(&self, address: &str) -> usize {
        let log = self.worker_log(address).await;
        let running = log.0.iter().filter(|it| it.phase == TaskPhase::Running);
        running.count()
    }

    /// Posts a JSON body, and returns the JSON reply if there is one.
    pub async fn post<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Option<T> {
        let peer = address.to_string();
        let call = self
            .client
            .post_json("test", &peer, path, body, CALL_TIMEOUT);
        call.await.ok()?.json().ok()
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}

/// Starts a worker stand-in, and returns its entry in the VM list.
pub async fn start_worker(
    name: &str,
    options: WorkerOptions,
    stopped: watch::Receiver<bool>,
) -> VmEntry {
    let (listener, address) = listen().await;
    tokio::spawn(run_worker(listener, options, stopped));
    vm(name, address, VmRole::Worker, options.capacity)
}

/// Returns an entry of the VM list in the data centre of the process.
pub fn vm(id: &str, address: SocketAddr, role: VmRole, capacity: Resources) -> VmEntry {
    VmEntry {
        id: id.to_owned(),
        addr: address.to_string(),
        data_centre: "dc1".to_owned(),
        rack: String::new(),
        role,
        state: VmState::Live,
        capacity,
    }
}

/// Opens a listener on a free loopback port.
pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// Returns a name with this prefix of which the process `e0`, and not `e1`, is the preferred owner.
/// `item` builds the name that is hashed.
pub fn name_owned_by_e0(prefix: &str, item: impl Fn(&str) -> String) -> String {
    let weight = |name: &str, member| {
        rendezvous::weight(
            rendezvous::hash_name(&item(name)),
            rendezvous::hash_name(member),
        )
    };
    let mut names = (0..).map(|number| format!("{prefix}{number}"));
    names
        .find(|name| weight(name, "e0") > weight(name, "e1"))
        .expect("an endless iterator")
}
