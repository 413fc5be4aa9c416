//! Calls of operators.

use std::sync::Mutex;

use log::{LevelFilter, Log, Metadata, Record};

use crate::raw::exchange;
use crate::site::{LIMITS, MANIFEST, Site, TOKEN};

/// Every line that the process logs, at every level and from every library.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineLog;

impl Log for LineLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{} {}", record.target(), record.args());
        LINES.lock().expect("lines").push(line);
    }

    fn flush(&self) {}
}

struct ControlCase {
    name: &'static str,
    path: &'static str,
    authorization: Option<String>,
    status: u16,
}

/// Guards against operator calls without the token, against a load balancer that needs one, and
/// against a token in the log.
#[tokio::test]
async fn operator_calls_need_the_token() {
    log::set_logger(&LineLog).expect("the only logger of this program");
    log::set_max_level(LevelFilter::Trace);
    let right = || Some(format!("Bearer {TOKEN}"));
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
            right().map(|t| t[..20].to_owned()),
            401,
        ),
        case("longer", "/v1/status", right().map(|t| t + "x"), 401),
        case("no scheme", "/v1/status", Some(TOKEN.to_owned()), 401),
        case("right token", "/v1/status", right(), 200),
        case("right token", "/v1/manifest", right(), 200),
        case("health", "/healthz", None, 200),
        case("readiness", "/readyz", None, 200),
        case("unknown path", "/v1/other", right(), 404),
    ];
    let site = Site::start(MANIFEST, LIMITS).await;
    for case in cases {
        let authorization = case.authorization.as_ref();
        let header =
            authorization.map_or(String::new(), |value| format!("authorization: {value}\r\n"));
        let request = format!(
            "GET {} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{header}\r\n",
            case.path
        );
        let reply = exchange(site.control, &[request.as_bytes()]).await;
        let expected = format!("HTTP/1.1 {}", case.status);
        assert!(reply.starts_with(&expected), "{}: {reply}", case.name);
        assert!(!reply.contains(TOKEN), "{}: {reply}", case.name);
    }
    let lines = LINES.lock().expect("lines");
    assert!(!lines.is_empty(), "the log is captured");
    let leaked: Vec<&String> = lines.iter().filter(|line| line.contains(TOKEN)).collect();
    assert!(leaked.is_empty(), "{leaked:?}");
}
