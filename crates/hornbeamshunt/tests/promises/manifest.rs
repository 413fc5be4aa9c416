//! P8: an accepted manifest is in effect everywhere in time, and never reverts.

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
    Caller, CutLink, EntryNode, HoldKind, NodeSpec, TestPlatform, eventually, free_address,
    publish, run_test, submission, wait_owned,
};

/// Time after which a manifest is in effect on every process while the store is up.
const EFFECT_LIMIT: Duration = Duration::from_secs(2);

/// Time after which a manifest is in effect on every process after a partition has healed.
const HEAL_LIMIT: Duration = Duration::from_secs(8);

fn manifest(mark: &str) -> String {
    format!(
        r#"{{
            customers: [{{ name: "acme" }}, {{ name: "{mark}" }}],
            workloads: [{{ name: "check", class: "check", resources: {{ connections: 1 }} }}],
        }}"#
    )
}

/// Looks at the revision of each process every 50 ms.
struct RevisionWatch {
    stop: watch::Sender<bool>,
    looks: Vec<JoinHandle<Vec<u64>>>,
}

impl RevisionWatch {
    fn start(nodes: &[EntryNode]) -> Self {
        let (stop, stopped) = watch::channel(false);
        let looks = nodes
            .iter()
            .map(|node| tokio::spawn(look(node.control, stopped.clone())));
        let looks = looks.collect();
        Self { stop, looks }
    }

    /// Ends the watch.
    ///
    /// # Panics
    ///
    /// Panics if a process went to a lower revision, or was hardly seen.
    async fn assert_never_lower(self) {
        self.stop.send_replace(true);
        for look in self.looks {
            let seen = look.await.expect("revisions");
            assert!(seen.len() >= 10, "{seen:?}");
            assert!(seen.is_sorted(), "the manifest reverted: {seen:?}");
        }
    }
}

async fn look(control: SocketAddr, stopped: watch::Receiver<bool>) -> Vec<u64> {
    let mut seen = Vec::new();
    while !*stopped.borrow() {
        seen.extend(text_of(control).await.as_ref().map(revision));
        sleep(Duration::from_millis(50)).await;
    }
    seen
}

/// Returns the manifest that a process has in force.
async fn text_of(control: SocketAddr) -> Option<Value> {
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

/// Waits until every process has the manifest in force.
async fn wait_in_force(nodes: &[EntryNode], expected: &Value, since: Instant, limit: Duration) {
    let left = limit.saturating_sub(since.elapsed());
    let what = format!("revision {} on every process", revision(expected));
    eventually(&what, left, async || {
        for node in nodes {
            let found = text_of(node.control).await?;
            if found != *expected {
                return None;
            }
        }
        Some(())
    })
    .await;
}

async fn stored(platform: &TestPlatform) -> Value {
    platform
        .store
        .get("/kv/manifest")
        .await
        .json()
        .expect("manifest")
}

/// Guards against two publishers that both win one revision, and against processes that settle on
/// different texts.
#[test]
fn racing_publishes() {
    run_test(async {
        let mut platform = TestPlatform::start(1, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 3, &manifest("first")).await;
        let revisions = RevisionWatch::start(&nodes);
        let mut last = revision(&stored(&platform).await);
        for round in 0..6 {
            // Both read the same revision before the first of them writes.
            platform.store.fault(json!({ "delay_ms": 100 })).await;
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
            platform.store.fault(json!({})).await;
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
                let mark = format!("r{round}s{side}");
                let is_stored = found["customers"][1]["name"] == mark.as_str();
                assert!(*is_won || !is_stored, "{output:?}");
                assert!(*is_won || output.status.code() == Some(3), "{output:?}");
            }
            last = revision(&found);
            wait_in_force(&nodes, &found, since, EFFECT_LIMIT).await;
        }
        assert!(last < 13, "no two publishes raced");
        revisions.assert_never_lower().await;
    });
}

