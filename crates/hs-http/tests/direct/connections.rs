//! Use and reuse of connections.

use std::sync::Arc;
use std::time::Duration;

use hs_http::DirectClient;
use hs_http::direct::MAX_IDLE_CONNECTIONS;
use tokio::sync::Barrier;
use tokio::time::sleep;

use crate::peer::{CALL_TIMEOUT, Peer, PeerBehaviour, body};

struct ConnectionCase {
    behaviour: PeerBehaviour,
    /// Number of connections that three calls, one after the other, open.
    connections: usize,
}

/// Guards against a connection for each call, which workers charge for, and against calls that fail
/// because the peer has closed an idle connection.
#[tokio::test]
async fn calls_reuse_connections_that_are_open() {
    let cases = [
        ConnectionCase {
            behaviour: PeerBehaviour::Reply,
            connections: 1,
        },
        ConnectionCase {
            behaviour: PeerBehaviour::CloseAfterReply,
            connections: 3,
        },
        ConnectionCase {
            behaviour: PeerBehaviour::AnnounceClose,
            connections: 3,
        },
    ];
    for case in cases {
        let peer = Peer::start(case.behaviour.clone()).await;
        let client = DirectClient::default();
        for number in 1..=3 {
            let reply = peer.call(&client, CALL_TIMEOUT).await;
            assert_eq!(body(reply), number.to_string(), "{:?}", case.behaviour);
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(peer.connections(), case.connections, "{:?}", case.behaviour);
    }
}

/// Guards against a call that takes the late reply of an earlier call for its own.
#[tokio::test]
async fn a_connection_is_not_used_after_a_call_without_reply() {
    let peer = Peer::start(PeerBehaviour::Delay(Duration::from_millis(150))).await;
    let client = DirectClient::default();
    let first = peer.call(&client, Duration::from_millis(50)).await;
    let error = first.expect_err("no reply in time");
    assert!(!error.is_not_sent(), "{error}");
    assert_eq!(body(peer.call(&client, CALL_TIMEOUT).await), "2");
    assert_eq!(peer.connections(), 2);
}

/// Guards against orders that wait behind a long-polled call to the same worker.
#[tokio::test]
async fn calls_to_a_peer_do_not_wait_for_each_other() {
    let barrier = Arc::new(Barrier::new(2));
    let peer = Peer::start(PeerBehaviour::WaitForOthers(barrier)).await;
    let client = DirectClient::default();
    let (first, second) = tokio::join!(
        peer.call(&client, CALL_TIMEOUT),
        peer.call(&client, CALL_TIMEOUT),
    );
    assert_ne!(body(first), body(second));
}

/// Guards against a new connection for each order to a worker that seldom gets one: the connection for orders would
/// reach its maximum age beside the one that is always in use for renewals.
#[tokio::test]
async fn idle_connections_take_turns() {
    let peer = Peer::start(PeerBehaviour::NameConnection(Duration::from_millis(20))).await;
    let client = DirectClient::default();
    let (first, second) = tokio::join!(
        peer.call(&client, CALL_TIMEOUT),
        peer.call(&client, CALL_TIMEOUT),
    );
    assert_ne!(body(first), body(second));
    let mut used = Vec::new();
    for _ in 0..4 {
        used.push(body(peer.call(&client, CALL_TIMEOUT).await));
    }
    assert_eq!(used[..2], used[2..], "{used:?}");
    assert_ne!(used[0], used[1], "{used:?}");
    assert_eq!(peer.connections(), 2);
}

/// Guards against a second call that fails like the first because the open connections to a peer have gone silent.
#[tokio::test]
async fn a_new_connection_is_used_after_a_call_without_reply() {
    let peer = Peer::start(PeerBehaviour::FallSilent(2)).await;
    let client = DirectClient::default();
    let (first, second) = tokio::join!(
        peer.call(&client, CALL_TIMEOUT),
        peer.call(&client, CALL_TIMEOUT),
    );
    assert_ne!(body(first), body(second));
    assert_eq!(peer.connections(), 2);
    let lost = peer.call(&client, Duration::from_millis(50)).await;
    lost.expect_err("the connection is silent");
    assert_eq!(body(peer.call(&client, CALL_TIMEOUT).await), "3");
    assert_eq!(peer.connections(), 3);
}

/// Guards against memory and open connections that a burst of orders to each of a thousand workers leaves behind.
#[tokio::test]
async fn few_idle_connections_are_kept() {
    let peer = Peer::start(PeerBehaviour::NameConnection(Duration::from_millis(20))).await;
    let client = DirectClient::default();
    let call = || async { body(peer.call(&client, CALL_TIMEOUT).await) };
    tokio::join!(call(), call(), call(), call());
    assert_eq!(peer.connections(), 4);
    let mut used = Vec::new();
    for _ in 0..6 {
        used.push(body(peer.call(&client, CALL_TIMEOUT).await));
    }
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), MAX_IDLE_CONNECTIONS, "{used:?}");
}
