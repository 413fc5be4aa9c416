//! Ranks of VMs, takeover delays, and the estimate of a link's bandwidth.

use std::time::Duration;

use hs_control::VmLimits;
use hs_control::link_speed::LinkMeter;
use hs_control::rank::{VmMeasurements, VmRank, uninformed_takeover_delay};

const UNKNOWN: VmLimits = VmLimits {
    cores: None,
    link_mbps: None,
    memory_mb: None,
    max_fds: None,
};

/// A VM of the deployments with the largest ones.
const LARGE: VmLimits = VmLimits {
    cores: Some(0.5),
    link_mbps: Some(200.0),
    memory_mb: Some(512),
    max_fds: Some(10_250),
};

fn rank(limits: &VmLimits, workers: u32) -> VmRank {
    VmRank::new(limits, VmMeasurements::default(), workers)
}

/// A VM, and whether it has what the owner of a cell needs.
struct FitCase {
    what: &'static str,
    limits: VmLimits,
    workers: u32,
    is_fit: bool,
}

/// A VM that owns a cell too large for it, or leaves a cell to others although it is large enough.
#[test]
fn needs_grow_with_the_number_of_workers() {
    let cases = [
        FitCase {
            what: "missing settings are ample",
            limits: UNKNOWN,
            workers: 1100,
            is_fit: true,
        },
        FitCase {
            what: "large",
            limits: LARGE,
            workers: 1100,
            is_fit: true,
        },
        FitCase {
            what: "the second owner of the traced fault",
            limits: VmLimits {
                cores: Some(0.3),
                link_mbps: Some(10.0),
                ..UNKNOWN
            },
            workers: 350,
            is_fit: false,
        },
        FitCase {
            what: "a small VM of a small cell",
            limits: VmLimits {
                cores: Some(0.25),
                link_mbps: Some(1000.0),
                memory_mb: Some(260),
                max_fds: Some(3075),
            },
            workers: 0,
            is_fit: true,
        },
        FitCase {
            what: "171 MB at 1,100 workers",
            limits: VmLimits {
                memory_mb: Some(171),
                ..UNKNOWN
            },
            workers: 1100,
            is_fit: true,
        },
        FitCase {
            what: "170 MB at 1,100 workers",
            limits: VmLimits {
                memory_mb: Some(170),
                ..UNKNOWN
            },
            workers: 1100,
            is_fit: false,
        },
        FitCase {
            what: "3,075 descriptors at 1,100 workers",
            limits: VmLimits {
                max_fds: Some(3075),
                ..UNKNOWN
            },
            workers: 1100,
            is_fit: false,
        },
        FitCase {
            what: "4,517 descriptors, 200 of them reserved, at 1,100 workers",
            limits: VmLimits {
                max_fds: Some(4517),
                ..UNKNOWN
            },
            workers: 1100,
            is_fit: true,
        },
    ];
    for case in cases {
        let rank = rank(&case.limits, case.workers);
        assert_eq!(rank.is_fit(), case.is_fit, "{}: {rank:?}", case.what);
        assert_eq!(VmRank::from_wire(rank.to_wire()), Some(rank));
    }
    assert_eq!(VmRank::from_wire(0), None);
    assert_eq!(VmRank::from_wire(u32::MAX), None);
}

/// A VM that waits although no better one is up, or that does not wait for a better one, or too long to be in time
/// when the better ones have all failed.
#[test]
fn only_a_better_vm_causes_a_delay() {
    let slow_link = VmLimits {
        link_mbps: Some(10.0),
        ..LARGE
    };
    let small = VmLimits {
        cores: Some(0.09),
        ..LARGE
    };
    let similar = VmLimits {
        cores: Some(0.55),
        link_mbps: Some(190.0),
        memory_mb: Some(500),
        ..LARGE
    };
    for (limits, best, is_delayed) in [
        (LARGE, LARGE, false),
        (slow_link, slow_link, false),
        (small, small, false),
        (LARGE, similar, false),
        (similar, LARGE, false),
        (LARGE, slow_link, false),
        (slow_link, LARGE, true),
        (small, LARGE, true),
    ] {
        let (own, best) = (rank(&limits, 350), rank(&best, 350));
        let delay = own.takeover_delay(best);
        assert_eq!(!delay.is_zero(), is_delayed, "{own:?}, {best:?}: {delay:?}");
        assert!(delay <= Duration::from_millis(900), "{delay:?}");
    }
}

/// Deployments without settings, or with VMs that are large enough, that start with a delay.
#[test]
fn a_start_is_delayed_by_what_a_small_cell_lacks() {
    let cores = |cores| VmLimits {
        cores: Some(cores),
        ..UNKNOWN
    };
    let link = VmLimits {
        link_mbps: Some(10.0),
        ..UNKNOWN
    };
    for (limits, delay_ms) in [
        (UNKNOWN, 0),
        (LARGE, 0),
        (cores(0.25), 0),
        (cores(0.2), 140),
        (cores(0.0), 700),
        (link, 420),
    ] {
        let delay = uninformed_takeover_delay(&limits);
        assert_eq!((delay.as_secs_f64() * 1000.0).round() as u64, delay_ms);
    }
}

/// A VM that is slowed down and keeps its rank, or one that loses it by the differences between equal VMs.
#[test]
fn a_measured_speed_counts_if_it_is_far_below_the_settings() {
    let measured = |work_us| VmMeasurements {
        work_time: Some(Duration::from_micros(work_us)),
        link_mbps: None,
    };
    for (work_us, is_fit) in [(50, true), (100, true), (300, true), (1000, false)] {
        assert_eq!(VmRank::new(&LARGE, measured(work_us), 350).is_fit(), is_fit);
        assert!(VmRank::new(&UNKNOWN, measured(work_us), 350).is_fit());
    }
}

/// How long transactions take.
struct CommitCase {
    what: &'static str,
    constant: Duration,
    mbps: f64,
    is_slow: bool,
    is_link: bool,
}

/// A slow store that is mistaken for a slow link, or a slow link that is not seen.
#[test]
fn a_slow_store_is_not_mistaken_for_a_slow_link() {
    let cases = [
        CommitCase {
            what: "healthy",
            constant: Duration::from_millis(8),
            mbps: 200.0,
            is_slow: false,
            is_link: false,
        },
        CommitCase {
            what: "slow link",
            constant: Duration::from_millis(8),
            mbps: 5.0,
            is_slow: true,
            is_link: true,
        },
        CommitCase {
            what: "slow store",
            constant: Duration::from_millis(300),
            mbps: 200.0,
            is_slow: true,
            is_link: false,
        },
        CommitCase {
            what: "slow store and slow link",
            constant: Duration::from_millis(300),
            mbps: 5.0,
            is_slow: true,
            is_link: false,
        },
    ];
    for case in cases {
        let mut meter = LinkMeter::default();
        for number in 0..200_usize {
            let bytes = number * 37 % 61 * 1000;
            let transfer = Duration::from_secs_f64(bytes as f64 * 8e-6 / case.mbps);
            let noise = Duration::from_micros((number * 13 % 17) as u64 * 100);
            meter.record_commit(bytes, case.constant + transfer + noise);
        }
        assert_eq!(meter.is_slow(), case.is_slow, "{}", case.what);
        let mbps = meter.slow_link_mbps();
        assert_eq!(mbps.is_some(), case.is_link, "{}: {mbps:?}", case.what);
        if let Some(mbps) = mbps {
            assert!((mbps - case.mbps).abs() < 1.0, "{}: {mbps}", case.what);
        }
    }
}
