//! Test cluster: one entry process with a store, a VM list and one worker, all in the process of
//! the test.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hs_config::{LimitSettings, Settings};
use hs_http::HttpClient;
use hs_node::{HttpPlatform, NodeListeners, run_with};
use hs_standin::{StoreOptions, VmsOptions, WorkerOptions, run_store, run_vms, run_worker};
use hs_wire::{Resources, VmEntry, VmRole, VmState};
use hyper::Method;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Timeout of one call and of one wait for a status.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);
pub const TOKEN: &str = "operator-token-of-this-test";

pub const MANIFEST: &str = r#"{
    "revision": 1,
    "customers": [{ "name": "acme" }],
    "workloads": [{
        "name": "check", "class": "check", "resources": { "cpu_milli": 100, "connections": 1 }
    }]
}"#;

/// Limits small enough that tests reach them quickly.
pub const LIMITS: LimitSettings = LimitSettings {
    body_bytes: 4096,
    head_bytes: 8192,
    connections: 3,
    head_timeout_ms: 400,
    body_timeout_ms: 300,
    drain_timeout_ms: 100,
};

/// A running test cluster. Dropping it stops all its parts.
pub struct TestCluster {
    pub caller: SocketAddr,
    pub control: SocketAddr,
    pub store: SocketAddr,
    pub client: HttpClient,
    stop: watch::Sender<bool>,
}

impl TestCluster {
    /// Starts the cluster and waits until the entry process owns the worker.
    pub async fn start(manifest: &str, limits: LimitSettings) -> Self {
        let (stop, stopped) = watch::channel(false);
        let client = HttpClient::default();
        let (listener, store) = listen().await;
        let options = StoreOptions::default();
        tokio::spawn(run_store(listener, options, stopped.clone()));
        put_manifest(&client, store, manifest, 0).await;
        let (listener, worker) = listen().await;
        let options = WorkerOptions::default();
        tokio::spawn(run_worker(listener, options, stopped.clone()));
        let (caller_listener, caller) = listen().await;
        let (control_listener, control) = listen().await;
        let (peer_listener, peer) = listen().await;
        let vm = |id: &str, addr: SocketAddr, role, capacity| VmEntry {
            id: id.to_owned(),
            addr: addr.to_string(),
            data_centre: "dc1".to_owned(),
            rack: String::new(),
            role,
            state: VmState::Live,
            capacity,
        };
        let vms = vec![
            vm("w0", worker, VmRole::Worker, options.capacity),
            vm("e0", peer, VmRole::Entry, Resources::ZERO),
        ];
        let (listener, vm_list) = listen().await;
        let options = VmsOptions { lag_ms: 0, vms };
        tokio::spawn(run_vms(listener, options, stopped.clone()));
        let settings = Settings {
            id: "e0".to_owned(),
            data_centre: "dc1".to_owned(),
            caller_listen: caller,
            control_listen: control,
            peer_listen: peer,
            peer_advertise: None,
            control_token: Some(TOKEN.to_owned()),
            store,
            vm_list,
            seeds: Vec::new(),
            limits,
        };
        let listeners = NodeListeners {
            caller: caller_listener,
            control: control_listener,
            peer: peer_listener,
        };
        let platform = HttpPlatform::new(store, vm_list);
        tokio::spawn(run_with(settings, platform, listeners, stopped));
        let cluster = Self {
            caller,
            control,
            store,
            client,
            stop,
        };
        cluster
            .wait_status("ownership of the worker", |status| {
                status["workers"]
                    .as_array()
                    .is_some_and(|all| !all.is_empty())
            })
            .await;
        cluster
    }

    /// Polls the status of the entry process until it is as expected.
    pub async fn wait_status(&self, what: &str, expected: fn(&serde_json::Value) -> bool) {
        let begin = Instant::now();
        let status = format!(
            "GET /v1/status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer {TOKEN}\r\n\r\n"
        );
        loop {
            let reply = crate::raw::exchange(self.control, &[status.as_bytes()]).await;
            let body = reply.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            if serde_json::from_str(body).is_ok_and(|status| expected(&status)) {
                return;
            }
            assert!(begin.elapsed() < CALL_TIMEOUT, "{what}: {reply}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}

/// Writes a manifest to the store directly, without the checks of the publisher.
pub async fn put_manifest(client: &HttpClient, store: SocketAddr, text: &str, revision: u64) {
    let path = format!("/kv/manifest?if_revision={revision}");
    let body = text.to_owned();
    let peer = store.to_string();
    let call = client.call("test", Method::PUT, &peer, &path, body, CALL_TIMEOUT);
    assert_eq!(call.await.expect("store").status, 200, "write the manifest");
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    (listener, address)
}
