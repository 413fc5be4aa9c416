//! Tests over raw TCP connections: oversized, slow and malformed requests, and too many
//! connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::test_cluster::{CALL_TIMEOUT, LIMITS, MANIFEST, TestCluster};

/// Delay between the parts of a request, longer than the head and the body timeout of [`LIMITS`].
const PART_DELAY: Duration = Duration::from_millis(600);

/// Sends the parts of a request with a delay between them, and reads the reply until the server
/// closes the connection.
pub async fn exchange(peer: SocketAddr, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(peer).await.expect("connect");
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            sleep(PART_DELAY).await;
        }
        // The server may have closed the connection already, which the reply shows.
        let _ = stream.write_all(part).await;
    }
    let mut reply = Vec::new();
    let _ = timeout(CALL_TIMEOUT, stream.read_to_end(&mut reply))
        .await
        .expect("the connection is closed");
    String::from_utf8_lossy(&reply).into_owned()
}

struct RawCase {
    name: &'static str,
    parts: Vec<Vec<u8>>,
    /// Prefix of the reply, or empty if the connection is closed without a reply.
    expected: &'static str,
}

fn head(rest: &str) -> Vec<u8> {
    format!("POST /v1/work HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{rest}").into_bytes()
}

/// Guards against a caller that occupies memory or a connection indefinitely with an oversized or
/// slow request.
#[tokio::test]
async fn oversized_and_slow_requests_end() {
    let body = "x".repeat(LIMITS.body_bytes + 1);
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let case = |name, parts, expected| RawCase {
        name,
        parts,
        expected,
    };
    let cases = [
        case(
            "body with a length over the limit",
            vec![head(&format!(
                "content-length: {}\r\n\r\n{body}",
                body.len()
            ))],
            "HTTP/1.1 413",
        ),
        case(
            "body in chunks over the limit",
            vec![head(&format!("transfer-encoding: chunked\r\n\r\n{chunk}"))],
            "HTTP/1.1 413",
        ),
        case(
            "head over the limit",
            vec![head(&format!("x-long: {}", "x".repeat(LIMITS.head_bytes)))],
            "HTTP/1.1 431",
        ),
        case(
            "slow head",
            vec![b"POST /v1/work HT".to_vec(), b"TP/1.1\r\n\r\n".to_vec()],
            "",
        ),
        case(
            "slow body",
            vec![head("content-length: 10\r\n\r\n{"), b"}".to_vec()],
            "HTTP/1.1 408",
        ),
        case(
            "no HTTP",
            vec![b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n".to_vec()],
            "HTTP/1.1 400",
        ),
    ];
    let cluster = TestCluster::start(MANIFEST, LIMITS).await;
    for case in cases {
        let parts: Vec<&[u8]> = case.parts.iter().map(Vec::as_slice).collect();
        let begin = Instant::now();
        let reply = exchange(cluster.caller, &parts).await;
        let is_expected = match case.expected {
            "" => reply.is_empty(),
            expected => reply.starts_with(expected),
        };
        assert!(is_expected, "{}: {reply:?}", case.name);
        assert!(begin.elapsed() < Duration::from_secs(2), "{}", case.name);
    }
}

/// Guards against a listener that serves more connections at a time than the limit, and against
/// idle connections that block a listener permanently.
#[tokio::test]
async fn connections_over_the_limit_wait_for_a_free_one() {
    let cluster = TestCluster::start(MANIFEST, LIMITS).await;
    let begin = Instant::now();
    let mut idle = Vec::new();
    for _ in 0..LIMITS.connections {
        idle.push(TcpStream::connect(cluster.caller).await.expect("connect"));
    }
    let request = b"GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let reply = exchange(cluster.caller, &[request]).await;
    assert!(reply.starts_with("HTTP/1.1 404"), "{reply:?}");
    // The head timeout closes an idle connection. It starts when the connection is accepted.
    let waited = begin.elapsed();
    let min_wait = Duration::from_millis(LIMITS.head_timeout_ms);
    assert!(waited >= min_wait, "served after {waited:?}");
}
