//! Tests of manifests of the maximum size and of invalid manifests.

use hs_wire::{Outcome, WorkReply};
use serde_json::json;

use crate::test_cluster::{CALL_TIMEOUT, LIMITS, MANIFEST, TestCluster, put_manifest};

/// Maximum size of a value in the store, in bytes.
const MAX_STORE_VALUE_BYTES: usize = 1_000_000;

fn large_manifest(revision: u64) -> String {
    let name = |number: usize| json!({ "name": format!("customer-{number:06}") });
    let mut customers = vec![json!({ "name": "acme" })];
    customers.extend((0..35_000).map(name));
    json!({
        "revision": revision,
        "customers": customers,
        "workloads": [{
            "name": "check", "class": "check", "resources": { "cpu_milli": 100, "connections": 1 }
        }],
    })
    .to_string()
}

async fn assert_serves(cluster: &TestCluster, revision: u64) {
    let work = json!({
        "key": "k-1", "customer": "acme", "workload": "check", "deadline_ms": 4000,
        "payload": "echo=k-1",
    });
    let peer = cluster.caller.to_string();
    let call = cluster
        .client
        .post_json("test", &peer, "/v1/work", &work, CALL_TIMEOUT);
    let reply: WorkReply = call.await.expect("a reply").json().expect("work reply");
    assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    assert_eq!(reply.revision, revision, "{reply:?}");
}

/// Guards against a manifest that the store accepts and an entry process rejects because of its
/// size, as when an installation grows to many customers.
#[tokio::test]
async fn manifest_of_a_megabyte_is_applied() {
    let text = large_manifest(2);
    assert!(
        (900_000..MAX_STORE_VALUE_BYTES).contains(&text.len()),
        "{}",
        text.len()
    );
    let cluster = TestCluster::start(MANIFEST, LIMITS).await;
    put_manifest(&cluster.client, cluster.store, &text, 1).await;
    cluster
        .wait_status("large manifest", |status| status["manifest_revision"] == 2)
        .await;
    assert_serves(&cluster, 2).await;
}

/// Guards against an invalid manifest that makes a process unavailable or is applied in part.
#[tokio::test]
async fn invalid_manifests_change_nothing() {
    let cases = [
        ("no JSON", "x".repeat(MAX_STORE_VALUE_BYTES)),
        ("deep nesting", "[".repeat(MAX_STORE_VALUE_BYTES)),
        ("cut off", large_manifest(2)[..500_000].to_owned()),
        (
            "unknown field",
            MANIFEST.replace("\"revision\": 1", "\"revision\": 2, \"x\": 0"),
        ),
        ("no revision", MANIFEST.replace("\"revision\": 1,", "")),
        ("empty", String::new()),
    ];
    for (name, text) in cases {
        let cluster = TestCluster::start(MANIFEST, LIMITS).await;
        put_manifest(&cluster.client, cluster.store, &text, 1).await;
        // The watch delivers the manifest within milliseconds, as the test above shows.
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        cluster
            .wait_status(name, |status| {
                status["manifest_revision"] == 1 && status["ready"] == true
            })
            .await;
        assert_serves(&cluster, 1).await;
    }
}
