//! Which jobs are owed.

use std::time::Duration;

use hs_share::{JobClass, TokenBucket};

struct BucketCase {
    name: &'static str,
    weight: f64,
    /// Acceptance times in milliseconds.
    times: Vec<u64>,
    owed: std::ops::RangeInclusive<usize>,
}

fn evenly(from_ms: u64, until_ms: u64, interval_ms: u64) -> Vec<u64> {
    let interval = usize::try_from(interval_ms).unwrap_or(1);
    (from_ms..until_ms).step_by(interval).collect()
}

fn owed(bucket: &mut TokenBucket, times: &[u64]) -> usize {
    let classes = times.iter().map(|at| bucket.take(*at));
    classes.filter(|class| *class == JobClass::Owed).count()
}

/// Guards against a surge that counts as owed, and against ordinary jobs that count as surplus.
#[test]
fn jobs_beyond_the_weight_are_surplus() {
    const START: u64 = 1_700_000_000_000;
    let shifted = |times: Vec<u64>| times.into_iter().map(|at| START + at).collect();
    let pairs_swapped = |mut times: Vec<u64>| {
        times.chunks_mut(2).for_each(<[u64]>::reverse);
        times
    };
    let interleaved = |left: Vec<u64>, right: Vec<u64>| -> Vec<u64> {
        left.into_iter()
            .zip(right)
            .flat_map(|(left, right)| [left, right])
            .collect()
    };
    let cases = [
        BucketCase {
            name: "below the weight",
            weight: 10.0,
            times: evenly(0, 10_000, 125),
            owed: 80..=80,
        },
        BucketCase {
            name: "at the weight",
            weight: 10.0,
            times: evenly(0, 10_000, 100),
            owed: 100..=100,
        },
        BucketCase {
            name: "surge at 7.5 times the weight",
            weight: 10.0,
            times: (0..750).map(|n| n * 1000 / 75).collect(),
            owed: 115..=120,
        },
        BucketCase {
            name: "burst of two seconds after calm",
            weight: 10.0,
            times: [0; 20].into(),
            owed: 20..=20,
        },
        BucketCase {
            name: "burst beyond two seconds",
            weight: 10.0,
            times: [0; 30].into(),
            owed: 20..=20,
        },
        BucketCase {
            name: "a small weight is kept up with",
            weight: 0.1,
            times: evenly(0, 600_000, 10_000),
            owed: 60..=60,
        },
        BucketCase {
            name: "a small weight still has five tokens",
            weight: 0.1,
            times: [0; 8].into(),
            owed: 5..=5,
        },
        BucketCase {
            name: "ordinary bursts of a team at half its weight",
            weight: 1.0,
            // Groups of three jobs within 400 ms, each 6 s.
            times: (0..20)
                .flat_map(|n| [n * 6_000, n * 6_000 + 200, n * 6_000 + 400])
                .collect(),
            owed: 60..=60,
        },
        BucketCase {
            name: "an unusable weight counts as one",
            weight: f64::NEG_INFINITY,
            times: evenly(0, 10_000, 500),
            owed: 14..=15,
        },
        BucketCase {
            name: "times slightly out of order",
            weight: 10.0,
            times: pairs_swapped(evenly(0, 10_000, 100)),
            owed: 98..=100,
        },
        BucketCase {
            name: "a single old job",
            weight: 10.0,
            times: [evenly(0, 5_000, 100), vec![1], evenly(5_000, 10_000, 100)].concat(),
            owed: 100..=101,
        },
        BucketCase {
            name: "a jump ahead earns two seconds",
            weight: 10.0,
            times: [evenly(0, 1_000, 20), evenly(3_600_000, 3_601_000, 20)].concat(),
            owed: 56..=60,
        },
        BucketCase {
            name: "a jump back is followed after five seconds",
            weight: 10.0,
            times: [vec![3_600_000], evenly(0, 15_000, 100)].concat(),
            // 19 tokens are left, those of 5 s are lost, and 10 s follow.
            owed: 115..=125,
        },
        BucketCase {
            name: "two clocks an hour apart, together at twice the weight",
            weight: 10.0,
            times: interleaved(evenly(0, 20_000, 100), evenly(3_600_000, 3_620_000, 100)),
            // One depth for each 5 s may come on top.
            owed: 200..=300,
        },
    ];
    for case in cases {
        let mut bucket = TokenBucket::new(case.weight);
        let times: Vec<u64> = shifted(case.times);
        let owed = owed(&mut bucket, &times);
        assert!(case.owed.contains(&owed), "{}: {owed}", case.name);
    }
}

/// Guards against classes that change with a takeover: a new owner feeds the same times in the same order.
#[test]
fn the_same_times_give_the_same_classes() {
    let times = evenly(1_000, 9_000, 37);
    let classes = || {
        let mut bucket = TokenBucket::new(10.0);
        times.iter().map(|at| bucket.take(*at)).collect::<Vec<_>>()
    };
    assert_eq!(classes(), classes());
}

/// Guards against tokens that outlive the weight that earned them.
#[test]
fn a_smaller_weight_discards_tokens() {
    let mut bucket = TokenBucket::new(100.0);
    bucket.set_weight(5.0);
    assert_eq!(owed(&mut bucket, &[0; 100]), 10);
}

/// Guards against a wait that does not follow from the weight.
#[test]
fn the_next_token_is_foreseen() {
    let mut bucket = TokenBucket::new(2.0);
    assert_eq!(bucket.time_to_token(0), Duration::ZERO);
    assert_eq!(owed(&mut bucket, &[1_000; 6]), 5);
    assert_eq!(bucket.time_to_token(1_000), Duration::from_millis(500));
    assert_eq!(bucket.time_to_token(1_300), Duration::from_millis(200));
    assert_eq!(bucket.time_to_token(9_000), Duration::ZERO);
}
