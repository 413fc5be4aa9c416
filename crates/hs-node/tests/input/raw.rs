//! Bytes that no HTTP client sends: oversized and slow requests, and too many connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::site::{LIMIT, LIMITS, MANIFEST, Site};

/// Pause between the parts of a request, longer than either timeout of [`LIMITS`].
const PAUSE: Duration = Duration::from_millis(600);

/// Sends the parts of a request with a pause between them, and reads until the other side closes
/// the connection.
pub async fn exchange(peer: SocketAddr, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(peer).await.expect("connect");
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            sleep(PAUSE).await;
        }
        // The other side may have closed the connection by now, which the reply shows.
        let _ = stream.write_all(part).await;
    }
    let mut reply = Vec::new();
    let _ = timeout(LIMIT, stream.read_to_end(&mut reply))
        .await
        .expect("the connection is closed");
    String::from_utf8_lossy(&reply).into_owned()
}

struct RawCase {
    name: &'static str,
    parts: Vec<Vec<u8>>,
    /// First characters of the reply; empty for a connection that is closed without one.
    expected: &'static str,
}

fn head(rest: &str) -> Vec<u8> {
    format!("POST /v1/work HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{rest}").into_bytes()
}

/// Guards against a caller that occupies memory or a connection without end.
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
    let site = Site::start(MANIFEST, LIMITS).await;
    for case in cases {
        let parts: Vec<&[u8]> = case.parts.iter().map(Vec::as_slice).collect();
        let begin = Instant::now();
        let reply = exchange(site.caller, &parts).await;
        let ended_well = match case.expected {
            "" => reply.is_empty(),
            expected => reply.starts_with(expected),
        };
        assert!(ended_well, "{}: {reply:?}", case.name);
        assert!(begin.elapsed() < Duration::from_secs(2), "{}", case.name);
    }
}

/// Guards against more connections than the limit being served at a time, and against a listener
/// that stays blocked by idle ones.
#[tokio::test]
async fn connections_over_the_limit_wait_for_a_free_one() {
    let site = Site::start(MANIFEST, LIMITS).await;
    let begin = Instant::now();
    let mut idle = Vec::new();
    for _ in 0..LIMITS.connections {
        idle.push(TcpStream::connect(site.caller).await.expect("connect"));
    }
    let request = b"GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let reply = exchange(site.caller, &[request]).await;
    assert!(reply.starts_with("HTTP/1.1 404"), "{reply:?}");
    // An idle connection ends by the head timeout, which begins when it is accepted.
    let waited = begin.elapsed();
    let least = Duration::from_millis(LIMITS.head_timeout_ms);
    assert!(waited >= least, "served after {waited:?}");
}
