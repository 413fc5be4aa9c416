//! Guards against wrong times, schedules, reports and options of a load run.

use hs_load::{LoadOptions, LoadReport, Scenario, run_load};

use crate::support::{Behaviour, FakeEntry};

/// Guards against coordinated omission: the time that a call spends in the queue behind slow calls
/// has to count.
#[tokio::test(flavor = "multi_thread")]
async fn queued_calls_are_measured_from_their_intended_send_time() {
    let entry = FakeEntry::start(Behaviour::Correct).await;
    let options = LoadOptions {
        targets: vec![entry.address],
        scenario: Scenario::Steady,
        scale: 1.0 / 30.0,
        rate: 100.0,
        check_run_ms: 30,
        max_in_flight: 1,
        ..LoadOptions::default()
    };
    let report = run_load(options).await.expect("a report");
    let row = report.class_row("check").expect("checks");
    // 100 calls of 30 ms, one at a time, take 3 s, but arrive within 1 s, so the last call is
    // sent about 2 s late.
    assert!(row.total.p50_us > 500_000, "{:?}", row.total);
    assert!(row.wait.max_us > 1_000_000, "{:?}", row.wait);
    assert!(report.latest_send_us > 1_000_000);
}

/// Guards against a schedule that differs between runs with the same seed, or does not depend on
/// the seed.
#[tokio::test(flavor = "multi_thread")]
async fn same_seed_gives_same_schedule() {
    let mut runs = Vec::new();
    for seed in [5, 5, 6] {
        let entry = FakeEntry::start(Behaviour::QueueFull).await;
        let options = LoadOptions {
            targets: vec![entry.address],
            scenario: Scenario::Mixed,
            seed,
            scale: 0.02,
            rate: 1000.0,
            // The entry records what arrives: a call that gets no connection in time among hundreds
            // would be missing from the schedule, or be in it twice.
            max_in_flight: 16,
            ..LoadOptions::default()
        };
        run_load(options).await.expect("a report");
        let mut sent: Vec<(usize, String, String, String)> = Vec::new();
        for submission in entry.submissions() {
            let (_, index) = submission
                .key
                .rsplit_once('-')
                .expect("a key with an index");
            let index = usize::from_str_radix(index, 16).expect("an index");
            let (sleep, _) = submission.payload.split_once(' ').expect("two words");
            sent.push((
                index,
                submission.customer,
                submission.workload,
                sleep.to_owned(),
            ));
        }
        sent.sort();
        runs.push(sent);
    }
    assert!(runs[0].len() > 300, "{} submissions", runs[0].len());
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
}

/// Guards against a burst with a wrong rate, customer or length.
#[tokio::test(flavor = "multi_thread")]
async fn burst_has_the_expected_customer_rate_and_length() {
    let entry = FakeEntry::start(Behaviour::QueueFull).await;
    let options = LoadOptions {
        targets: vec![entry.address],
        scenario: Scenario::Burst,
        scale: 0.1,
        rate: 800.0,
        ..LoadOptions::default()
    };
    let report = run_load(options).await.expect("a report");
    for (customer, phase, expected) in [
        ("surge", "before", 100.0),
        ("surge", "burst", 1000.0),
        ("surge", "after", 100.0),
        ("north", "before", 100.0),
        ("north", "burst", 100.0),
    ] {
        let row = report.row("check", customer, phase).expect("a row");
        let ratio = row.count as f64 / expected;
        // The tolerance is five standard deviations of 100 Poisson arrivals.
        assert!(
            (0.5..1.5).contains(&ratio),
            "{customer} {phase}: {}",
            row.count
        );
    }
}

/// Guards against a report that loses fields in JSON or rows in the table.
#[tokio::test(flavor = "multi_thread")]
async fn report_round_trips_through_json_and_table_shows_every_row() {
    let entry = FakeEntry::start(Behaviour::Correct).await;
    let options = LoadOptions {
        targets: vec![entry.address],
        scale: 0.5,
        ..LoadOptions::default()
    };
    let report = run_load(options).await.expect("a report");
    let json = serde_json::to_string(&report).expect("JSON");
    let parsed: LoadReport = serde_json::from_str(&json).expect("a report");
    assert_eq!(parsed, report);
    let table = report.to_string();
    let lines = table.lines().filter(|line| line.contains("done="));
    assert_eq!(lines.count(), report.rows.len(), "{table}");
}

/// Guards against options that give a run without arrivals or a schedule that exhausts the memory.
#[tokio::test]
async fn invalid_options_are_refused() {
    let base = || LoadOptions {
        targets: vec!["127.0.0.1:1".parse().expect("an address")],
        scenario: Scenario::Steady,
        ..LoadOptions::default()
    };
    let cases = [
        (
            LoadOptions {
                targets: Vec::new(),
                ..base()
            },
            "no caller address",
        ),
        (
            LoadOptions {
                rate: 0.0,
                ..base()
            },
            "option rate is 0",
        ),
        (
            LoadOptions {
                scale: f64::NAN,
                ..base()
            },
            "option scale is NaN",
        ),
        (
            LoadOptions {
                max_in_flight: 0,
                ..base()
            },
            "option max_in_flight is 0",
        ),
        (
            LoadOptions {
                rate: 1e9,
                ..base()
            },
            "more than 5000000",
        ),
    ];
    for (options, message) in cases {
        let error = run_load(options).await.expect_err(message).to_string();
        assert!(error.contains(message), "{error}");
    }
    for scenario in Scenario::ALL {
        assert_eq!(scenario.name().parse::<Scenario>().ok(), Some(scenario));
    }
    assert!("other".parse::<Scenario>().is_err());
}
