//! `submit`, `result`, `cancel` and `status` against a fake entry process.

#[expect(dead_code, reason = "the store is used by other tests")]
mod common;

use common::{run, start};
use hs_http::{HttpReply, HttpRequest};
use hs_wire::{NotRunReason, Outcome, Submission, WorkReply};

/// Handles a request to the fake entry process, and replies with the outcome that the key names.
async fn handle(request: HttpRequest) -> HttpReply {
    let key = match request.path.as_str() {
        "/v1/work" => request.json::<Submission>().expect("submission").key,
        "/v1/status" => return HttpReply::json(200, &serde_json::json!({ "a": { "b": [1] } })),
        path => path.split('/').nth(4).expect("key").to_owned(),
    };
    let reply = match key.as_str() {
        "done" => WorkReply::new(&key, Outcome::Done),
        "accepted" => WorkReply::new(&key, Outcome::Accepted),
        "cancelled" => WorkReply::new(&key, Outcome::Cancelled),
        "unknown" => WorkReply::unknown(&key, "owner did not reply"),
        "full" => WorkReply::not_run(&key, NotRunReason::QueueFull, "queue full"),
        _ => return HttpReply::error(404, "unknown_key", "no such record"),
    };
    HttpReply::json(reply.status(), &reply)
}

/// Guards against exit codes that let a script take an unknown outcome for a failure, or a failure
/// for a success.
#[test]
fn exit_code_follows_the_outcome() {
    let address = start(handle).to_string();
    let cases = [
        ("submit", "done", 0),
        ("submit", "accepted", 0),
        ("submit", "cancelled", 1),
        ("submit", "full", 1),
        ("submit", "unknown", 4),
        ("result", "done", 0),
        ("result", "missing", 1),
        ("cancel", "cancelled", 0),
        ("cancel", "accepted", 0),
        ("cancel", "done", 1),
        ("cancel", "unknown", 4),
    ];
    for (command, key, expected_exit) in cases {
        let mut arguments = vec![command, "--entry", &address];
        match command {
            "submit" => {
                arguments.extend(["--customer", "c", "--workload", "w", "--key", key]);
                arguments.extend(["--deadline-ms", "100", "--payload", "{}"]);
            }
            _ => arguments.extend(["c", key]),
        }
        let output = run(&arguments);
        assert_eq!(
            output.status.code(),
            Some(expected_exit),
            "{command} {key}: {output:?}"
        );
        serde_json::from_slice::<serde_json::Value>(&output.stdout).expect("JSON reply");
    }
    let output = run(&["status", "--control", &address]);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "a.b[0]: 1\n");
    let output = run(&["result", "--entry", "127.0.0.1:1", "c", "done"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}
