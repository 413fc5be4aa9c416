//! Measures the network traffic of an idle installation, for `docs/CAPACITY.md`.
//!
//! Every worker, the store, the VM list and every peer listener is behind a proxy that counts the
//! bytes of TCP payload in both directions, without the headers of lower layers. The difference
//! between two sizes gives the traffic of one worker and of one peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hs_config::{Settings, parse_settings};
use hs_node::{HttpPlatform, HttpStore, NodeListeners, StorePort, run_with};
use hs_standin::{StoreOptions, VmsOptions, WorkerOptions, run_store, run_vms, run_worker};
use hs_wire::{Resources, VmEntry, VmRole, VmState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Time for leases, partitions and membership to settle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Duration of the measurement, a multiple of every interval of an idle process.
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Size of the installation that is measured.
struct TrafficCase {
    entries: usize,
    workers: usize,
}

/// Bytes that passed the proxies, by kind of target.
#[derive(Default)]
struct Counters {
    workers: AtomicU64,
    peers: AtomicU64,
    store: AtomicU64,
    vms: AtomicU64,
}

/// Selects the counter of a proxy.
type CounterOf = fn(&Counters) -> &AtomicU64;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// Starts a proxy to `target` and returns its address.
async fn proxy(target: SocketAddr, counters: Arc<Counters>, counter_of: CounterOf) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((downstream, _)) = listener.accept().await {
            let Ok(upstream) = TcpStream::connect(target).await else {
                continue;
            };
            let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
            let (downstream_read, downstream_write) = downstream.into_split();
            let (upstream_read, upstream_write) = upstream.into_split();
            tokio::spawn(copy_and_count(
                downstream_read,
                upstream_write,
                counters.clone(),
                counter_of,
            ));
            tokio::spawn(copy_and_count(
                upstream_read,
                downstream_write,
                counters.clone(),
                counter_of,
            ));
        }
    });
    address
}

/// Copies bytes in one direction and counts them.
async fn copy_and_count(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    counters: Arc<Counters>,
    counter_of: CounterOf,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        counter_of(&counters).fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

fn vm(id: String, addr: SocketAddr, role: VmRole, capacity: Resources) -> VmEntry {
    VmEntry {
        id,
        addr: addr.to_string(),
        data_centre: "dc1".to_owned(),
        rack: String::new(),
        role,
        state: VmState::Live,
        capacity,
    }
}

/// Returns the bytes per second to and from workers, peers, store and VM list.
async fn measure(case: &TrafficCase) -> [f64; 4] {
    let (stop, stopped) = watch::channel(false);
    let counters = Arc::new(Counters::default());
    let (listener, address) = listen().await;
    tokio::spawn(run_store(
        listener,
        StoreOptions::default(),
        stopped.clone(),
    ));
    let store = proxy(address, counters.clone(), |counters| &counters.store).await;
    let direct = HttpStore::new(hs_http::HttpClient::default(), address);
    let manifest = br#"{ "revision": 1, "customers": [{ "name": "c" }], "workloads": [] }"#;
    let written = direct
        .put("manifest", 0, manifest.to_vec(), SETTLE_TIME)
        .await;
    written.expect("manifest");
    let mut vms = Vec::new();
    for number in 0..case.workers {
        let (listener, address) = listen().await;
        let options = WorkerOptions::default();
        tokio::spawn(run_worker(listener, options, stopped.clone()));
        let address = proxy(address, counters.clone(), |counters| &counters.workers).await;
        vms.push(vm(
            format!("w{number}"),
            address,
            VmRole::Worker,
            options.capacity,
        ));
    }
    let mut peers = Vec::new();
    for number in 0..case.entries {
        let (listener, address) = listen().await;
        let advertised = proxy(address, counters.clone(), |counters| &counters.peers).await;
        vms.push(vm(
            format!("e{number}"),
            advertised,
            VmRole::Entry,
            Resources::ZERO,
        ));
        peers.push((listener, address, advertised));
    }
    let (listener, address) = listen().await;
    let options = VmsOptions { lag_ms: 0, vms };
    tokio::spawn(run_vms(listener, options, stopped.clone()));
    let list = proxy(address, counters.clone(), |counters| &counters.vms).await;
    for (number, (peer, address, advertised)) in peers.into_iter().enumerate() {
        let (caller, caller_address) = listen().await;
        let (control, control_address) = listen().await;
        let settings = settings(
            number,
            [
                caller_address,
                control_address,
                address,
                advertised,
                store,
                list,
            ],
        );
        let platform = HttpPlatform::new(store, list);
        let listeners = NodeListeners {
            caller,
            control,
            peer,
        };
        tokio::spawn(run_with(settings, platform, listeners, stopped.clone()));
    }
    sleep(SETTLE_TIME).await;
    let read = || {
        let all = [
            &counters.workers,
            &counters.peers,
            &counters.store,
            &counters.vms,
        ];
        all.map(|counter| counter.load(Ordering::Relaxed))
    };
    let before = read();
    sleep(MEASURED_TIME).await;
    let after = read();
    let _ = stop.send(true);
    std::array::from_fn(|index| (after[index] - before[index]) as f64 / MEASURED_TIME.as_secs_f64())
}

fn settings(number: usize, addresses: [SocketAddr; 6]) -> Settings {
    let [caller, control, peer, advertised, store, list] = addresses;
    let text = serde_json::json!({
        "id": format!("e{number}"),
        "data_centre": "dc1",
        "caller_listen": caller,
        "control_listen": control,
        "peer_listen": peer,
        "peer_advertise": advertised,
        "store": store,
        "vm_list": list,
    });
    parse_settings(&text.to_string()).expect("settings")
}

fn main() {
    // `cargo test --benches` runs this program without `--bench`, only to check that it builds.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    let cases = [
        TrafficCase {
            entries: 1,
            workers: 4,
        },
        TrafficCase {
            entries: 1,
            workers: 44,
        },
        TrafficCase {
            entries: 3,
            workers: 4,
        },
        TrafficCase {
            entries: 7,
            workers: 4,
        },
        TrafficCase {
            entries: 7,
            workers: 132,
        },
    ];
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    println!("bytes a second, both directions, idle");
    println!("entries workers  to workers  to peers  to store  to VM list");
    for case in &cases {
        let [workers, peers, store, vms] = runtime.block_on(measure(case));
        println!(
            "{:>7} {:>7} {workers:>11.0} {peers:>9.0} {store:>9.0} {vms:>11.0}",
            case.entries, case.workers
        );
    }
}
