//! The server beside clients that exceed its limits.

use std::net::SocketAddr;
use std::time::Duration;

use hs_http::{
    ArrivalBudget, ConnectionOverflow, HttpReply, HttpRequest, ListenerGuard, RequestHead,
    ServeLimits, TurnedAway, serve_guarded,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Time in which a reply or the end of a connection is expected.
const REPLY_LIMIT: Duration = Duration::from_secs(20);

/// Largest body in bytes.
const BODY_BYTES: usize = 64 << 10;

struct Server {
    address: SocketAddr,
    guard: ListenerGuard,
    limits: watch::Sender<ServeLimits>,
    /// Keeps the listener open.
    _stop: watch::Sender<bool>,
}

impl Server {
    async fn start(budget: ArrivalBudget, limits: ServeLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let (limits_sender, limits) = watch::channel(limits);
        let (stop, stopped) = watch::channel(false);
        let guard = ListenerGuard {
            budget,
            overflow: ConnectionOverflow::CloseLongestWaiting,
            ..ListenerGuard::default()
        };
        let check_head = |head: RequestHead<'_>| {
            (head.path == "/unknown").then(|| HttpReply::error(404, "no_queue", "unknown"))
        };
        let handler = |request: HttpRequest| async move {
            HttpReply::text(200, &format!("{} bytes", request.body.len()))
        };
        tokio::spawn(serve_guarded(
            listener,
            limits,
            guard.clone(),
            stopped,
            check_head,
            |_, refusal| std::future::ready(refusal),
            handler,
        ));
        Self {
            address,
            guard,
            limits: limits_sender,
            _stop: stop,
        }
    }

    async fn connect(&self, sent: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("it listens");
        // The server may close the connection before it has read everything.
        let _ = stream.write_all(sent).await;
        stream
    }

    async fn exchange(&self, sent: &[u8]) -> String {
        let stream = self.connect(sent).await;
        read_reply(stream).await
    }
}

/// Reads until the end of the connection.
async fn read_reply(mut stream: TcpStream) -> String {
    let mut reply = Vec::new();
    let read = timeout(REPLY_LIMIT, stream.read_to_end(&mut reply)).await;
    // A reset after the reply is an end as well.
    let _ = read.expect("the connection ends in time");
    String::from_utf8(reply).expect("a reply of text")
}

fn limits() -> ServeLimits {
    ServeLimits {
        body_bytes: BODY_BYTES,
        ..ServeLimits::default()
    }
}

fn announced(path: &str, announced: usize, sent: usize) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {announced}\r\n\r\n"
    );
    [head.into_bytes(), vec![b' '; sent]].concat()
}

fn chunked(chunk: usize, count: usize) -> Vec<u8> {
    let head =
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    let data = [format!("{chunk:x}\r\n").into_bytes(), vec![b' '; chunk]].concat();
    let chunk = [data, b"\r\n".to_vec()].concat();
    [head.as_bytes(), &chunk.repeat(count), b"0\r\n\r\n"].concat()
}

struct BodyCase {
    name: &'static str,
    sent: Vec<u8>,
    reply: &'static str,
    reason: Option<TurnedAway>,
}

/// Guards against limits that refuse what is legal, read what is refused, or miss what is not announced.
#[tokio::test]
async fn bodies_are_read_within_the_limits() {
    let case = |name, sent, reply, reason| BodyCase {
        name,
        sent,
        reply,
        reason,
    };
    let cases = [
        case("empty", announced("/", 0, 0), "0 bytes", None),
        case(
            "largest",
            announced("/", BODY_BYTES, BODY_BYTES),
            "65536 bytes",
            None,
        ),
        case("one chunk", chunked(BODY_BYTES, 1), "65536 bytes", None),
        case("tiny chunks", chunked(1, 5000), "5000 bytes", None),
        case(
            "announced over the limit, nothing sent",
            announced("/", BODY_BYTES + 1, 0),
            " 413 ",
            Some(TurnedAway::BodySize),
        ),
        case(
            "chunks over the limit",
            chunked(BODY_BYTES, 2),
            " 413 ",
            Some(TurnedAway::BodySize),
        ),
        case(
            "refused by its head, nothing sent",
            announced("/unknown", BODY_BYTES, 0),
            " 404 ",
            Some(TurnedAway::Head),
        ),
        case(
            "refused by its head, all sent",
            announced("/unknown", BODY_BYTES, BODY_BYTES),
            " 404 ",
            Some(TurnedAway::Head),
        ),
    ];
    let budget = ArrivalBudget::new(1 << 20);
    let server = Server::start(budget, limits()).await;
    for case in cases {
        let reply = server.exchange(&case.sent).await;
        assert!(reply.contains(case.reply), "{}: {reply}", case.name);
        let expected: Vec<_> = case.reason.map(|reason| (reason, 1)).into_iter().collect();
        assert_eq!(server.guard.counts.take(), expected, "{}", case.name);
    }
}

/// Guards against bodies that stop short and keep others from being read, and against refusals without a delay.
#[tokio::test]
async fn slow_bodies_are_refused_for_others() {
    let limits = ServeLimits {
        body_timeout: Duration::from_secs(2),
        ..limits()
    };
    // Nine connections take half of it.
    let server = Server::start(ArrivalBudget::new(512 << 10), limits).await;
    let mut slow = Vec::new();
    for _ in 0..8 {
        let sent = announced("/", BODY_BYTES, BODY_BYTES - 1);
        slow.push(server.connect(&sent).await);
    }
    let reply = server.exchange(&announced("/", 100, 100)).await;
    assert!(reply.contains("100 bytes"), "{reply}");
    let mut refused = 0;
    for stream in slow {
        let reply = read_reply(stream).await;
        refused += usize::from(reply.contains(" 503 ") && reply.contains("retry-after: 1"));
        assert!(
            reply.contains(" 503 ") || reply.contains(" 408 "),
            "{reply}"
        );
    }
    assert!(refused > 0, "no body had to make room");
    assert_eq!(server.guard.budget.used(), 0);
}

/// Guards against callers that stay in the accept queue while connections are idle.
#[tokio::test]
async fn idle_connections_yield_to_new_ones() {
    let limits = ServeLimits {
        connections: 4,
        ..limits()
    };
    let server = Server::start(ArrivalBudget::default(), limits).await;
    let mut idle = Vec::new();
    for _ in 0..4 {
        idle.push(server.connect(b"").await);
    }
    let reply = server.exchange(&announced("/", 100, 100)).await;
    assert!(reply.contains("100 bytes"), "{reply}");
    assert_eq!(read_reply(idle.remove(0)).await, "");
    let counts = server.guard.counts.take();
    assert_eq!(counts, [(TurnedAway::Connections, 1)]);
}

/// Guards against limits that only new processes follow.
#[tokio::test]
async fn changed_limits_apply_to_open_connections() {
    let server = Server::start(ArrivalBudget::default(), limits()).await;
    let idle = server.connect(b"").await;
    let slow = server.connect(b"POST / HT").await;
    server.limits.send_modify(|limits| {
        limits.body_bytes = 10;
        limits.head_timeout = Duration::from_millis(300);
        limits.idle_timeout = Some(Duration::from_millis(300));
    });
    let reply = server.exchange(&announced("/", 100, 100)).await;
    assert!(reply.contains(" 413 "), "{reply}");
    assert_eq!(read_reply(idle).await, "");
    assert_eq!(read_reply(slow).await, "");
}
