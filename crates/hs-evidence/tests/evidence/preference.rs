//! The preference follows confident evidence, and makes no difference otherwise.

use std::time::Duration;

use hs_evidence::{Evidence, LearningOptions, SpeedClass, TaskOutlook};

use crate::cluster::{Cluster, Scenario, TestKind, both_on, image, worker};

const KINDS: &[TestKind] = &[
    TestKind {
        name: "scan",
        length: 1.0,
        tasks: 6,
    },
    TestKind {
        name: "train",
        length: 2.0,
        tasks: 6,
    },
];

const SECOND: Duration = Duration::from_secs(1);

fn learned(speeds: &'static [f64], interference: &'static [(usize, usize, f64)]) -> Cluster {
    let scenario = Scenario {
        speeds,
        kinds: KINDS,
        interference,
        has_long_runs: false,
        slots: 2,
    };
    let mut cluster = Cluster::new(scenario, 5);
    cluster.run(40 * SECOND);
    cluster
}

/// Guards against observation that goes on with the switches off.
#[test]
fn nothing_is_learned_with_the_switches_off() {
    assert!(Evidence::new(LearningOptions::default()).is_none());
}

/// Guards against an order that changes without confident evidence or for small differences of speed.
#[test]
fn no_preference_without_confident_evidence() {
    let gang = TaskOutlook {
        is_gang: true,
        ..TaskOutlook::default()
    };
    assert!(both_on().preference(&image("scan"), &gang).is_none());
    let equal = learned(&[0.95, 1.0, 1.05, 1.0, 1.1, 0.9], &[]);
    assert!(equal.evidence.preference(&image("scan"), &gang).is_none());
}

/// Guards against urgent work on slow workers, and patient work on the few fast ones.
#[test]
fn work_goes_to_the_workers_that_it_needs() {
    let cluster = learned(&[0.7, 0.7, 1.7, 0.7, 0.7, 1.7], &[]);
    let long = TaskOutlook {
        objective: 60 * SECOND,
        estimate: 10 * SECOND,
        slack: 50 * SECOND,
        ..TaskOutlook::default()
    };
    struct Case {
        name: &'static str,
        outlook: TaskOutlook,
        prefers_fast: Option<bool>,
    }
    let cases = [
        Case {
            name: "gang",
            outlook: TaskOutlook {
                is_gang: true,
                ..long
            },
            prefers_fast: Some(true),
        },
        Case {
            name: "short objective",
            outlook: TaskOutlook {
                objective: SECOND,
                slack: SECOND / 2,
                ..long
            },
            prefers_fast: Some(true),
        },
        Case {
            name: "long chain of later steps",
            outlook: TaskOutlook {
                later: 20 * SECOND,
                ..long
            },
            prefers_fast: Some(true),
        },
        Case {
            name: "can wait",
            outlook: long,
            prefers_fast: Some(false),
        },
        Case {
            name: "overdue",
            outlook: TaskOutlook {
                is_overdue: true,
                is_gang: true,
                ..long
            },
            prefers_fast: Some(false),
        },
        Case {
            name: "neither",
            outlook: TaskOutlook {
                slack: SECOND,
                ..long
            },
            prefers_fast: None,
        },
    ];
    for case in cases {
        let preference = cluster.evidence.preference(&image("other"), &case.outlook);
        let standings = preference.map(|p| (p.standing(worker(0)), p.standing(worker(2))));
        let prefers_fast = standings.map(|(usual, fast)| fast < usual);
        assert_eq!(prefers_fast, case.prefers_fast, "{}", case.name);
    }
}

/// Guards against gangs that are spread over unlike workers without need, and against any that would wait.
#[test]
fn a_gang_stays_within_a_class_where_it_fits() {
    let cluster = learned(&[0.7, 0.7, 1.7, 0.7, 0.7, 1.7], &[]);
    let gang = TaskOutlook {
        is_gang: true,
        ..TaskOutlook::default()
    };
    let preference = cluster.evidence.preference(&image("other"), &gang);
    let preference = preference.expect("the speeds differ");
    let class = |wanted| {
        let fits = (0..6).map(|number| (worker(number), 2));
        preference.gang_class(fits, wanted)
    };
    assert_eq!(class(4), Some(SpeedClass::Fast));
    assert_eq!(class(8), Some(SpeedClass::Usual));
    assert_eq!(class(9), None);
}

/// Guards against interfering kinds that are put together beside a free worker, in either order.
#[test]
fn a_worker_with_an_interfering_kind_comes_last() {
    let mut cluster = learned(&[1.0; 12], &[(0, 1, 2.0)]);
    assert!(cluster.is_slowed(0, 1));
    let now = cluster.now;
    let (scan, train) = (image("scan"), image("train"));
    let evidence = &mut cluster.evidence;
    let run = |job| hs_evidence::ObservedRun {
        step: hs_evidence::ObservedStep {
            job,
            occurrence: 0,
            step: 0,
        },
        index: 0,
        run: 1,
    };
    evidence.run_placed(worker(100), run(1_000_000), &train, now);
    evidence.run_placed(worker(101), run(1_000_001), &scan, now);
    for (kind, bad, good) in [(&scan, 100, 101), (&train, 101, 100)] {
        let preference = evidence.preference(kind, &TaskOutlook::default());
        let preference = preference.expect("a pair is confident");
        assert!(preference.standing(worker(good)) < preference.standing(worker(bad)));
        assert_eq!(
            preference.standing(worker(good)),
            preference.standing(worker(102))
        );
    }
}
