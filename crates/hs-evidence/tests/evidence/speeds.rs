//! The speed of workers is found, and nothing else is taken for it.

use std::time::Duration;

use hs_evidence::SpeedClass;

use crate::cluster::{Cluster, Scenario, TestKind, worker};

const KINDS: &[TestKind] = &[
    TestKind {
        name: "scan",
        length: 1.0,
        tasks: 4,
    },
    TestKind {
        name: "train",
        length: 3.0,
        tasks: 12,
    },
];

struct Case {
    name: &'static str,
    speeds: &'static [f64],
    has_long_runs: bool,
    interference: &'static [(usize, usize, f64)],
    /// Expected classes, for the workers in turn.
    expected: &'static [SpeedClass],
}

/// Guards against workers that are taken for slow or fast because of what they run, and against slow ones that stay
/// unnoticed while they run unlike kinds.
#[test]
fn classes_follow_the_speeds_of_workers() {
    let cases = [
        Case {
            name: "equal workers with long runs",
            speeds: &[1.0; 12],
            has_long_runs: true,
            interference: &[],
            expected: &[SpeedClass::Usual; 12],
        },
        Case {
            name: "equal workers with an interfering pair",
            speeds: &[1.0; 12],
            has_long_runs: true,
            interference: &[(0, 1, 1.5)],
            expected: &[SpeedClass::Usual; 12],
        },
        Case {
            name: "one slow worker",
            speeds: &[1.0, 1.0, 1.0, 0.5, 1.0, 1.0],
            has_long_runs: true,
            interference: &[],
            expected: &[
                SpeedClass::Usual,
                SpeedClass::Usual,
                SpeedClass::Usual,
                SpeedClass::Slow,
                SpeedClass::Usual,
                SpeedClass::Usual,
            ],
        },
        Case {
            name: "one in three is fast",
            speeds: &[0.7, 0.7, 1.7, 0.7, 0.7, 1.7],
            has_long_runs: true,
            interference: &[],
            expected: &[
                SpeedClass::Usual,
                SpeedClass::Usual,
                SpeedClass::Fast,
                SpeedClass::Usual,
                SpeedClass::Usual,
                SpeedClass::Fast,
            ],
        },
    ];
    for case in cases {
        for seed in 1..=6 {
            let scenario = Scenario {
                speeds: case.speeds,
                kinds: KINDS,
                interference: case.interference,
                has_long_runs: case.has_long_runs,
                slots: 2,
            };
            let mut cluster = Cluster::new(scenario, seed);
            cluster.run(Duration::from_secs(40));
            // Single misjudgements of usual workers are possible; what is required is that nearly all classes are right
            // and that none is the opposite.
            let classes = (0..case.speeds.len()).map(|n| cluster.evidence.speed_class(worker(n)));
            let pairs: Vec<_> = classes.zip(case.expected.iter().copied()).collect();
            let wrong = pairs.iter().filter(|(found, expected)| found != expected);
            assert!(
                wrong.count() <= case.speeds.len() / 6,
                "{}, seed {seed}: {pairs:?}",
                case.name
            );
            let is_opposite = |(found, expected): &(SpeedClass, SpeedClass)| {
                *expected != SpeedClass::Usual && found != expected
            };
            assert!(!pairs.iter().any(is_opposite), "{}: {pairs:?}", case.name);
        }
    }
}

/// Guards against a speed that is kept after the worker has changed.
#[test]
fn a_speed_is_measured_against_the_median() {
    let scenario = Scenario {
        speeds: &[0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7],
        kinds: KINDS,
        interference: &[],
        has_long_runs: false,
        slots: 2,
    };
    let mut cluster = Cluster::new(scenario, 3);
    cluster.run(Duration::from_secs(40));
    let speed = cluster.evidence.speed(worker(2), cluster.now);
    let speed = speed.expect("a worker is known after 40 s");
    assert!((2.0..3.0).contains(&speed), "{speed}");
    cluster.evidence.worker_removed(worker(2));
    assert_eq!(cluster.evidence.speed_class(worker(2)), SpeedClass::Unknown);
}
