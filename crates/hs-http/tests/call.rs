//! Errors of calls without a reply.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hs_http::HttpClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the called process does with a connection.
#[derive(Clone, Copy, Debug)]
enum PeerBehaviour {
    /// Refuses the connection.
    Refuse,
    /// Closes the connection at once.
    CloseAtOnce,
    /// Closes the connection after it has read the request.
    CloseAfterRequest,
    /// Reads the request and never replies.
    Silence,
    /// Closes the connection in the middle of the reply's head.
    CloseInHead,
    /// Closes the connection in the middle of the reply's body.
    CloseInBody,
    /// Replies to the first request and closes the connection on the second one.
    CloseOnReuse,
    /// Replies with something that is not HTTP.
    Garbage,
}

async fn listen(behaviour: PeerBehaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    if !matches!(behaviour, PeerBehaviour::Refuse) {
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, behaviour));
            }
        });
    }
    address
}

async fn serve(mut stream: TcpStream, behaviour: PeerBehaviour) {
    if matches!(behaviour, PeerBehaviour::CloseAtOnce) {
        return;
    }
    let mut buffer = [0; 4096];
    let _ = stream.read(&mut buffer).await;
    let reply = match behaviour {
        PeerBehaviour::Refuse | PeerBehaviour::CloseAtOnce | PeerBehaviour::CloseAfterRequest => "",
        PeerBehaviour::Silence => {
            tokio::time::sleep(Duration::from_secs(10)).await;
            ""
        }
        PeerBehaviour::CloseInHead => "HTTP/1.1 200 O",
        PeerBehaviour::CloseInBody => "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{",
        PeerBehaviour::CloseOnReuse => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        PeerBehaviour::Garbage => "SSH-2.0-none\r\n\r\n",
    };
    let _ = stream.write_all(reply.as_bytes()).await;
    if matches!(behaviour, PeerBehaviour::CloseOnReuse) {
        let _ = stream.read(&mut buffer).await;
    }
}

struct CallCase {
    behaviour: PeerBehaviour,
    /// Number of calls that get a reply before the one that does not.
    earlier_replies: usize,
    is_not_sent: bool,
}

/// Guards against work that is reported as not run although its start request may have been
/// received, which is the most harmful wrong reply, and against a client that sends a request again
/// on its own.
#[tokio::test]
async fn calls_tell_not_sent_from_no_reply() {
    let case = |behaviour, earlier_replies, is_not_sent| CallCase {
        behaviour,
        earlier_replies,
        is_not_sent,
    };
    let cases = [
        case(PeerBehaviour::Refuse, 0, true),
        case(PeerBehaviour::CloseAtOnce, 0, false),
        case(PeerBehaviour::CloseAfterRequest, 0, false),
        case(PeerBehaviour::Silence, 0, false),
        case(PeerBehaviour::CloseInHead, 0, false),
        case(PeerBehaviour::CloseInBody, 0, false),
        case(PeerBehaviour::CloseOnReuse, 1, false),
        case(PeerBehaviour::Garbage, 0, false),
    ];
    for case in cases {
        let peer = listen(case.behaviour).await.to_string();
        let client = HttpClient::default();
        let call_timeout = Duration::from_millis(300);
        for _ in 0..case.earlier_replies {
            let reply = client
                .post_json("first", &peer, "/", &(), call_timeout)
                .await;
            assert_eq!(reply.expect("a reply").status, 200, "{:?}", case.behaviour);
        }
        let call = client
            .post_json("task start", &peer, "/", &(), call_timeout)
            .await;
        let error = call.expect_err("no reply");
        assert_eq!(
            error.is_not_sent(),
            case.is_not_sent,
            "{:?}: {error}",
            case.behaviour
        );
        let text = error.to_string();
        assert!(text.starts_with("task start to "), "{text}");
        assert!(text.contains(&peer), "{text}");
    }
}

/// Guards against a call to an invalid address that is not reported as not sent.
#[tokio::test]
async fn invalid_addresses_are_not_sent() {
    for peer in ["", "not an address", "127.0.0.1:99999"] {
        let call_timeout = Duration::from_millis(300);
        let call = HttpClient::default()
            .get("query", peer, "/", call_timeout)
            .await;
        let error = call.expect_err(peer);
        assert!(error.is_not_sent(), "{peer:?}: {error}");
    }
}

/// Starts a peer on a thread of its own that answers each request at once.
fn prompt_peer() -> SocketAddr {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4096];
        while stream.read(&mut buffer).is_ok_and(|length| length > 0) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
        }
    });
    address
}

