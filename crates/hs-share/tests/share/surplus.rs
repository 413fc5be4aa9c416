//! Whether surplus can be served in time.

use std::time::{Duration, Instant};

use hs_share::{AdmissionVerdict, ServiceMeter, SurplusBacklog};

struct BacklogCase {
    name: &'static str,
    jobs: usize,
    work: f64,
    rate: Option<f64>,
    run_time_ms: u64,
    /// Seconds after which the client is to come again; `None` if the job is admitted.
    retry_after: Option<u64>,
    is_congested: bool,
    stays_congested: bool,
}

/// Guards against a team that fills the cell with jobs that end too late, and against a team that is refused
/// though nothing shows that it can't be served.
#[test]
fn surplus_is_refused_once_it_cannot_end_in_time() {
    const OBJECTIVE: Duration = Duration::from_secs(4);
    let base = BacklogCase {
        name: "",
        jobs: 10,
        work: 10.0,
        rate: Some(5.0),
        run_time_ms: 1000,
        retry_after: None,
        is_congested: false,
        stays_congested: false,
    };
    let cases = [
        BacklogCase {
            name: "no backlog",
            jobs: 0,
            work: 0.0,
            rate: Some(0.0),
            ..base
        },
        BacklogCase {
            name: "unknown rate",
            rate: None,
            work: 1e9,
            ..base
        },
        BacklogCase {
            name: "in time",
            ..base
        },
        BacklogCase {
            name: "relief only below half of the objective",
            work: 12.5,
            stays_congested: true,
            ..base
        },
        BacklogCase {
            name: "just too late with its own run time",
            work: 17.0,
            retry_after: Some(1),
            stays_congested: true,
            ..base
        },
        BacklogCase {
            name: "surge at 7.5 times the usual load",
            jobs: 75,
            work: 75.0,
            retry_after: Some(12),
            is_congested: true,
            stays_congested: true,
            ..base
        },
        BacklogCase {
            name: "nothing is served",
            rate: Some(0.0),
            retry_after: Some(60),
            is_congested: true,
            stays_congested: true,
            ..base
        },
        BacklogCase {
            name: "nothing is served, and the time left has a part of a second",
            rate: Some(0.0),
            run_time_ms: 3_500,
            retry_after: Some(60),
            is_congested: true,
            stays_congested: true,
            ..base
        },
        BacklogCase {
            name: "a job longer than the objective, without a backlog",
            jobs: 0,
            work: 0.0,
            run_time_ms: 9_000,
            ..base
        },
    ];
    for case in cases {
        let backlog = SurplusBacklog {
            jobs: case.jobs,
            work: case.work,
            rate: case.rate,
            objective: OBJECTIVE,
        };
        let expected = match case.retry_after {
            Some(seconds) => AdmissionVerdict::Refused {
                retry_after: Duration::from_secs(seconds),
            },
            None => AdmissionVerdict::Admitted,
        };
        let verdict = backlog.verdict(Duration::from_millis(case.run_time_ms));
        assert_eq!(verdict, expected, "{}", case.name);
        let congested = (backlog.is_congested(false), backlog.is_congested(true));
        let expected = (case.is_congested, case.stays_congested);
        assert_eq!(congested, expected, "{}", case.name);
    }
}

struct MeterCase {
    name: &'static str,
    /// Length of each part in seconds, whether there is a backlog, and the work served a second.
    parts: Vec<(u64, bool, f64)>,
    rate: Option<std::ops::RangeInclusive<f64>>,
}

/// Guards against a rate that counts idle time, and so refuses jobs that could be served.
#[test]
fn only_time_with_a_backlog_counts() {
    let cases = [
        MeterCase {
            name: "never a backlog",
            parts: vec![(60, false, 8.0)],
            rate: None,
        },
        MeterCase {
            name: "steady",
            parts: vec![(20, true, 8.0)],
            rate: Some(7.9..=8.1),
        },
        MeterCase {
            name: "calm does not lower it",
            parts: vec![(20, true, 8.0), (60, false, 0.0)],
            rate: Some(7.9..=8.1),
        },
        MeterCase {
            name: "calm does not raise it",
            parts: vec![(20, true, 8.0), (60, false, 50.0)],
            rate: Some(7.9..=8.1),
        },
        MeterCase {
            name: "a change shows within seconds",
            parts: vec![(20, true, 8.0), (10, true, 2.0)],
            rate: Some(2.0..=3.0),
        },
        MeterCase {
            name: "nothing is served",
            parts: vec![(1, true, 0.0)],
            rate: Some(0.0..=0.0),
        },
    ];
    const STEP: Duration = Duration::from_millis(100);
    for case in cases {
        let mut now = Instant::now();
        let mut meter = ServiceMeter::new(now);
        for (seconds, has_backlog, rate) in case.parts {
            meter.set_backlog(has_backlog, now);
            for _ in 0..seconds * 10 {
                now += STEP;
                meter.record(rate * STEP.as_secs_f64(), now);
            }
        }
        let rate = meter.rate(now);
        let is_expected = match (&case.rate, rate) {
            (Some(expected), Some(rate)) => expected.contains(&rate),
            (expected, rate) => expected.is_none() && rate.is_none(),
        };
        assert!(is_expected, "{}: {rate:?}", case.name);
    }
}
