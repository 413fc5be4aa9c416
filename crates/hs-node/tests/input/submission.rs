//! Tests of invalid submissions, paths and methods.

use hs_wire::{NotRunReason, Outcome, WorkReply};
use hyper::Method;
use serde_json::{Value, json};

use crate::test_cluster::{CALL_TIMEOUT, LIMITS, MANIFEST, TestCluster};

struct BodyCase {
    name: &'static str,
    body: String,
    /// Texts that the detail of the reply must contain.
    detail: &'static [&'static str],
}

/// Guards against a rejected submission whose reply does not say what is wrong, and against work
/// that runs under a key or name that no other request can use.
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
    let cluster = TestCluster::start(MANIFEST, LIMITS).await;
    let peer = cluster.caller.to_string();
    for case in cases {
        let (post, path) = (Method::POST, "/v1/work");
        let call = cluster
            .client
            .call("test", post, &peer, path, case.body, CALL_TIMEOUT);
        let reply = call.await.expect(case.name);
        assert_eq!(reply.status, 400, "{}: {reply:?}", case.name);
        // The reply must not grow with the submission.
        assert!(reply.body.len() < 600, "{}: {reply:?}", case.name);
        let work: WorkReply = reply.json().expect(case.name);
        assert_eq!(work.outcome, Outcome::NotRun, "{}", case.name);
        assert_eq!(work.reason, Some(NotRunReason::Malformed), "{}", case.name);
        for text in case.detail {
            assert!(work.detail.contains(text), "{}: {}", case.name, work.detail);
        }
    }
}

/// Guards against an unknown path or method that is handled as a known one.
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
    let cluster = TestCluster::start(MANIFEST, LIMITS).await;
    let peer = cluster.caller.to_string();
    for (method, path, status) in cases {
        let call = cluster
            .client
            .call("test", method.clone(), &peer, path, "", CALL_TIMEOUT);
        let reply = call.await.expect("a reply");
        assert_eq!(reply.status, status, "{method} {path}: {reply:?}");
    }
}
