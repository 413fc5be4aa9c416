//! Manifests as large as the store takes, and ones that are not valid.

use hs_wire::{Outcome, WorkReply};
use serde_json::json;

use crate::site::{LIMIT, LIMITS, MANIFEST, Site, put_manifest};

/// Largest value of the store in bytes.
const STORE_BYTES: usize = 1_000_000;

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

async fn assert_serves(site: &Site, revision: u64) {
    let work = json!({
        "key": "k-1", "customer": "acme", "workload": "check", "deadline_ms": 4000,
        "payload": "echo=k-1",
    });
    let peer = site.caller.to_string();
    let call = site
        .client
        .post_json("test", &peer, "/v1/work", &work, LIMIT);
    let reply: WorkReply = call.await.expect("a reply").json().expect("work reply");
    assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    assert_eq!(reply.revision, revision, "{reply:?}");
}

/// Guards against an installation that outgrows its manifest: one that the store takes but an entry
/// process does not.
#[tokio::test]
async fn manifest_of_a_megabyte_is_applied() {
    let text = large_manifest(2);
    assert!(
        (900_000..STORE_BYTES).contains(&text.len()),
        "{}",
        text.len()
    );
    let site = Site::start(MANIFEST, LIMITS).await;
    put_manifest(&site.client, site.store, &text, 1).await;
    site.wait_status("large manifest", |status| status["manifest_revision"] == 2)
        .await;
    assert_serves(&site, 2).await;
}

/// Guards against an invalid manifest that takes a process out of service, or is applied in part.
#[tokio::test]
async fn invalid_manifests_change_nothing() {
    let cases = [
        ("no JSON", "x".repeat(STORE_BYTES)),
        ("deep nesting", "[".repeat(STORE_BYTES)),
        ("cut off", large_manifest(2)[..500_000].to_owned()),
        (
            "unknown field",
            MANIFEST.replace("\"revision\": 1", "\"revision\": 2, \"x\": 0"),
        ),
        ("no revision", MANIFEST.replace("\"revision\": 1,", "")),
        ("empty", String::new()),
    ];
    for (name, text) in cases {
        let site = Site::start(MANIFEST, LIMITS).await;
        put_manifest(&site.client, site.store, &text, 1).await;
        // The watch delivers it within milliseconds, as the test above shows.
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        site.wait_status(name, |status| {
            status["manifest_revision"] == 1 && status["ready"] == true
        })
        .await;
        assert_serves(&site, 1).await;
    }
}
