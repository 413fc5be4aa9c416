//! Use of connections by the client whose calls drive their connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hs_http::direct::MAX_IDLE_CONNECTIONS;
use hs_http::{CallError, CallReply, DirectClient, RequestHeader};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;
use tokio::time::sleep;

/// Timeout of calls that get a reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Size above which the client rejects a reply, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Time between two parts of a reply.
const PACKET_INTERVAL: Duration = Duration::from_millis(5);

/// How the peer replies to the requests of a connection.
#[derive(Clone, Debug)]
enum PeerBehaviour {
    /// Replies at once.
    Reply,
    /// Replies and closes the connection, without a header that says so.
    CloseAfterReply,
    /// Replies with a header that announces the end of the connection, and closes it later.
    AnnounceClose,
    /// Delays the reply by this time.
    Delay(Duration),
    /// Delays the reply by this time, and names the connection instead of the request.
    NameConnection(Duration),
    /// Replies once this number of requests has arrived.
    WaitForOthers(Arc<Barrier>),
    /// Refuses connections.
    Refuse,
    /// Closes each connection after it has read a request.
    CloseAfterRequest,
    /// Sends this reply and closes the connection.
    Send(&'static str),
    /// Sends the parts of a reply in separate packets, and keeps the connection open.
    SendParts(&'static [&'static str]),
    /// Replies with a body that is one byte too long.
    TooLong,
}

/// Peer that replies with the number of the request.
struct Peer {
    address: Arc<str>,
    connections: Arc<AtomicUsize>,
}

impl Peer {
    async fn start(behaviour: PeerBehaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let address: SocketAddr = listener.local_addr().expect("address");
        let connections = Arc::new(AtomicUsize::new(0));
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = connections.clone();
        if !matches!(behaviour, PeerBehaviour::Refuse) {
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let connection = counter.fetch_add(1, Ordering::Relaxed) + 1;
                    let served = serve(stream, connection, behaviour.clone(), requests.clone());
                    tokio::spawn(served);
                }
            });
        }
        Self {
            address: address.to_string().into(),
            connections,
        }
    }

    async fn call(&self, client: &DirectClient, timeout: Duration) -> Result<CallReply, CallError> {
        let header = RequestHeader {
            name: "expect-instance",
            value: "w1",
        };
        let call = client.post_json("start", &self.address, "/orders", header, &(), timeout);
        call.await
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    behaviour: PeerBehaviour,
    requests: Arc<AtomicUsize>,
) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        let number = (requests.fetch_add(1, Ordering::Relaxed) + 1).to_string();
        let whole = |headers: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{body}")
        };
        let reply = match &behaviour {
            PeerBehaviour::Reply | PeerBehaviour::CloseAfterReply => whole("", &number),
            PeerBehaviour::AnnounceClose => whole("connection: close\r\n", &number),
            PeerBehaviour::Delay(delay) => {
                sleep(*delay).await;
                whole("", &number)
            }
            PeerBehaviour::NameConnection(delay) => {
                sleep(*delay).await;
                whole("", &connection.to_string())
            }
            PeerBehaviour::WaitForOthers(barrier) => {
                barrier.wait().await;
                whole("", &number)
            }
            PeerBehaviour::Refuse | PeerBehaviour::CloseAfterRequest => return,
            PeerBehaviour::Send(reply) => (*reply).to_owned(),
            PeerBehaviour::SendParts(parts) => {
                for part in *parts {
                    let _ = stream.write_all(part.as_bytes()).await;
                    sleep(PACKET_INTERVAL).await;
                }
                continue;
            }
            PeerBehaviour::TooLong => whole("", &" ".repeat(MAX_REPLY_BYTES + 1)),
        };
        let _ = stream.write_all(reply.as_bytes()).await;
        if matches!(
            behaviour,
            PeerBehaviour::CloseAfterReply | PeerBehaviour::Send(_)
        ) {
            return;
        }
    }
}

/// Returns the body of a reply, and fails if there is none.
fn body(reply: Result<CallReply, CallError>) -> String {
    let body = reply.expect("a reply").body;
    String::from_utf8(body.to_vec()).expect("text")
}

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

struct ReplyCase {
    parts: &'static [&'static str],
    body: &'static str,
    /// Whether a second call can use the same connection.
    is_reused: bool,
}