/// Guards against a peer that counts as silent, and work that counts as possibly started, because this process
/// was paused or too busy to read a reply that arrived in time.
#[tokio::test]
async fn a_reply_that_arrives_while_the_process_is_paused_is_read() {
    const CALL_TIMEOUT: Duration = Duration::from_millis(100);
    const PAUSE: Duration = Duration::from_millis(400);
    let peer = prompt_peer().to_string();
    let client = HttpClient::default();
    for _ in 0..4 {
        let call = client.post_json("task start", &peer, "/", &(), CALL_TIMEOUT);
        let pause = async {
            // The request is sent before the process stops, and read after it.
            tokio::task::yield_now().await;
            tokio::time::sleep(Duration::from_millis(2)).await;
            std::thread::sleep(PAUSE);
        };
        let (reply, ()) = tokio::join!(call, pause);
        assert_eq!(reply.expect("the reply arrived in time").status, 200);
    }
}

/// Starts a peer whose first connections, as many as this, answer one request and are silent after that. Returns its
/// address and the number of its connections.
async fn peer_that_falls_silent(silent: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    const REPLY_DELAY: Duration = Duration::from_millis(30);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = connections.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let number = counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let (mut buffer, mut requests) = ([0; 4096], 0);
                while stream
                    .read(&mut buffer)
                    .await
                    .is_ok_and(|length| length > 0)
                {
                    requests += 1;
                    if number < silent && requests > 1 {
                        continue;
                    }
                    tokio::time::sleep(REPLY_DELAY).await;
                    let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                    let _ = stream.write_all(reply).await;
                }
            });
        }
    });
    (address, connections)
}

/// Returns a client with this number of idle connections to a peer, which are silent from now on.
async fn client_with_silent_connections(
    peer: &str,
    connections: &AtomicUsize,
    silent: usize,
) -> HttpClient {
    let client = HttpClient::default();
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..silent {
        let (client, peer) = (client.clone(), peer.to_owned());
        calls.spawn(async move {
            client
                .get("first", &peer, "/", Duration::from_secs(2))
                .await
        });
    }
    for reply in calls.join_all().await {
        assert_eq!(reply.expect("a reply").status, 200);
    }
    assert_eq!(connections.load(Ordering::Relaxed), silent);
    client
}

/// Guards against calls that fail one after the other because the open connections to a peer have gone silent, while
/// new ones would be answered.
#[tokio::test]
async fn a_new_connection_is_used_after_a_call_without_reply() {
    const SILENT: usize = 6;
    let (peer, connections) = peer_that_falls_silent(SILENT).await;
    let peer = peer.to_string();
    let client = client_with_silent_connections(&peer, &connections, SILENT).await;
    let lost = client
        .get("query", &peer, "/", Duration::from_millis(100))
        .await;
    lost.expect_err("the connection is silent");
    let reply = client
        .get("query", &peer, "/", Duration::from_secs(2))
        .await;
    assert_eq!(reply.expect("a reply on a new connection").status, 200);
    assert_eq!(connections.load(Ordering::Relaxed), SILENT + 1);
}

/// Guards against a caller that gives up a call which a late process lets wait for longer, and then waits on the next
/// silent connection.
#[tokio::test]
async fn a_new_connection_is_used_after_a_call_that_was_given_up_late() {
    const SILENT: usize = 3;
    const CALL_TIMEOUT: Duration = Duration::from_millis(600);
    const MAX_CALL_TIME: Duration = Duration::from_millis(800);
    const PAUSE_BEGIN: Duration = Duration::from_millis(300);
    const PAUSE: Duration = Duration::from_millis(700);
    let (peer, connections) = peer_that_falls_silent(SILENT).await;
    let peer = peer.to_string();
    let client = client_with_silent_connections(&peer, &connections, SILENT).await;
    let call = client.get("query", &peer, "/", CALL_TIMEOUT);
    let lost = tokio::time::timeout(MAX_CALL_TIME, call);
    let pause = async {
        tokio::time::sleep(PAUSE_BEGIN).await;
        std::thread::sleep(PAUSE);
    };
    let (lost, ()) = tokio::join!(lost, pause);
    assert!(lost.is_err(), "the call is given more time, and given up");
    let reply = client.get("query", &peer, "/", CALL_TIMEOUT).await;
    assert_eq!(reply.expect("a reply on a new connection").status, 200);
    assert_eq!(connections.load(Ordering::Relaxed), SILENT + 1);
}
