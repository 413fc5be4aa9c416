//! Tests of the replicas of services while workers change hands between two processes.

use std::time::Duration;

use hs_node::service::ReplicaId;
use hs_peer::message::HeldTask;
use hs_wire::TaskPhase;

use crate::fake_peer::{FakePeer, PeerReplies};
use crate::harness::{Harness, HarnessOptions, listen, name_owned_by_e0, start_worker};
use hs_standin::WorkerOptions;
use tokio::sync::watch;

/// Time in which a service is compared several times, once a second.
const SEVERAL_COMPARISONS: Duration = Duration::from_millis(3500);

/// Time in which a service is compared at least once, and at most twice.
const ONE_COMPARISON: Duration = Duration::from_millis(1300);

/// Time without any comparison that succeeds, longer than the time for which a replica has to be
/// missing.
const BLIND_TIME: Duration = Duration::from_millis(5000);

/// Time after the blind time that is shorter than the time for which a replica has to be missing.
const AFTERWARDS: Duration = Duration::from_millis(2200);

struct ServiceTest {
    harness: Harness,
    peer: FakePeer,
    service: String,
    worker: String,
    _stop: watch::Sender<bool>,
}

impl ServiceTest {
    /// Starts a process that owns a worker and a service, beside a peer.
    async fn start(replies: PeerReplies) -> Self {
        let (stop, stopped) = watch::channel(false);
        let service = name_owned_by_e0("svc", |name| format!("{}{name}", ReplicaId::PREFIX));
        let worker = name_owned_by_e0("w", str::to_owned);
        let entry = start_worker(&worker, WorkerOptions::default(), stopped).await;
        let mut peer = FakePeer::start(listen().await.0, replies);
        let (listener, address) = listen().await;
        peer.send_heartbeats(address);
        let manifest = format!(
            r#"{{ "revision": 1, "customers": [{{ "name": "acme" }}], "workloads": [{{
                "name": "{service}", "class": "service", "customer": "acme",
                "resources": {{ "slots": 1 }}, "payload": "sleep=600000"
            }}] }}"#
        );
        let options = HarnessOptions {
            manifest,
            workers: vec![entry.clone()],
            peers: vec![peer.vm()],
            peer_listener: Some(listener),
            ..HarnessOptions::default()
        };
        let harness = Harness::start(options).await;
        Self {
            harness,
            peer,
            service,
            worker: entry.addr,
            _stop: stop,
        }
    }

    /// Returns the phases of all starts on the worker.
    async fn phases(&self) -> Vec<TaskPhase> {
        let log = self.harness.worker_log(&self.worker).await;
        log.0.iter().map(|start| start.phase).collect()
    }
}

/// Guards against the stop of the only replica while its worker changes hands: the old and the new
/// owner both list its task for a moment, also when the old owner was paused.
#[tokio::test]
async fn a_replica_listed_by_two_owners_keeps_running() {
    let none_held = PeerReplies {
        tasks: Some(Vec::new()),
        ..PeerReplies::default()
    };
    let test = ServiceTest::start(none_held).await;
    let status = test
        .harness
        .wait_status("a replica", |status| status["workers"][0]["tasks"] == 1)
        .await;
    let log = test.harness.worker_log(&test.worker).await;
    let held = HeldTask {
        task_id: log.0[0].id.0.clone(),
        worker: "w".to_owned(),
        address: test.worker.clone(),
        fence: status["workers"][0]["fence"].as_u64().expect("fence"),
        draining: false,
    };
    test.peer.set(|replies| replies.tasks = Some(vec![held]));
    tokio::time::sleep(SEVERAL_COMPARISONS).await;
    assert_eq!(test.phases().await, [TaskPhase::Running]);
}

/// Guards against a second replica that is started because one was missing before a time in which
/// the process could not compare, such as a pause, a silent peer or another owner of the service.
#[tokio::test]
async fn time_without_a_comparison_does_not_count_as_missing() {
    let held = HeldTask {
        task_id: String::new(),
        worker: "w".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        fence: 1,
        draining: false,
    };
    let service = name_owned_by_e0("svc", |name| format!("{}{name}", ReplicaId::PREFIX));
    let held = HeldTask {
        task_id: format!("{}{service}:0:1", ReplicaId::PREFIX),
        ..held
    };
    let listed = PeerReplies {
        tasks: Some(vec![held.clone()]),
        ..PeerReplies::default()
    };
    let test = ServiceTest::start(listed).await;
    assert_eq!(test.service, service);
    test.peer.set(|replies| replies.tasks = Some(Vec::new()));
    tokio::time::sleep(ONE_COMPARISON).await;
    test.peer.set(|replies| replies.tasks = None);
    tokio::time::sleep(BLIND_TIME).await;
    test.peer.set(|replies| replies.tasks = Some(Vec::new()));
    tokio::time::sleep(AFTERWARDS).await;
    test.peer.set(|replies| replies.tasks = Some(vec![held]));
    assert_eq!(test.phases().await, [], "starts of the replica");
}
