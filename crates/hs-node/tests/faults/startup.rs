//! Tests of what a process uses right after its start, and of a VM list that is wrong.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use hs_peer::message::PullReply;
use hs_wire::{Outcome, Resources, VmList, VmRole};

use crate::fake_peer::{FakePeer, PeerReplies};
use crate::harness::{Harness, HarnessOptions, MANIFEST, STATE_LIMIT, listen, vm};
use crate::platform::Switches;

/// Time in which the process reads a changed VM list, once a second, and acts on it.
const VM_LIST_TIME: Duration = Duration::from_secs(3);

fn manifest(revision: u64) -> String {
    MANIFEST.replace("\"revision\": 1", &format!("\"revision\": {revision}"))
}

fn old_manifest_of_a_peer() -> PeerReplies {
    let pull = PullReply {
        manifest_revision: 1,
        manifest_json: manifest(1),
        ..PullReply::default()
    };
    PeerReplies {
        pull: Some(pull),
        ..PeerReplies::default()
    }
}

/// Guards against a restarted process that uses the old manifest of a peer, for instance with a
/// customer that was removed since, while the store has a newer one.
#[tokio::test]
async fn an_old_manifest_of_a_peer_does_not_precede_the_store() {
    let peer = FakePeer::start(listen().await.0, old_manifest_of_a_peer());
    let options = HarnessOptions {
        manifest: manifest(2),
        seeds: vec![peer.address],
        store_delay_ms: 400,
        ..HarnessOptions::default()
    };
    let harness = Harness::launch(options, Switches::new()).await;
    let begin = Instant::now();
    loop {
        let status = harness.status().await;
        match status["manifest_revision"].as_u64() {
            Some(2) => return,
            None | Some(0) => {}
            Some(_) => panic!("the old manifest is in force: {status}"),
        }
        assert!(begin.elapsed() < STATE_LIMIT, "{status}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a process that waits for a store which does not answer although a peer has a
/// manifest.
#[tokio::test]
async fn a_manifest_of_a_peer_takes_effect_without_the_store() {
    let peer = FakePeer::start(listen().await.0, old_manifest_of_a_peer());
    let options = HarnessOptions {
        manifest: String::new(),
        seeds: vec![peer.address],
        store_delay_ms: 60_000,
        ..HarnessOptions::default()
    };
    let begin = Instant::now();
    let harness = Harness::launch(options, Switches::new()).await;
    harness
        .wait_status("the manifest of the peer", |status| {
            status["manifest_revision"] == 1 && status["ready"] == true
        })
        .await;
    assert!(
        begin.elapsed() < Duration::from_secs(3),
        "{:?}",
        begin.elapsed()
    );
}

/// Guards against a restarted process that uses the old VM list of a peer, for instance with a worker
/// that is leaving since, while the platform has a newer one.
#[tokio::test]
async fn an_old_vm_list_of_a_peer_does_not_precede_the_platform() {
    let (listener, address) = listen().await;
    let old = VmList {
        version: 1,
        vms: vec![vm("e0", address, VmRole::Entry, Resources::ZERO)],
        ..VmList::default()
    };
    let pull = PullReply {
        vm_list_version: 1,
        vm_list_json: serde_json::to_string(&old).expect("VM list"),
        ..PullReply::default()
    };
    let replies = PeerReplies {
        pull: Some(pull),
        ..PeerReplies::default()
    };
    let peer = FakePeer::start(listen().await.0, replies);
    for (delay_ms, first) in [(400, 2), (60_000, 1)] {
        let options = HarnessOptions {
            seeds: vec![peer.address],
            vm_list_delay_ms: delay_ms,
            ..HarnessOptions::default()
        };
        let harness = Harness::launch(options, Switches::new()).await;
        let status = harness
            .wait_status("a VM list", |status| {
                status["vm_list_version"].as_u64().is_some_and(|it| it > 0)
            })
            .await;
        assert_eq!(status["vm_list_version"], first, "delay of {delay_ms} ms");
    }
    drop(listener);
}

/// Guards against a restarted process that places work on a worker that the manifest drains: it took
/// the lease before it had the manifest, and the link learns of the manifest after the placer.
#[tokio::test]
async fn a_worker_drained_before_the_start_gets_no_work() {
    let options = HarnessOptions {
        manifest: String::new(),
        ..HarnessOptions::default()
    };
    let harness = Harness::launch(options, Switches::new()).await;
    harness.switches.hold_leases_after(1);
    harness
        .wait_status("ownership of the worker", |status| {
            let workers = status["workers"].as_array();
            workers.is_some_and(|workers| !workers.is_empty())
        })
        .await;
    // The link now waits for the reply to its first renewal, as with a slow worker.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let drained = MANIFEST.replace("\"revision\": 1", "\"revision\": 1, \"draining\": [\"w0\"]");
    harness.put_manifest(&drained, 0).await;
    harness
        .wait_status("the manifest", |status| status["manifest_revision"] == 1)
        .await;
    let reply = harness.submit("k", "check", 300, "").await;
    harness.switches.deliver_leases();
    assert_eq!(reply.outcome, Outcome::NotRun, "{reply:?}");
    let log = harness.worker_log(&harness.vms[0].addr).await;
    assert!(log.0.is_empty(), "{log:?}");
}

/// Guards against a VM list without any process, which is certainly wrong, that makes the process
/// release every worker, so that the running work is stopped and started elsewhere.
#[tokio::test]
async fn a_list_without_entry_vms_changes_nothing() {
    /// Ids of the VMs in the list.
    struct ListCase(&'static str, &'static [&'static str]);
    let cases = [ListCase("empty", &[]), ListCase("other VMs only", &["w1"])];
    for ListCase(name, ids) in cases {
        let harness = Harness::start(HarnessOptions::default()).await;
        let mut other = harness.vms[0].clone();
        other.id = "w1".to_owned();
        other.addr = "127.0.0.1:1".to_owned();
        let all = harness.vms.iter().cloned().chain([other]);
        let listed = all.filter(|entry| ids.contains(&entry.id.as_str()));
        harness.put_vms(listed.collect()).await;
        tokio::time::sleep(VM_LIST_TIME).await;
        let status = harness.status().await;
        assert_eq!(status["workers"][0]["name"], "w0", "{name}: {status}");
        harness.assert_serves(name).await;
        // A later, complete list is still applied.
        let version = status["vm_list_version"].as_u64();
        harness.put_vms(harness.vms.clone()).await;
        harness
            .wait_status(name, |status| status["vm_list_version"].as_u64() > version)
            .await;
    }
}

/// Guards against a flood of calls to a store whose watches end at once, which takes the calls that
/// all users of the store share.
#[tokio::test]
async fn watches_that_end_at_once_are_apart() {
    let switches = Switches::new();
    switches.ends_watches.store(true, Ordering::Relaxed);
    let harness = Harness::launch(HarnessOptions::default(), switches).await;
    harness.wait_until_owned().await;
    let before = harness.switches.watches.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let watches = harness.switches.watches.load(Ordering::Relaxed) - before;
    assert!(watches <= 10, "{watches} watches in 2 s");
    harness
        .switches
        .ends_watches
        .store(false, Ordering::Relaxed);
    harness.put_manifest(&manifest(2), 1).await;
    harness
        .wait_status("the next manifest", |status| {
            status["manifest_revision"] == 2
        })
        .await;
}
