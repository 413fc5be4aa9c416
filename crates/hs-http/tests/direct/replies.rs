//! Replies, and calls without one.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use hs_http::{CallError, DirectClient, RequestHeader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::peer::{CALL_TIMEOUT, Peer, PeerBehaviour, body};

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

/// Guards against a start that counts as taken by the process that has reported last, although the connection on which it
/// was sent was opened after that report.
#[tokio::test]
async fn calls_without_a_reply_tell_since_when_their_connection_is_open() {
    struct Case {
        behaviour: PeerBehaviour,
        earlier_calls: usize,
        is_new: bool,
    }
    let cases = [
        Case {
            behaviour: PeerBehaviour::CloseAfterRequest,
            earlier_calls: 0,
            is_new: true,
        },
        Case {
            behaviour: PeerBehaviour::Delay(CALL_TIMEOUT),
            earlier_calls: 0,
            is_new: true,
        },
        Case {
            behaviour: PeerBehaviour::FallSilent(1),
            earlier_calls: 1,
            is_new: false,
        },
    ];
    for case in cases {
        let peer = Peer::start(case.behaviour.clone()).await;
        let client = DirectClient::default();
        for _ in 0..case.earlier_calls {
            body(peer.call(&client, CALL_TIMEOUT).await);
        }
        let began_at = Instant::now();
        let lost = peer.call(&client, Duration::from_millis(50)).await;
        let CallError::NoReply { opened_at, .. } = lost.expect_err("no reply") else {
            panic!("the call was sent");
        };
        let opened_at = opened_at.expect("the client has opened it");
        assert_eq!(opened_at >= began_at, case.is_new, "{:?}", case.behaviour);
    }
}

/// Guards against a task that waits for the lease of its worker although its start was never sent: the connection for
/// it was not open by the timeout.
#[tokio::test]
async fn a_call_whose_connection_does_not_open_in_time_is_not_sent() {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(any_port).expect("a free port");
    // Nobody accepts connections, so that further ones don't open once the queue is full.
    let listener = socket.listen(1).expect("listen");
    let address = listener.local_addr().expect("address");
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(200), TcpStream::connect(address)).await
    {
        waiting.push(stream);
    }
    let client = DirectClient::default();
    let header = RequestHeader {
        name: "expect-instance",
        value: "w1",
    };
    let peer = address.to_string().into();
    let limit = Duration::from_millis(100);
    let call = client.post_json("start", &peer, "/orders", header, &(), limit);
    let error = call.await.expect_err("no connection");
    assert!(error.is_not_sent(), "{error}");
}

/// Guards against a request that is sent by a process which does not wait for the reply: it was late while the connection
/// opened, and no time was left.
#[tokio::test]
async fn a_process_that_is_late_while_a_connection_opens_reads_the_reply() {
    for _ in 0..10 {
        let peer = Peer::start(PeerBehaviour::Reply).await;
        let client = DirectClient::default();
        let limit = Duration::from_millis(100);
        let call = peer.call(&client, limit);
        // Runs after the first poll of the call, which begins to connect.
        let pause = async { std::thread::sleep(limit * 3 / 2) };
        let (reply, ()) = tokio::join!(biased; call, pause);
        body(reply);
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
