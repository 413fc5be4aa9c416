//! The `load` command against a fake entry process.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::mpsc;

use hs_config::parse_manifest;
use hs_http::{HttpReply, ServeLimits, serve};
use hs_load::LoadReport;
use hs_wire::{NotRunReason, Outcome, Submission, WorkReply};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Starts a fake entry process that runs until the test process ends.
fn start_entry(answer: fn(&Submission) -> WorkReply) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            sender.send(listener.local_addr()).expect("send");
            let (_stop, stopped) = watch::channel(false);
            serve(
                listener,
                ServeLimits::default(),
                stopped,
                move |request| async move {
                    let work: Submission = request.json().expect("submission");
                    let reply = answer(&work);
                    HttpReply::json(reply.status(), &reply)
                },
            )
            .await;
        });
    });
    receiver.recv().expect("receive").expect("address")
}

/// Returns the reply of an entry process to work that is done.
fn done_reply(work: &Submission) -> WorkReply {
    let mut reply = WorkReply::new(&work.key, Outcome::Done);
    let tasks = if work.workload == "train" { 4 } else { 1 };
    reply.results = vec![work.key.clone(); tasks];
    reply
}

fn load(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hornbeamshunt"))
        .arg("load")
        .args(arguments)
        .output()
        .expect("run")
}

struct AnswerCase {
    name: &'static str,
    answer: fn(&Submission) -> WorkReply,
    exit: i32,
}

/// Guards against exit code 0 after a run with a wrong or missing answer.
#[test]
fn exit_code_reflects_the_answers() {
    let case = |name, answer, exit| AnswerCase { name, answer, exit };
    let cases = [
        case("own answers", done_reply as fn(&Submission) -> WorkReply, 0),
        case(
            "refusals",
            |work| WorkReply::not_run(&work.key, NotRunReason::QueueFull, ""),
            0,
        ),
        case(
            "another's answers",
            |work| WorkReply {
                results: vec!["x".to_owned()],
                ..done_reply(work)
            },
            1,
        ),
        case(
            "unknown outcomes",
            |work| WorkReply::unknown(&work.key, ""),
            4,
        ),
    ];
    for case in cases {
        let entry = start_entry(case.answer).to_string();
        let output = load(&["--entry", &entry, "--scale", "0.1", "--json"]);
        assert_eq!(
            output.status.code(),
            Some(case.exit),
            "{}: {output:?}",
            case.name
        );
        let report: LoadReport = serde_json::from_slice(&output.stdout).expect(case.name);
        assert!(report.submissions > 0, "{}", case.name);
    }
}

/// Guards against usage errors that start a run, and against exit code 0 when no entry process can be
/// reached.
#[test]
fn exit_code_of_usage_errors_and_unreachable_entries() {
    let cases: [(&[&str], i32); 6] = [
        (&[], 2),
        (&["--entry", "127.0.0.1:1", "--scenario", "storm"], 2),
        (&["--entry", "127.0.0.1:1", "--rate", "0"], 2),
        (&["--direct", "127.0.0.1:1"], 2),
        (&["--entry", "127.0.0.1:1", "--direct", "127.0.0.1:1"], 1),
        (
            &[
                "--entry",
                "127.0.0.1:1",
                "--scale",
                "0.1",
                "--settle-ms",
                "1",
            ],
            1,
        ),
    ];
    for (arguments, exit) in cases {
        let output = load(arguments);
        assert_eq!(
            output.status.code(),
            Some(exit),
            "{arguments:?}: {output:?}"
        );
    }
}

/// Guards against a printed manifest that `publish` would reject.
#[test]
fn printed_manifest_is_valid() {
    let output = load(&["--manifest"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(parse_manifest(&text).expect("manifest").customers.len(), 4);
}
