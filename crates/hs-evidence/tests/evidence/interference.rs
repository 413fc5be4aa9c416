//! Interference between kinds is found, and nothing else is taken for it.

use std::time::Duration;

use crate::cluster::{Cluster, Scenario, TestKind};

const KINDS: &[TestKind] = &[
    TestKind {
        name: "scan",
        length: 1.0,
        tasks: 8,
    },
    TestKind {
        name: "train",
        length: 2.0,
        tasks: 6,
    },
    TestKind {
        name: "index",
        length: 1.5,
        tasks: 8,
    },
];

const EQUAL: &[f64] = &[1.0; 18];

const UNLIKE: &[f64] = &[
    0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7,
];

struct Case {
    name: &'static str,
    speeds: &'static [f64],
    has_long_runs: bool,
    interference: &'static [(usize, usize, f64)],
}

/// Guards against interference that stays unnoticed, and against pairs that are suspected because of the speed of
/// workers, of tasks that are long by themselves, or of a third kind that really interferes.
#[test]
fn only_interfering_pairs_are_found() {
    let cases = [
        Case {
            name: "nothing interferes",
            speeds: EQUAL,
            has_long_runs: false,
            interference: &[],
        },
        Case {
            name: "unlike speeds alone",
            speeds: UNLIKE,
            has_long_runs: false,
            interference: &[],
        },
        Case {
            name: "long runs alone",
            speeds: EQUAL,
            has_long_runs: true,
            interference: &[],
        },
        Case {
            name: "a pair on equal workers",
            speeds: EQUAL,
            has_long_runs: true,
            interference: &[(0, 1, 1.8)],
        },
        Case {
            name: "a pair on workers of unlike speeds",
            speeds: UNLIKE,
            has_long_runs: true,
            interference: &[(0, 1, 1.8)],
        },
        Case {
            name: "two kinds that slow each other down",
            speeds: UNLIKE,
            has_long_runs: true,
            interference: &[(0, 1, 1.6), (1, 0, 1.6)],
        },
        Case {
            name: "a kind that slows itself down",
            speeds: UNLIKE,
            has_long_runs: true,
            interference: &[(2, 2, 1.6)],
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
            cluster.run(Duration::from_secs(60));
            let all = 0..KINDS.len();
            let pairs = all
                .clone()
                .flat_map(|kind| all.clone().map(move |b| (kind, b)));
            for (kind, beside) in pairs {
                let mut interfering = case.interference.iter();
                let expected = interfering.any(|(k, b, _)| (*k, *b) == (kind, beside));
                let found = cluster.is_slowed(kind, beside);
                let (kind, beside) = (KINDS[kind].name, KINDS[beside].name);
                assert_eq!(
                    found, expected,
                    "{}, seed {seed}: {kind} beside {beside}",
                    case.name
                );
            }
        }
    }
}

/// Guards against evidence that takes long to gather.
#[test]
fn a_pair_is_found_within_a_bounded_number_of_runs() {
    for seed in 1..=6 {
        let scenario = Scenario {
            speeds: UNLIKE,
            kinds: KINDS,
            interference: &[(0, 1, 2.0)],
            has_long_runs: true,
            slots: 2,
        };
        let mut cluster = Cluster::new(scenario, seed);
        while !cluster.is_slowed(0, 1) {
            cluster.run(Duration::from_secs(1));
            assert!(cluster.ended < 900, "seed {seed}");
        }
    }
}

/// Guards against decisions on what was true long ago, and against changes that nobody is told about.
#[test]
fn interference_fades_without_observations() {
    let scenario = Scenario {
        speeds: EQUAL,
        kinds: KINDS,
        interference: &[(0, 1, 2.0)],
        has_long_runs: false,
        slots: 2,
    };
    let mut cluster = Cluster::new(scenario, 1);
    cluster.run(Duration::from_secs(60));
    assert!(cluster.is_slowed(0, 1));
    let changes = cluster.evidence.take_pair_changes();
    assert!(changes.iter().any(|change| change.is_confident));
    cluster.now += Duration::from_secs(900);
    cluster.evidence.refresh(cluster.now);
    assert!(!cluster.is_slowed(0, 1));
    let changes = cluster.evidence.take_pair_changes();
    assert!(changes.iter().all(|change| !change.is_confident));
    assert_eq!(changes.len(), 1);
    let worker = crate::cluster::worker(0);
    assert_eq!(cluster.evidence.speed(worker, cluster.now), None);
}
