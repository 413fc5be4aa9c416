//! P8: an accepted manifest is in effect on every process in time, and never reverts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hs_http::HttpClient;
use hs_standin::WorkerOptions;
use hs_wire::Outcome;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::cluster::{
    Caller, EntryNode, FaultyLink, HoldKind, NodeSpec, TestPlatform, eventually, free_address,
    publish, run_test, submission, wait_until_owned,
};

/// Maximum time until a manifest is in effect on every process while the store is up.
const EFFECT_LIMIT: Duration = Duration::from_secs(2);

/// Maximum time until a manifest is in effect on every process after a network partition has healed.
const RECOVERY_LIMIT: Duration = Duration::from_secs(8);

/// Returns a manifest with a second customer of the given name, which distinguishes manifests.
fn manifest(customer: &str) -> String {
    format!(
        r#"{{
            customers: [{{ name: "acme" }}, {{ name: "{customer}" }}],
            workloads: [{{ name: "check", class: "check", resources: {{ connections: 1 }} }}],
        }}"#
    )
}

/// Records the manifest revision of each process every 50 ms.
struct RevisionWatch {
    stop: watch::Sender<bool>,
    observers: Vec<JoinHandle<Vec<u64>>>,
}

impl RevisionWatch {
    fn start(nodes: &[EntryNode]) -> Self {
        let (stop, stopped) = watch::channel(false);
        let observers = nodes
            .iter()
            .map(|node| tokio::spawn(observe(node.control, stopped.clone())));
        let observers = observers.collect();
        Self { stop, observers }
    }

    /// Ends the watch.
    ///
    /// # Panics
    ///
    /// Panics if a process went back to a lower revision, or has fewer than 10 observations.
    async fn assert_never_lower(self) {
        self.stop.send_replace(true);
        for observer in self.observers {
            let seen = observer.await.expect("revisions");
            assert!(seen.len() >= 10, "{seen:?}");
            assert!(seen.is_sorted(), "the manifest reverted: {seen:?}");
        }
    }
}

/// Returns the revisions that a process reported until `stopped` is set.
async fn observe(control: SocketAddr, stopped: watch::Receiver<bool>) -> Vec<u64> {
    let mut seen = Vec::new();
    while !*stopped.borrow() {
        seen.extend(manifest_of(control).await.as_ref().map(revision));
        sleep(Duration::from_millis(50)).await;
    }
    seen
}

/// Returns the manifest in effect on a process.
async fn manifest_of(control: SocketAddr) -> Option<Value> {
    let limit = Duration::from_secs(1);
    let call = HttpClient::default();
    let reply = call
        .get("manifest", &control.to_string(), "/v1/manifest", limit)
        .await
        .ok()?;
    reply.json().ok()
}

fn revision(manifest: &Value) -> u64 {
    manifest["revision"].as_u64().unwrap_or(0)
}

/// Waits until the manifest is in effect on every process.
async fn wait_in_effect(nodes: &[EntryNode], expected: &Value, since: Instant, limit: Duration) {
    let left = limit.saturating_sub(since.elapsed());
    let what = format!("revision {} on every process", revision(expected));
    eventually(&what, left, async || {
        for node in nodes {
            let found = manifest_of(node.control).await?;
            if found != *expected {
                return None;
            }
        }
        Some(())
    })
    .await;
}

/// Returns the manifest in the store.
async fn stored(platform: &TestPlatform) -> Value {
    platform
        .store
        .get("/kv/manifest")
        .await
        .json()
        .expect("manifest")
}

/// Guards against two publishers that both succeed with the same revision, and against processes that
/// end up with different manifests.
#[test]
fn racing_publishes() {
    run_test(async {
        let mut platform = TestPlatform::start(1, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 3, &manifest("first")).await;
        let revisions = RevisionWatch::start(&nodes);
        let mut last = revision(&stored(&platform).await);
        for round in 0..6 {
            // With this delay both publishers read the same revision before the first one writes.
            platform.store.set_faults(json!({ "delay_ms": 100 })).await;
            let texts = [0, 1].map(|side| manifest(&format!("r{round}s{side}")));
            let outputs: Vec<_> = std::thread::scope(|scope| {
                let platform = &platform;
                let racers = texts
                    .each_ref()
                    .map(|text| scope.spawn(move || publish(platform, text)));
                racers
                    .into_iter()
                    .map(|racer| racer.join().expect("publish"))
                    .collect()
            });
            platform.store.set_faults(json!({})).await;
            let since = Instant::now();
            let won: Vec<bool> = outputs
                .iter()
                .map(|output| output.status.success())
                .collect();
            let found = stored(&platform).await;
            let wins = won.iter().filter(|won| **won).count() as u64;
            assert!(wins >= 1, "{outputs:?}");
            assert_eq!(revision(&found), last + wins, "{outputs:?}");
            for (side, (is_won, output)) in won.iter().zip(&outputs).enumerate() {
                let customer = format!("r{round}s{side}");
                let is_stored = found["customers"][1]["name"] == customer.as_str();
                assert!(*is_won || !is_stored, "{output:?}");
                assert!(*is_won || output.status.code() == Some(3), "{output:?}");
            }
            last = revision(&found);
            wait_in_effect(&nodes, &found, since, EFFECT_LIMIT).await;
        }
        assert!(last < 13, "no two publishes raced");
        revisions.assert_never_lower().await;
    });
}

