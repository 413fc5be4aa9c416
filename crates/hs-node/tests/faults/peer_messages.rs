//! Tests of malformed messages between processes.

use std::net::SocketAddr;

use hs_peer::message::forward_request::Call;
use hs_peer::message::{
    ForwardReply, ForwardRequest, Grant, HeartbeatRequest, HeldTask, PullReply, PullRequest,
    ReleaseRequest, ReserveReply, ReserveRequest, ResolveReply, ResolveRequest,
    Resources as FreeResources, TaskEnd, TasksRequest, WorkName,
};
use hs_wire::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fake_peer::{FakePeer, PeerReplies, connect, heartbeat};
use crate::harness::{Harness, HarnessOptions, listen};
use crate::log_lines;
use crate::platform::Switches;

/// Length of a log line that people can read, in bytes.
const MAX_LINE_BYTES: usize = 1200;

/// Texts that are no valid name, address, task or JSON body.
fn odd_texts() -> Vec<String> {
    let texts = [
        "",
        "x",
        "{}",
        "[",
        "null",
        "a b",
        "http://:0",
        "\u{0}\u{7f}",
        "s:svc:99999:x",
        "\u{1f980}",
    ];
    let mut texts: Vec<String> = texts.iter().map(|text| (*text).to_owned()).collect();
    texts.push("[".repeat(10_000));
    texts.push(
        r#"{"key":"k","customer":"acme","workload":"order","deadline_ms":18446744073709551615}"#
            .to_owned(),
    );
    texts.push(r#"{"version":18446744073709551615,"vms":7}"#.to_owned());
    texts
}

/// Sends each kind of message with odd texts and extreme numbers.
async fn send_odd_messages(target: SocketAddr) {
    let mut client = connect(target);
    let numbers = [0, 1, u64::from(u32::MAX), u64::MAX];
    for text in odd_texts() {
        for number in numbers {
            let small = number as u32;
            let odd_heartbeat = HeartbeatRequest {
                id: text.clone(),
                data_centre: text.clone(),
                address: text.clone(),
                incarnation: number,
                free: Some(FreeResources {
                    cpu_milli: small,
                    memory_mib: small,
                    accelerators: small,
                    slots: small,
                    connections: small,
                }),
                queued: small,
                manifest_revision: number,
                vm_list_version: number,
                leaving: false,
            };
            let _ = client.heartbeat(odd_heartbeat).await;
            for workload in ["order", "gang", &text] {
                for task_ids in [vec![], vec![text.clone()], vec![text.clone(); 3]] {
                    let reserve = ReserveRequest {
                        customer: "acme".to_owned(),
                        workload: workload.to_owned(),
                        task_ids: task_ids.clone(),
                        revision: number,
                        partial: number == 1,
                    };
                    let _ = client.reserve(reserve).await;
                    let ends = task_ids.into_iter().map(|task_id| TaskEnd {
                        task_id,
                        kind: small as i32,
                    });
                    let ends = ends.collect();
                    let _ = client.release(ReleaseRequest { ends }).await;
                }
            }
            let resolve = ResolveRequest {
                worker: text.clone(),
                task_id: text.clone(),
            };
            let _ = client.resolve(resolve).await;
            let name = || WorkName {
                customer: text.clone(),
                key: text.clone(),
            };
            let calls = [
                Call::SubmissionJson(text.clone()),
                Call::Query(name()),
                Call::Cancel(name()),
            ];
            for call in calls {
                let forward = ForwardRequest {
                    partition: small,
                    expires_at_ms: number,
                    call: Some(call),
                };
                let mut client = client.clone();
                // An accepted submission is answered only at its end.
                tokio::spawn(async move { client.forward(forward).await });
            }
            let _ = client.forward(ForwardRequest::default()).await;
            let prefix = text.clone();
            let _ = client.tasks(TasksRequest { prefix }).await;
            let pull = PullRequest {
                manifest_revision: number,
                vm_list_version: number,
            };
            let _ = client.pull(pull).await;
        }
    }
}

/// Sends bytes that are no HTTP, and HTTP/2 frames with random content.
async fn send_random_bytes(target: SocketAddr) {
    let mut state = 20_261_205_u64;
    for round in 0..200 {
        let Ok(mut stream) = TcpStream::connect(target).await else {
            continue;
        };
        let mut bytes = Vec::new();
        if round % 2 == 0 {
            bytes.extend_from_slice(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0");
        }
        for _ in 0..256 {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            bytes.push((state >> 56) as u8);
        }
        let _ = stream.write_all(&bytes).await;
    }
}

/// Guards against a malformed message of a peer that ends a task of the process or takes capacity for
/// good.
#[tokio::test]
async fn malformed_messages_change_nothing() {
    let harness = Harness::start(HarnessOptions::default()).await;
    let before = harness.status().await;
    send_random_bytes(harness.peer).await;
    send_odd_messages(harness.peer).await;
    harness.assert_serves("afterwards").await;
    let status = harness
        .wait_status("all capacity", |status| status["free"] == before["free"])
        .await;
    assert_eq!(status["workers"][0]["name"], "w0", "{status}");
    assert_eq!(status["vm_list_version"], before["vm_list_version"]);
}

/// Guards against malformed replies of a peer that end a task of the process or the work that needs
/// the peer: more grants than tasks, and texts that are not the expected JSON.
#[tokio::test]
async fn malformed_replies_of_a_peer_do_not_end_work() {
    let (first, second) = (listen().await, listen().await);
    // A gang asks the owners in the order of their addresses. The peer comes first.
    let (peer_listener, own_listener) = match first.1.to_string() < second.1.to_string() {
        true => (first.0, second.0),
        false => (second.0, first.0),
    };
    let grant = Grant {
        worker: "nowhere".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        fence: u64::MAX,
        incarnation: u64::MAX,
    };
    let replies = PeerReplies {
        delay: std::time::Duration::ZERO,
        tasks: Some(vec![HeldTask::default(); 3]),
        reserve: Some(ReserveReply {
            grants: vec![grant; 7],
            refusal: String::new(),
        }),
        resolve: Some(ResolveReply {
            owned: true,
            found: true,
            task_json: "[".to_owned(),
            ..ResolveReply::default()
        }),
        forward: Some(ForwardReply {
            owned: true,
            owner: "x".to_owned(),
            reply_json: "[".to_owned(),
        }),
        pull: Some(PullReply {
            manifest_revision: u64::MAX,
            manifest_json: "[".to_owned(),
            vm_list_version: u64::MAX,
            vm_list_json: "[".to_owned(),
        }),
    };
    let mut peer = FakePeer::start(peer_listener, replies);
    let own = own_listener.local_addr().expect("address");
    peer.send_heartbeats(own);
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    let name = crate::harness::name_owned_by_e0("w", str::to_owned);
    let worker = crate::harness::start_worker(&name, hs_standin::WorkerOptions::default(), stopped);
    let options = HarnessOptions {
        workers: vec![worker.await],
        peers: vec![peer.vm()],
        peer_listener: Some(own_listener),
        ..HarnessOptions::default()
    };
    let harness = Harness::start(options).await;
    let mut newer = heartbeat(peer.address);
    newer.manifest_revision = 9;
    newer.vm_list_version = 9;
    let _ = connect(own).heartbeat(newer).await;
    // The gang does not fit beside six tasks on eight slots, so that it asks the peer.
    let fillers = ["f0", "f1", "f2", "f3", "f4", "f5"]
        .map(|key| harness.submit(key, "order", 8000, "sleep=1500"));
    let [f0, f1, f2, f3, f4, f5] = fillers;
    let gang = async {
        while harness.running(&harness.vms[0].addr).await < 6 {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        harness.submit("g", "gang", 12_000, "sleep=20").await
    };
    let (gang, ..) = tokio::join!(gang, f0, f1, f2, f3, f4, f5);
    assert_eq!(gang.outcome, Outcome::Done, "{gang:?}");
    harness.assert_serves("afterwards").await;
}

/// Guards against a log line for each heartbeat of a peer that offers a manifest and a VM list that
/// can't be used, and against one line with thousands of findings.
#[tokio::test]
async fn unusable_offers_of_a_peer_are_logged_once() {
    log_lines::keep();
    let replies = PeerReplies {
        pull: Some(PullReply {
            manifest_revision: 9,
            manifest_json: format!("{{ \"customers\": [{}] }}", "1e400,".repeat(1000)),
            vm_list_version: 9,
            vm_list_json: "{\"version\":18446744073709551616,\"vms\":[]}".to_owned(),
        }),
        ..PeerReplies::default()
    };
    let peer = FakePeer::start(listen().await.0, replies);
    let options = HarnessOptions {
        peers: vec![peer.vm()],
        ..HarnessOptions::default()
    };
    let harness = Harness::launch(options, Switches::new()).await;
    let mut newer = heartbeat(peer.address);
    newer.manifest_revision = 9;
    newer.vm_list_version = 9;
    for _ in 0..10 {
        let _ = connect(harness.peer).heartbeat(newer.clone()).await;
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    let source = format!("source={}", peer.address);
    for event in ["E5002", "E3008"] {
        let lines = log_lines::with(&[event, &source]);
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(
            lines[0].len() < MAX_LINE_BYTES,
            "{event}: {}",
            lines[0].len()
        );
    }
}