/// Guards against a process that cannot start without the store.
#[test]
fn start_while_the_store_is_down() {
    run_test(async {
        let mut platform = TestPlatform::start(2, WorkerOptions::default()).await;
        let nodes = EntryNode::start_all(&mut platform, 2, &manifest("first")).await;
        let expected = stored(&platform).await;
        let mut late = EntryNode::prepare(&mut platform, 2, NodeSpec::default()).await;
        platform.publish_vms().await;
        sleep(Duration::from_millis(1500)).await;
        platform.store.fault(json!({ "down": "refuse" })).await;
        platform.vms.fault(json!({ "down": "drop" })).await;
        late.spawn();
        let begin = Instant::now();
        let late = [late];
        wait_in_force(&late, &expected, begin, EFFECT_LIMIT).await;
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

/// Two processes in a data centre each, with links for everything that may be cut.
struct TwoSites {
    platform: TestPlatform,
    nodes: Vec<EntryNode>,
    stores: Vec<CutLink>,
    peers: Vec<CutLink>,
}

impl TwoSites {
    async fn start() -> Self {
        let mut platform = TestPlatform::start(2, WorkerOptions::default()).await;
        platform.entries[1].data_centre = "dc2".to_owned();
        let (mut nodes, mut stores, mut peers) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..2 {
            let peer_listen = free_address();
            let peer = CutLink::open(peer_listen).await;
            let store = CutLink::open(platform.store.address).await;
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
        wait_owned(&nodes, 2).await;
        Self {
            platform,
            nodes,
            stores,
            peers,
        }
    }

    fn cut(&self, is_cut: bool) {
        self.stores[1].set_cut(is_cut);
        self.peers.iter().for_each(|link| link.set_cut(is_cut));
    }

    fn publish(&self, mark: &str) {
        let output = publish(&self.platform, &manifest(mark));
        assert!(output.status.success(), "{output:?}");
    }
}

/// Guards against a data centre that stays behind after a partition, or that stops serving checks
/// during it. The second partition begins with a manifest on its way.
#[test]
fn partitioned_data_centre() {
    run_test(async {
        let sites = TwoSites::start().await;
        let revisions = RevisionWatch::start(&sites.nodes);
        for turn in 0..2 {
            let before = text_of(sites.nodes[1].control).await.expect("manifest");
            sites.cut(true);
            sleep(Duration::from_millis(200)).await;
            sites.publish(&format!("a{turn}"));
            let since = Instant::now();
            let expected = stored(&sites.platform).await;
            wait_in_force(&sites.nodes[..1], &expected, since, EFFECT_LIMIT).await;
            sleep(Duration::from_secs(2)).await;
            let during = text_of(sites.nodes[1].control).await.expect("manifest");
            assert_eq!(during, before, "the data centre is not cut off");
            let work = submission(&format!("k{turn}"), "check", 2000, "sleep=5");
            let reply = Caller::default().submit(sites.nodes[1].caller, &work).await;
            assert_eq!(reply.expect("a reply").outcome, Outcome::Done);
            sites.cut(false);
            wait_in_force(&sites.nodes, &expected, Instant::now(), HEAL_LIMIT).await;
        }
        revisions.assert_never_lower().await;
    });
}

/// Guards against a store reply that comes late, after a peer has brought a higher revision.
#[test]
fn late_reply_of_the_store() {
    run_test(async {
        let sites = TwoSites::start().await;
        let revisions = RevisionWatch::start(&sites.nodes);
        // The next watch of the first process is the one that follows this publication.
        sites.stores[0].hold(HoldKind::Reply, "/watch/manifest");
        sites.publish("one");
        eventually("a watch whose reply is held", EFFECT_LIMIT, async || {
            (sites.stores[0].held() > 0).then_some(())
        })
        .await;
        sites.publish("two");
        let older = stored(&sites.platform).await;
        sites.publish("three");
        let expected = stored(&sites.platform).await;
        wait_in_force(&sites.nodes, &expected, Instant::now(), HEAL_LIMIT).await;
        // The watch that follows would hide the lower revision, so that its reply is still held.
        sites.stores[0].pass_held();
        sleep(Duration::from_secs(1)).await;
        let found = text_of(sites.nodes[0].control).await.expect("manifest");
        assert_eq!(found, expected, "reverted to {older}?");
        revisions.assert_never_lower().await;
    });
}