/// Guards against replies that are cut or joined wrongly, whatever their framing and their packets.
#[tokio::test]
async fn replies_are_read_completely() {
    let case = |parts, body, is_reused| ReplyCase {
        parts,
        body,
        is_reused,
    };
    let cases = [
        case(
            &["HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"],
            "abc",
            true,
        ),
        case(
            &[
                "HTTP/1.1 200 O",
                "K\r\nContent-Length: 3\r",
                "\n\r",
                "\na",
                "bc",
            ],
            "abc",
            true,
        ),
        case(
            &[
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            ],
            "abc",
            true,
        ),
        case(
            &[
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                "2",
                "\r\na",
                "b\r",
                "\n1;x=y\r\nc\r\n0\r\nsum: 1",
                "\r\n",
                "\r\n",
            ],
            "abc",
            true,
        ),
        case(
            &["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"],
            "",
            true,
        ),
        case(&["HTTP/1.1 204 No Content\r\n\r\n"], "", true),
        case(
            &["HTTP/1.0 200 OK\r\ncontent-length: 3\r\n\r\nabc"],
            "abc",
            false,
        ),
        case(
            &["HTTP/1.1 200 OK\r\ncontent-length: 3\r\nconnection: x, Close\r\n\r\nabc"],
            "abc",
            false,
        ),
        case(
            &["HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n"],
            "abc",
            false,
        ),
    ];
    for case in cases {
        let peer = Peer::start(PeerBehaviour::SendParts(case.parts)).await;
        let client = DirectClient::default();
        for _ in 0..2 {
            let reply = peer.call(&client, CALL_TIMEOUT).await;
            assert_eq!(body(reply), case.body, "{:?}", case.parts);
        }
        let connections = if case.is_reused { 1 } else { 2 };
        assert_eq!(peer.connections(), connections, "{:?}", case.parts);
    }
}

/// Guards against a reply that ends with its connection, and is taken for incomplete.
#[tokio::test]
async fn a_reply_may_end_with_its_connection() {
    let replies = [
        "HTTP/1.0 200 OK\r\n\r\nabc",
        // With a transfer coding other than `chunked`, the body ends with the connection as well.
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nabc",
    ];
    for reply in replies {
        let peer = Peer::start(PeerBehaviour::Send(reply)).await;
        let client = DirectClient::default();
        assert_eq!(
            body(peer.call(&client, CALL_TIMEOUT).await),
            "abc",
            "{reply}"
        );
    }
}

struct FailureCase {
    behaviour: PeerBehaviour,
    is_not_sent: bool,
}

/// Guards against starts that are reported as not sent although the worker may have received them, which
/// would start the task a second time.
#[tokio::test]
async fn calls_without_a_reply_tell_whether_they_were_sent() {
    let case = |behaviour, is_not_sent| FailureCase {
        behaviour,
        is_not_sent,
    };
    let sends = |reply| case(PeerBehaviour::Send(reply), false);
    let cases = [
        case(PeerBehaviour::Refuse, true),
        case(PeerBehaviour::CloseAfterRequest, false),
        case(PeerBehaviour::Delay(Duration::from_secs(10)), false),
        sends("HTTP/1.1 200 O"),
        sends("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{"),
        sends("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n{}"),
        sends("HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\n{}"),
        sends("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n"),
        sends("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nx\r\n{}\r\n"),
        sends("SSH-2.0-none\r\n\r\n"),
    ];
    for case in cases {
        let peer = Peer::start(case.behaviour.clone()).await;
        let client = DirectClient::default();
        let call = peer.call(&client, Duration::from_millis(300)).await;
        let error = call.expect_err("no reply");
        assert_eq!(
            error.is_not_sent(),
            case.is_not_sent,
            "{:?}: {error}",
            case.behaviour
        );
        let text = error.to_string();
        assert!(text.starts_with("start to "), "{text}");
        assert!(text.contains(&*peer.address), "{text}");
    }
}

/// Guards against a request of another form, caused by an address or an ID from the registry.
#[tokio::test]
async fn a_request_with_an_invalid_value_is_not_sent() {
    let peer = Peer::start(PeerBehaviour::Reply).await;
    let client = DirectClient::default();
    let header = RequestHeader {
        name: "expect-instance",
        value: "w1\r\ncontent-length: 0",
    };
    let call = client.post_json("start", &peer.address, "/", header, &(), CALL_TIMEOUT);
    let error = call.await.expect_err("an invalid header");
    assert!(error.is_not_sent(), "{error}");
    assert_eq!(peer.connections(), 0);
}

/// Guards against a peer that makes the process run out of memory.
#[tokio::test]
async fn a_reply_over_the_size_limit_is_an_error() {
    let peer = Peer::start(PeerBehaviour::TooLong).await;
    let reply = peer.call(&DirectClient::default(), CALL_TIMEOUT).await;
    let error = reply.expect_err("the body is too long");
    assert!(!error.is_not_sent(), "{error}");
}

/// Guards against calls to a silent peer that outlast their timeout.
#[tokio::test]
async fn a_silent_peer_is_found_by_the_timeout() {
    let peer = Peer::start(PeerBehaviour::Delay(Duration::from_secs(10))).await;
    let began = Instant::now();
    let client = DirectClient::default();
    let call = peer.call(&client, Duration::from_millis(100)).await;
    let error = call.expect_err("no reply");
    assert!(!error.is_not_sent(), "{error}");
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
}
