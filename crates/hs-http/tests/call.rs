//! What a client says about a call without a reply.

use std::net::SocketAddr;
use std::time::Duration;

use hs_http::HttpClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the other side does with a connection.
#[derive(Clone, Copy, Debug)]
enum PeerAct {
    /// Refuses it.
    Refuse,
    /// Closes it at once.
    CloseAtOnce,
    /// Closes it after the request.
    CloseAfterRequest,
    /// Never replies.
    Silence,
    /// Closes it in the middle of the reply's head.
    CloseInHead,
    /// Closes it in the middle of the reply's body.
    CloseInBody,
    /// Replies to the first request, and closes the connection on the second one.
    CloseOnReuse,
    /// Replies with something that is not HTTP.
    Garbage,
}

async fn listen(act: PeerAct) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    if !matches!(act, PeerAct::Refuse) {
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, act));
            }
        });
    }
    address
}

async fn serve(mut stream: TcpStream, act: PeerAct) {
    if matches!(act, PeerAct::CloseAtOnce) {
        return;
    }
    let mut buffer = [0; 4096];
    let _ = stream.read(&mut buffer).await;
    let reply = match act {
        PeerAct::Refuse | PeerAct::CloseAtOnce | PeerAct::CloseAfterRequest => "",
        PeerAct::Silence => {
            tokio::time::sleep(Duration::from_secs(10)).await;
            ""
        }
        PeerAct::CloseInHead => "HTTP/1.1 200 O",
        PeerAct::CloseInBody => "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{",
        PeerAct::CloseOnReuse => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        PeerAct::Garbage => "SSH-2.0-none\r\n\r\n",
    };
    let _ = stream.write_all(reply.as_bytes()).await;
    if matches!(act, PeerAct::CloseOnReuse) {
        let _ = stream.read(&mut buffer).await;
    }
}

struct CallCase {
    act: PeerAct,
    /// Calls that get a reply before the one that does not.
    replies: usize,
    is_not_sent: bool,
}

/// Guards against work that is reported as not run although its start may have arrived, which is
/// the worst of all wrong answers, and against a request that the client sends twice by itself.
#[tokio::test]
async fn calls_tell_not_sent_from_no_reply() {
    let case = |act, replies, is_not_sent| CallCase {
        act,
        replies,
        is_not_sent,
    };
    let cases = [
        case(PeerAct::Refuse, 0, true),
        case(PeerAct::CloseAtOnce, 0, false),
        case(PeerAct::CloseAfterRequest, 0, false),
        case(PeerAct::Silence, 0, false),
        case(PeerAct::CloseInHead, 0, false),
        case(PeerAct::CloseInBody, 0, false),
        case(PeerAct::CloseOnReuse, 1, false),
        case(PeerAct::Garbage, 0, false),
    ];
    for case in cases {
        let peer = listen(case.act).await.to_string();
        let client = HttpClient::default();
        let limit = Duration::from_millis(300);
        for _ in 0..case.replies {
            let reply = client.post_json("first", &peer, "/", &(), limit).await;
            assert_eq!(reply.expect("a reply").status, 200, "{:?}", case.act);
        }
        let call = client.post_json("task start", &peer, "/", &(), limit).await;
        let error = call.expect_err("no reply");
        assert_eq!(
            error.is_not_sent(),
            case.is_not_sent,
            "{:?}: {error}",
            case.act
        );
        let text = error.to_string();
        assert!(text.starts_with("task start to "), "{text}");
        assert!(text.contains(&peer), "{text}");
    }
}

/// Guards against a request that goes nowhere because its address is not one.
#[tokio::test]
async fn invalid_addresses_are_not_sent() {
    for peer in ["", "not an address", "127.0.0.1:99999"] {
        let limit = Duration::from_millis(300);
        let call = HttpClient::default().get("query", peer, "/", limit).await;
        let error = call.expect_err(peer);
        assert!(error.is_not_sent(), "{peer:?}: {error}");
    }
}