/// Guards against a process that cannot start while the store is down.
#[test]
fn start_while_the_store_is_down() {
    run_test(async {
        let mut platform = TestPlatform::start(2, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 2, &manifest("first")).await;
        let expected = stored(&platform).await;
        let mut late = EntryNode::prepare(&mut platform, 2, NodeSpec::default()).await;
        platform.publish_vms().await;
        sleep(Duration::from_millis(1500)).await;
        platform.store.set_faults(json!({ "down": "refuse" })).await;
        platform.vms.set_faults(json!({ "down": "drop" })).await;
        late.spawn();
        let begin = Instant::now();
        let late = [late];
        wait_in_effect(&late, &expected, begin, EFFECT_LIMIT).await;
        eventually("VM list from a peer", EFFECT_LIMIT, async || {
            let status = late[0].status().await?;
            (status["vm_list_version"].as_u64()? > 1 && status["ready"] == true).then_some(())
        })
        .await;
        let work = submission("k", "check", 2000, "sleep=5");
        let reply = Caller::default()
            .submit(late[0].caller, &work)
            .await
            .expect("a reply");
        assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
        drop(nodes);
    });
}

/// Two data centres with one process each, and a link in front of everything that may be cut off.
struct TwoSites {
    platform: TestPlatform,
    nodes: Vec<EntryNode>,
    stores: Vec<FaultyLink>,
    peers: Vec<FaultyLink>,
}

impl TwoSites {
    async fn start() -> Self {
        let mut platform = TestPlatform::start(2, WorkerOptions::default()).await;
        platform.entries[1].data_centre = "dc2".to_owned();
        let (mut nodes, mut stores, mut peers) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..2 {
            let peer_listen = free_address();
            let peer = FaultyLink::open(peer_listen).await;
            let store = FaultyLink::open(platform.store.address).await;
            let spec = NodeSpec {
                data_centre: format!("dc{}", number + 1),
                store: Some(store.address),
                advertise: Some(peer.address),
                peer_listen: Some(peer_listen),
                ..NodeSpec::default()
            };
            nodes.push(EntryNode::prepare(&mut platform, number, spec).await);
            stores.push(store);
            peers.push(peer);
        }
        platform.publish_vms().await;
        publish(&platform, &manifest("first"));
        for node in &mut nodes {
            node.spawn();
        }
        wait_until_owned(&nodes, 2).await;
        Self {
            platform,
            nodes,
            stores,
            peers,
        }
    }

    /// Cuts the second data centre off from the store and from its peers, or restores the links.
    fn set_partitioned(&self, is_cut: bool) {
        self.stores[1].set_cut(is_cut);
        self.peers.iter().for_each(|link| link.set_cut(is_cut));
    }

    fn publish(&self, customer: &str) {
        let output = publish(&self.platform, &manifest(customer));
        assert!(output.status.success(), "{output:?}");
    }
}

/// Guards against a data centre that keeps an old manifest after a network partition, or that stops
/// serving checks during it. The second partition follows directly on the recovery from the first.
#[test]
fn partitioned_data_centre() {
    run_test(async {
        let sites = TwoSites::start().await;
        let revisions = RevisionWatch::start(&sites.nodes);
        for round in 0..2 {
            let before = manifest_of(sites.nodes[1].control).await.expect("manifest");
            sites.set_partitioned(true);
            sleep(Duration::from_millis(200)).await;
            sites.publish(&format!("a{round}"));
            let since = Instant::now();
            let expected = stored(&sites.platform).await;
            wait_in_effect(&sites.nodes[..1], &expected, since, EFFECT_LIMIT).await;
            sleep(Duration::from_secs(2)).await;
            let during = manifest_of(sites.nodes[1].control).await.expect("manifest");
            assert_eq!(during, before, "the data centre is not cut off");
            let work = submission(&format!("k{round}"), "check", 2000, "sleep=5");
            let reply = Caller::default().submit(sites.nodes[1].caller, &work).await;
            assert_eq!(reply.expect("a reply").outcome, Outcome::Done);
            sites.set_partitioned(false);
            wait_in_effect(&sites.nodes, &expected, Instant::now(), RECOVERY_LIMIT).await;
        }
        revisions.assert_never_lower().await;
    });
}

/// Guards against a late reply of the store that replaces the higher revision received from a peer.
#[test]
fn late_reply_of_the_store() {
    run_test(async {
        let sites = TwoSites::start().await;
        let revisions = RevisionWatch::start(&sites.nodes);
        // The publication below ends the current watch of the first process. The next one is held.
        sites.stores[0].hold(HoldKind::Reply, "/watch/manifest");
        sites.publish("one");
        eventually("a watch whose reply is held", EFFECT_LIMIT, async || {
            (sites.stores[0].held_count() > 0).then_some(())
        })
        .await;
        sites.publish("two");
        let older = stored(&sites.platform).await;
        sites.publish("three");
        let expected = stored(&sites.platform).await;
        wait_in_effect(&sites.nodes, &expected, Instant::now(), RECOVERY_LIMIT).await;
        // The reply to the watch after that stays held, since it would hide a revert to the lower
        // revision.
        sites.stores[0].deliver_held();
        sleep(Duration::from_secs(1)).await;
        let found = manifest_of(sites.nodes[0].control).await.expect("manifest");
        assert_eq!(found, expected, "reverted to {older}?");
        revisions.assert_never_lower().await;
    });
}
