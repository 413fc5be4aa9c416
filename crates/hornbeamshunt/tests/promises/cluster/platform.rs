//! Stand-ins for the store, the VM list and the workers, run in the test process.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hs_http::{CallReply, HttpClient};
use hs_standin::{
    StoreOptions, VmsOptions, VmsUpdate, WorkerLog, WorkerOptions, WorkerPeak, WorkerStart,
    run_store, run_vms, run_worker,
};
use hs_wire::{VmEntry, VmRole, VmState};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Timeout of one call to a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of one stand-in.
#[derive(Clone, Debug)]
pub struct StandIn {
    pub address: SocketAddr,
    client: HttpClient,
}

impl StandIn {
    pub async fn get(&self, path: &str) -> CallReply {
        self.client
            .get("test", &self.address.to_string(), path, CALL_TIMEOUT)
            .await
            .expect("stand-in")
    }

    pub async fn post(&self, path: &str, body: &impl Serialize) -> CallReply {
        let peer = self.address.to_string();
        self.client
            .post_json("test", &peer, path, body, CALL_TIMEOUT)
            .await
            .expect("stand-in")
    }

    /// Replaces the injected faults of the stand-in; `{}` removes them.
    pub async fn set_faults(&self, body: serde_json::Value) {
        assert_eq!(self.post("/fault", &body).await.status, 200, "fault switch");
    }
}

/// The platform of one test. Dropping it stops the stand-ins.
pub struct TestPlatform {
    pub store: StandIn,
    pub vms: StandIn,
    pub workers: Vec<StandIn>,
    pub entries: Vec<VmEntry>,
    stop: watch::Sender<bool>,
}

impl TestPlatform {
    /// Starts the stand-ins with `workers` workers, all in the data centre `dc1`.
    pub async fn start(workers: usize, options: WorkerOptions) -> Self {
        let (stop, stopped) = watch::channel(false);
        let client = HttpClient::default();
        let (listener, address) = listen().await;
        tokio::spawn(run_store(
            listener,
            StoreOptions::default(),
            stopped.clone(),
        ));
        let store = stand_in(address, &client);
        let (listener, address) = listen().await;
        tokio::spawn(run_vms(listener, VmsOptions::default(), stopped.clone()));
        let vms = stand_in(address, &client);
        let mut platform = Self {
            store,
            vms,
            workers: Vec::new(),
            entries: Vec::new(),
            stop,
        };
        for number in 0..workers {
            let (listener, address) = listen().await;
            tokio::spawn(run_worker(listener, options, stopped.clone()));
            platform.workers.push(stand_in(address, &client));
            platform.entries.push(VmEntry {
                id: format!("w{number}"),
                addr: address.to_string(),
                data_centre: "dc1".to_owned(),
                rack: format!("r{}", number / 6),
                role: VmRole::Worker,
                state: VmState::Live,
                capacity: options.capacity,
            });
        }
        platform
    }

    /// Publishes the current entries as the VM list.
    pub async fn publish_vms(&self) {
        let vms = self.entries.clone();
        assert_eq!(
            self.vms.post("/vms", &VmsUpdate { vms }).await.status,
            200,
            "VM list"
        );
    }

    /// Returns the logs of all workers, in the order of their numbers.
    pub async fn logs(&self) -> Vec<WorkerLog> {
        let mut logs = Vec::with_capacity(self.workers.len());
        for worker in &self.workers {
            logs.push(worker.get("/log").await.json().expect("log"));
        }
        logs
    }

    /// Returns every start whose payload contains the key, with the number of its worker.
    pub async fn starts_of(&self, key: &str) -> Vec<(usize, WorkerStart)> {
        let word = format!("echo={key}");
        let has_key = |start: &WorkerStart| start.payload.split(' ').any(|part| part == word);
        let logs = self.logs().await.into_iter().enumerate();
        let starts = logs.flat_map(|(worker, log)| log.0.into_iter().map(move |it| (worker, it)));
        starts.filter(|(_, start)| has_key(start)).collect()
    }

    /// Returns how often workers have refused a start or stop because of its fencing token.
    pub async fn refused_fences(&self) -> u64 {
        let mut refused = 0;
        for worker in &self.workers {
            let peak: WorkerPeak = worker.get("/peak").await.json().expect("peak");
            refused += peak.refused_fence;
        }
        refused
    }

    /// Checks that no worker ever had more than its capacity in use.
    pub async fn assert_within_capacity(&self) {
        for worker in &self.workers {
            let peak: WorkerPeak = worker.get("/peak").await.json().expect("peak");
            assert!(
                !peak.exceeded,
                "worker {} over capacity: {peak:?}",
                worker.address
            );
        }
    }
}

impl Drop for TestPlatform {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}

fn stand_in(address: SocketAddr, client: &HttpClient) -> StandIn {
    let client = client.clone();
    StandIn { address, client }
}

pub(super) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// Returns the current time in milliseconds since the Unix epoch, as in the logs of the workers.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("a time after 1970").as_millis() as u64
}
