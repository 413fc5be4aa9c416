//! Tests of the authentication of operators.

use std::sync::Mutex;

use log::{LevelFilter, Log, Metadata, Record};

use crate::raw::exchange;
use crate::test_cluster::{LIMITS, MANIFEST, TOKEN, TestCluster};

/// All lines that the process logs, at all levels and from all libraries.
static LOG_LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineCollector;

impl Log for LineCollector {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{} {}", record.target(), record.args());
        LOG_LINES.lock().expect("lines").push(line);
    }

    fn flush(&self) {}
}

struct ControlCase {
    name: &'static str,
    path: &'static str,
    authorization: Option<String>,
    status: u16,
}

/// Guards against operator calls that are accepted without the token, against health checks that
/// need the token, and against a token that appears in a reply or in the log.
#[tokio::test]
async fn operator_calls_need_the_token() {
    log::set_logger(&LineCollector).expect("the only logger of this program");
    log::set_max_level(LevelFilter::Trace);
    let right_token = || Some(format!("Bearer {TOKEN}"));
    let case = |name, path, authorization, status| ControlCase {
        name,
        path,
        authorization,
        status,
    };
    let wrong = "Bearer wrong-token-of-this-test".to_owned();
    let cases = [
        case("no token", "/v1/status", None, 401),
        case("no token", "/v1/manifest", None, 401),
        case("wrong token", "/v1/status", Some(wrong.clone()), 401),
        case("wrong token", "/v1/manifest", Some(wrong), 401),
        case("empty token", "/v1/status", Some("Bearer ".to_owned()), 401),
        case(
            "prefix",
            "/v1/status",
            right_token().map(|t| t[..20].to_owned()),
            401,
        ),
        case("longer", "/v1/status", right_token().map(|t| t + "x"), 401),
        case("no scheme", "/v1/status", Some(TOKEN.to_owned()), 401),
        case("right token", "/v1/status", right_token(), 200),
        case("right token", "/v1/manifest", right_token(), 200),
        case("health", "/healthz", None, 200),
        case("readiness", "/readyz", None, 200),
        case("unknown path", "/v1/other", right_token(), 404),
    ];
    let cluster = TestCluster::start(MANIFEST, LIMITS).await;
    for case in cases {
        let authorization = case.authorization.as_ref();
        let header =
            authorization.map_or(String::new(), |value| format!("authorization: {value}\r\n"));
        let request = format!(
            "GET {} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{header}\r\n",
            case.path
        );
        let reply = exchange(cluster.control, &[request.as_bytes()]).await;
        let expected = format!("HTTP/1.1 {}", case.status);
        assert!(reply.starts_with(&expected), "{}: {reply}", case.name);
        assert!(!reply.contains(TOKEN), "{}: {reply}", case.name);
    }
    let lines = LOG_LINES.lock().expect("lines");
    assert!(!lines.is_empty(), "the log is captured");
    let leaked: Vec<&String> = lines.iter().filter(|line| line.contains(TOKEN)).collect();
    assert!(leaked.is_empty(), "{leaked:?}");
}
