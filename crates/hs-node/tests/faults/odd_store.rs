//! Tests of store values that another writer damaged.

use std::time::Duration;

use hs_ledger::partition_of;
use hs_wire::Outcome;
use hyper::Method;

use crate::harness::{CALL_TIMEOUT, Harness, HarnessOptions, MANIFEST};
use crate::log_lines;
use crate::platform::Switches;

/// Time in which a candidate reads a partition at least twice.
const READ_TIME: Duration = Duration::from_millis(3500);

/// Number of partitions.
const PARTITIONS: u32 = 4;

/// Partition whose value is damaged.
const DAMAGED: u32 = 2;

async fn put(harness: &Harness, path: &str, body: String) {
    let peer = harness.store.to_string();
    let call = harness
        .client
        .call("test", Method::PUT, &peer, path, body, CALL_TIMEOUT);
    assert_eq!(call.await.expect("store").status, 200, "{path}");
}

/// Starts a process that finds a value of the damaged partition in the store.
async fn start_with_value(value: String) -> Harness {
    let options = HarnessOptions {
        manifest: String::new(),
        ..HarnessOptions::default()
    };
    // Without a manifest, the process is no candidate yet.
    let harness = Harness::launch(options, Switches::new()).await;
    let path = format!("/kv/ledger/{DAMAGED}?if_revision=0");
    put(&harness, &path, value).await;
    harness.put_manifest(MANIFEST, 0).await;
    harness
}

fn value_with(records: &str) -> String {
    format!(
        r#"{{"epoch":1,"owner":{{"id":"x","addr":"127.0.0.1:1"}},"writer":"x","seq":1,"released":true,"records":[{records}]}}"#
    )
}

/// Returns keys of the damaged partition.
fn keys(prefix: &str) -> impl Iterator<Item = String> {
    let keys = (0..).map(move |number| format!("{prefix}{number}"));
    keys.filter(|key| partition_of("acme", key, PARTITIONS) == DAMAGED)
}

/// Guards against one odd record that keeps the durable work of its whole partition from being taken
/// over, and against one whose key counts as new, so that its work runs a second time.
#[tokio::test]
async fn an_odd_record_affects_only_its_key() {
    log_lines::keep();
    let odd_key = keys("odd").next().expect("a key");
    let odd = format!(
        r#"{{"c":"acme","k":"{odd_key}","w":"order","h":1,"l":"order","a":18446744073709551616,"t":[{{}}]}}"#
    );
    let harness = start_with_value(value_with(&odd)).await;
    harness.wait_until_owned().await;
    let reply = harness.submit(&odd_key, "order", 2000, "").await;
    assert_eq!(reply.outcome, Outcome::Unknown, "{reply:?}");
    for key in keys("new").take(3) {
        let reply = harness.submit(&key, "order", 8000, "").await;
        assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    }
    let log = harness.worker_log(&harness.vms[0].addr).await;
    assert_eq!(log.0.len(), 3, "{log:?}");
    let lines = log_lines::with(&["E6008", &format!("key={odd_key}")]);
    assert_eq!(lines.len(), 1, "{lines:?}");
}

/// Guards against a log line at each reading of a value that can't be decoded, and against a process
/// that overwrites it.
#[tokio::test]
async fn an_unreadable_value_is_logged_once_and_kept() {
    log_lines::keep();
    let value = "[".repeat(10_000);
    let harness = start_with_value(value.clone()).await;
    tokio::time::sleep(READ_TIME).await;
    let peer = harness.store.to_string();
    let path = format!("/kv/ledger/{DAMAGED}");
    let call = harness.client.get("test", &peer, &path, CALL_TIMEOUT);
    assert_eq!(call.await.expect("store").body, value.as_bytes());
    let lines = log_lines::with(&["E6007", &format!("partition={DAMAGED}")]);
    assert_eq!(lines.len(), 1, "{lines:?}");
    let path = format!("/kv/ledger/{DAMAGED}?if_revision=1");
    put(&harness, &path, value_with("")).await;
    harness.wait_until_owned().await;
    harness.assert_serves("afterwards").await;
}
