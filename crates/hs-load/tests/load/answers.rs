//! Guards against a load tool that does not detect wrong, missing or lost replies.

use hs_load::{LoadOptions, LoadReport, run_load};
use tokio::net::TcpSocket;

use crate::support::{Behaviour, FakeEntry};

async fn run(behaviour: Behaviour) -> (LoadReport, FakeEntry) {
    let entry = FakeEntry::start(behaviour).await;
    let options = LoadOptions {
        targets: vec![entry.address],
        scale: 0.5,
        settle_ms: 1_500,
        ..LoadOptions::default()
    };
    let report = run_load(options).await.expect("a report");
    (report, entry)
}

/// Guards against submissions that are counted under another outcome than their own.
#[tokio::test(flavor = "multi_thread")]
async fn outcomes_are_counted_under_their_names() {
    struct Case {
        behaviour: Behaviour,
        checks: &'static str,
        gangs: &'static str,
        wrong: bool,
        unanswered: bool,
    }
    let case = |behaviour, checks, gangs, wrong, unanswered| Case {
        behaviour,
        checks,
        gangs,
        wrong,
        unanswered,
    };
    let full = "not_run.queue_full";
    let cases = [
        case(Behaviour::Correct, "done", "done", false, false),
        case(
            Behaviour::PreviousResults,
            "wrong_answer",
            "wrong_answer",
            true,
            false,
        ),
        case(
            Behaviour::PreviousKey,
            "wrong_answer",
            "wrong_answer",
            true,
            false,
        ),
        case(
            Behaviour::MissingResult,
            "wrong_answer",
            "wrong_answer",
            true,
            false,
        ),
        case(Behaviour::QueueFull, full, full, false, false),
        case(
            Behaviour::InvalidBody,
            "unreadable",
            "unreadable",
            false,
            true,
        ),
        case(Behaviour::UnknownOnce, "done", "done", false, false),
        case(Behaviour::DoneAtSecondQuery, "done", "done", false, false),
        case(Behaviour::NeverDone, "done", "accepted", false, true),
        case(Behaviour::LostAfterAccept, "done", "lost", false, true),
    ];
    let runs: Vec<_> = cases
        .iter()
        .map(|case| tokio::spawn(run(case.behaviour)))
        .collect();
    for (case, run) in cases.into_iter().zip(runs) {
        let behaviour = case.behaviour;
        let (report, entry) = run.await.expect("a run");
        for (class, outcome) in [("check", case.checks), ("gang", case.gangs)] {
            let row = report.class_row(class).expect("a row of the class");
            assert!(row.count > 0, "{behaviour:?}");
            let outcomes: Vec<(&str, u64)> = row
                .outcomes
                .iter()
                .map(|(name, count)| (name.as_str(), *count))
                .collect();
            assert_eq!(outcomes, [(outcome, row.count)], "{behaviour:?} {class}");
            let resent = match (behaviour, class) {
                (Behaviour::UnknownOnce, "gang") => row.count,
                (Behaviour::InvalidBody, "gang") => continue,
                _ => 0,
            };
            assert_eq!(row.resent, resent, "{behaviour:?} {class}");
        }
        assert_eq!(report.wrong_answers > 0, case.wrong, "{behaviour:?}");
        assert_eq!(report.unanswered > 0, case.unanswered, "{behaviour:?}");
        let mut keys: Vec<String> = entry.submissions().into_iter().map(|s| s.key).collect();
        keys.sort();
        keys.dedup();
        assert_eq!(keys.len() as u64, report.submissions, "{behaviour:?}");
    }
}

/// Guards against a refused connection that is counted as a missing reply, and against durable
/// work that is not retried at another process.
#[tokio::test(flavor = "multi_thread")]
async fn absent_process_counts_as_not_sent() {
    // A socket that is bound but does not listen refuses connections and keeps its port.
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any_port).expect("a free port");
    let absent = socket.local_addr().expect("a bound address");
    let entry = FakeEntry::start(Behaviour::Correct).await;
    let options = LoadOptions {
        targets: vec![absent, entry.address],
        scale: 0.5,
        ..LoadOptions::default()
    };
    let report = run_load(options).await.expect("a report");
    let checks = &report.class_row("check").expect("checks").outcomes;
    assert!(checks["not_sent"] > 0 && checks["done"] > 0, "{checks:?}");
    let orders = report.class_row("order").expect("orders");
    assert_eq!(orders.outcomes["done"], orders.count);
    assert!(orders.resent > 0);
    assert_eq!(report.unanswered, 0);
}
