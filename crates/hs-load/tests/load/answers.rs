//! Guards against a load tool that overlooks wrong, missing or lost answers.

use hs_load::{LoadOptions, LoadReport, run_load};
use tokio::net::TcpSocket;

use crate::support::{FakeEntry, Manner};

async fn run(manner: Manner) -> (LoadReport, FakeEntry) {
    let entry = FakeEntry::start(manner).await;
    let options = LoadOptions {
        targets: vec![entry.address],
        scale: 0.5,
        settle_ms: 1_500,
        ..LoadOptions::default()
    };
    let report = run_load(options).await.expect("a report");
    (report, entry)
}

/// Guards against an outcome that is counted as another one.
#[tokio::test(flavor = "multi_thread")]
async fn counts_by_outcome() {
    struct Case {
        manner: Manner,
        checks: &'static str,
        gangs: &'static str,
        wrong: bool,
        unanswered: bool,
    }
    let case = |manner, checks, gangs, wrong, unanswered| Case {
        manner,
        checks,
        gangs,
        wrong,
        unanswered,
    };
    let full = "not_run.queue_full";
    let cases = [
        case(Manner::Honest, "done", "done", false, false),
        case(Manner::Swapped, "wrong_answer", "wrong_answer", true, false),
        case(
            Manner::SwappedKey,
            "wrong_answer",
            "wrong_answer",
            true,
            false,
        ),
        case(Manner::Short, "wrong_answer", "wrong_answer", true, false),
        case(Manner::QueueFull, full, full, false, false),
        case(Manner::Garbled, "unreadable", "unreadable", false, true),
        case(Manner::Forgetful, "done", "done", false, false),
        case(Manner::Patient, "done", "done", false, false),
        case(Manner::Endless, "done", "accepted", false, true),
        case(Manner::Losing, "done", "lost", false, true),
    ];
    let begun: Vec<_> = cases
        .iter()
        .map(|case| tokio::spawn(run(case.manner)))
        .collect();
    for (case, run) in cases.into_iter().zip(begun) {
        let manner = case.manner;
        let (report, entry) = run.await.expect("a run");
        for (class, outcome) in [("check", case.checks), ("gang", case.gangs)] {
            let row = report.class_row(class).expect("a row of the class");
            assert!(row.count > 0, "{manner:?}");
            let outcomes: Vec<(&str, u64)> = row
                .outcomes
                .iter()
                .map(|(name, count)| (name.as_str(), *count))
                .collect();
            assert_eq!(outcomes, [(outcome, row.count)], "{manner:?} {class}");
            let resent = match (manner, class) {
                (Manner::Forgetful, "gang") => row.count,
                (Manner::Garbled, "gang") => continue,
                _ => 0,
            };
            assert_eq!(row.resent, resent, "{manner:?} {class}");
        }
        assert_eq!(report.wrong_answers > 0, case.wrong, "{manner:?}");
        assert_eq!(report.unanswered > 0, case.unanswered, "{manner:?}");
        let mut keys: Vec<String> = entry.submissions().into_iter().map(|s| s.key).collect();
        keys.sort();
        keys.dedup();
        assert_eq!(keys.len() as u64, report.submissions, "{manner:?}");
    }
}

/// Guards against a process that is not there being taken for one that did not answer, and
/// against durable work that is given up although another process would take it.
#[tokio::test(flavor = "multi_thread")]
async fn absent_process() {
    // A socket that is bound but does not listen refuses connections and keeps its port.
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any_port).expect("a free port");
    let absent = socket.local_addr().expect("a bound address");
    let entry = FakeEntry::start(Manner::Honest).await;
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
