//! `publish`, `drain` and `undrain` against a fake store with injected faults.

mod common;

use common::{FakeStore, StoreFault, file, run, start};
use hs_http::HttpReply;

const STORED_MANIFEST: &str = r#"{"revision":6,"customers":[{"name":"old"}],"workloads":[]}"#;
const RIVAL_MANIFEST: &str = r#"{"revision":7,"customers":[{"name":"other"}],"workloads":[]}"#;
const LATER_MANIFEST: &str = r#"{"revision":8,"customers":[{"name":"later"}],"workloads":[]}"#;

struct PublishCase {
    name: &'static str,
    stored: &'static str,
    fault: StoreFault,
    options: &'static [&'static str],
    exit: i32,
    output: &'static str,
    /// Revision and first customer of the manifest in the store afterwards.
    stored_after: (u64, &'static str),
}

/// Guards against a publication that is reported as successful while another manifest is in the
/// store, and against one that is reported as failed while it is in the store.
#[test]
fn publish_reports_what_happened() {
    let case = |name, fault, exit, output, stored_after| PublishCase {
        name,
        stored: STORED_MANIFEST,
        fault,
        options: &[],
        exit,
        output,
        stored_after,
    };
    let cases = [
        case(
            "next",
            StoreFault::None,
            0,
            "published revision 7",
            (7, "new"),
        ),
        PublishCase {
            stored: "",
            ..case(
                "first",
                StoreFault::None,
                0,
                "published revision 1",
                (1, "new"),
            )
        },
        PublishCase {
            options: &["--if-revision", "5"],
            ..case(
                "stale",
                StoreFault::None,
                3,
                "revision 6 was published first",
                (6, "old"),
            )
        },
        PublishCase {
            stored: r#"{"customers":"x"}"#,
            ..case("unreadable", StoreFault::None, 1, "", (0, ""))
        },
        case(
            "conflict",
            StoreFault::Overtaken(RIVAL_MANIFEST),
            3,
            "revision 7 was published first",
            (7, "other"),
        ),
        case(
            "reply-lost",
            StoreFault::ReplyLost,
            0,
            "reply lost, found",
            (7, "new"),
        ),
        case(
            "request-lost",
            StoreFault::RequestLost,
            4,
            "still has manifest revision 6",
            (6, "old"),
        ),
        case(
            "reply-lost-conflict",
            StoreFault::ReplyLostOvertaken(RIVAL_MANIFEST),
            3,
            "revision 7 was published first",
            (7, "other"),
        ),
        case(
            "reply-lost-superseded",
            StoreFault::ReplyLostOvertaken(LATER_MANIFEST),
            4,
            "revision 7 may have been in effect",
            (8, "later"),
        ),
    ];
    for case in cases {
        let text = "{ revision: 3, customers: [ { name: 'new' } ], workloads: [] }";
        let path = file(&format!("publish-{}.json", case.name), text);
        let (address, store) = FakeStore::start(case.stored, case.fault);
        let address = address.to_string();
        let mut arguments = vec!["publish", &path, "--store", &address];
        arguments.extend(case.options);
        let output = run(&arguments);
        let printed = String::from_utf8_lossy(&output.stdout);
        assert_eq!(
            output.status.code(),
            Some(case.exit),
            "{}: {output:?}",
            case.name
        );
        assert!(printed.contains(case.output), "{}: {printed}", case.name);
        let body = &store.lock().unwrap().body;
        let stored_after: serde_json::Value = serde_json::from_slice(body).unwrap();
        let revision = stored_after["revision"].as_u64().unwrap_or(0);
        let customer = stored_after["customers"][0]["name"].as_str().unwrap_or("");
        assert_eq!((revision, customer), case.stored_after, "{}", case.name);
    }
}

/// Guards against an unknown outcome being reported while the store refuses connections.
#[test]
fn unreachable_store_is_a_failure_without_effect() {
    let path = file("down.json", "{ customers: [], workloads: [] }");
    let output = run(&["publish", &path, "--store", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("was not sent"));
}

/// Guards against a wait that succeeds while an entry process still has an older revision, and
/// against a token that is not sent.
#[test]
fn wait_lists_entry_processes_that_are_behind() {
    let control = |revision: u64| {
        start(move |request| async move {
            match (request.path.as_str(), request.bearer_token()) {
                ("/v1/status", Some("0123456789abcdef")) => {
                    HttpReply::json(200, &serde_json::json!({ "manifest_revision": revision }))
                }
                _ => HttpReply::error(401, "unauthorised", "token"),
            }
        })
        .to_string()
    };
    let (ready, late) = (control(7), control(6));
    let token = file("token", "0123456789abcdef\n");
    let path = file("wait.json", "{ customers: [], workloads: [] }");
    for (controls, exit) in [(vec![&ready], 0), (vec![&ready, &late], 5)] {
        let (store, _) = FakeStore::start(STORED_MANIFEST, StoreFault::None);
        let store = store.to_string();
        let mut arguments = vec![
            "publish", &path, "--store", &store, "--wait", "--wait-s", "1",
        ];
        arguments.extend(["--token-file", &token]);
        for control in &controls {
            arguments.extend(["--control", control]);
        }
        let output = run(&arguments);
        let printed = String::from_utf8_lossy(&output.stdout);
        assert_eq!(output.status.code(), Some(exit), "{output:?}");
        let behind = printed.contains(&format!("behind: {late}: revision 6"));
        assert_eq!(behind, exit == 5, "{printed}");
        assert!(!printed.contains(&format!("behind: {ready}")), "{printed}");
    }
}

/// Guards against `drain` and `undrain` losing other fields of the manifest or other draining
/// workers.
#[test]
fn drain_changes_only_the_draining_list() {
    let stored = r#"{"revision":6,"customers":[{"name":"a"}],"workloads":[],"draining":["w-1"]}"#;
    let (address, store) = FakeStore::start(stored, StoreFault::None);
    let address = address.to_string();
    let steps = [
        ("drain", "w-2", 0, 7, vec!["w-1", "w-2"]),
        ("drain", "w-2", 0, 7, vec!["w-1", "w-2"]),
        ("undrain", "w-1", 0, 8, vec!["w-2"]),
        ("undrain", "w-1", 0, 8, vec!["w-2"]),
        ("drain", "w 3", 2, 8, vec!["w-2"]),
    ];
    for (command, worker, exit, revision, draining) in steps {
        let output = run(&[command, worker, "--store", &address]);
        assert_eq!(
            output.status.code(),
            Some(exit),
            "{command} {worker}: {output:?}"
        );
        let body = &store.lock().unwrap().body;
        let stored_after: serde_json::Value = serde_json::from_slice(body).unwrap();
        assert_eq!(stored_after["revision"], revision, "{command} {worker}");
        assert_eq!(
            stored_after["draining"],
            serde_json::json!(draining),
            "{command} {worker}"
        );
        assert_eq!(stored_after["customers"][0]["name"], "a");
    }
}
