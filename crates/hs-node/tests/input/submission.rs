//! Submissions and paths that are not valid.

use hs_wire::{NotRunReason, Outcome, WorkReply};
use hyper::Method;
use serde_json::{Value, json};

use crate::site::{LIMIT, LIMITS, MANIFEST, Site};

struct BodyCase {
    name: &'static str,
    body: String,
    /// Texts that the detail has to contain.
    detail: &'static [&'static str],
}

/// Guards against a caller that is not told what is wrong with a submission, or whose work runs
/// under a name that nobody else can use.
#[tokio::test]
async fn malformed_submissions_name_field_and_line() {
    let with = |field: &str, value: Value| {
        let mut body = json!({
            "key": "k-1", "customer": "acme", "workload": "check", "deadline_ms": 1000,
        });
        body[field] = value;
        serde_json::to_string_pretty(&body).expect("body")
    };
    let long = "x".repeat(129);
    let case = |name, body, detail: &'static [&'static str]| BodyCase { name, body, detail };
    let cases: [BodyCase; 13] = [
        case("empty body", String::new(), &["EOF"]),
        case(
            "broken syntax",
            "{\n  \"key\": }".to_owned(),
            &["line 2", "\"key\""],
        ),
        case(
            "wrong kind",
            with("deadline_ms", json!("soon")),
            &["line 3", "\"deadline_ms\"", "u64"],
        ),
        case(
            "negative number",
            with("deadline_ms", json!(-1)),
            &["line 3", "\"deadline_ms\""],
        ),
        case(
            "unknown field",
            with("priority", json!(9)),
            &["unknown field `priority`", "line"],
        ),
        case(
            "missing field",
            json!({ "key": "k-1" }).to_string(),
            &["missing field `customer`", "line 1"],
        ),
        case(
            "lone surrogate",
            "{\"key\": \"\\ud800\"}".to_owned(),
            &["line 1", "\"key\""],
        ),
        case(
            "deep nesting",
            format!("{{\"key\": {}", "[".repeat(4000)),
            &["line 1"],
        ),
        case("empty key", with("key", json!("")), &["1 to 128 bytes"]),
        case("long key", with("key", json!(long)), &["1 to 128 bytes"]),
        case(
            "empty customer",
            with("customer", json!("")),
            &["1 to 128 bytes"],
        ),
        case(
            "long customer",
            with("customer", json!(long)),
            &["1 to 128 bytes"],
        ),
        case(
            "long workload",
            with("workload", json!(long)),
            &["1 to 128 bytes"],
        ),
    ];
    let site = Site::start(MANIFEST, LIMITS).await;
    let peer = site.caller.to_string();
    for case in cases {
        let (post, path) = (Method::POST, "/v1/work");
        let call = site
            .client
            .call("test", post, &peer, path, case.body, LIMIT);
        let reply = call.await.expect(case.name);
        assert_eq!(reply.status, 400, "{}: {reply:?}", case.name);
        // The reply must not grow with what was sent.
        assert!(reply.body.len() < 600, "{}: {reply:?}", case.name);
        let work: WorkReply = reply.json().expect(case.name);
        assert_eq!(work.outcome, Outcome::NotRun, "{}", case.name);
        assert_eq!(work.reason, Some(NotRunReason::Malformed), "{}", case.name);
        for text in case.detail {
            assert!(work.detail.contains(text), "{}: {}", case.name, work.detail);
        }
    }
}

/// Guards against an unknown path or method that is taken for a known one.
#[tokio::test]
async fn unknown_paths_and_methods_are_refused() {
    let cases = [
        (Method::GET, "/", 404),
        (Method::GET, "/v2/work", 404),
        (Method::GET, "/v1/status", 404),
        (Method::GET, "/v1/work", 405),
        (Method::PUT, "/v1/work", 405),
        (Method::DELETE, "/v1/work/acme/k-1", 405),
        (Method::POST, "/v1/work/acme/k-1", 405),
        (Method::GET, "/v1/work/acme/k-1/cancel", 405),
        (Method::POST, "/v1/work/acme/k-1/cancel/more", 405),
    ];
    let site = Site::start(MANIFEST, LIMITS).await;
    let peer = site.caller.to_string();
    for (method, path, status) in cases {
        let call = site
            .client
            .call("test", method.clone(), &peer, path, "", LIMIT);
        let reply = call.await.expect("a reply");
        assert_eq!(reply.status, status, "{method} {path}: {reply:?}");
    }
}
