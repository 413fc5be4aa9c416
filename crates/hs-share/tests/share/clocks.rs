//! Start tags of parties that share a queue.

use hs_share::VirtualClock;

struct ClockCase {
    name: &'static str,
    weights: [u32; 2],
    /// Number of works that only the first party has queued before the second one does.
    alone: usize,
    served: [usize; 2],
}

/// Guards against a party that is served beyond its weight, and against credit for time without work.
#[test]
fn parties_are_served_by_weight() {
    let cases = [
        ClockCase {
            name: "equal weights",
            weights: [1, 1],
            alone: 0,
            served: [30, 30],
        },
        ClockCase {
            name: "three to one",
            weights: [3, 1],
            alone: 0,
            served: [45, 15],
        },
        ClockCase {
            name: "no credit for earlier calm",
            weights: [1, 1],
            alone: 50,
            served: [30, 30],
        },
        ClockCase {
            name: "zero weight counts as one",
            weights: [1, 0],
            alone: 0,
            served: [30, 30],
        },
    ];
    for case in cases {
        let mut clock = VirtualClock::default();
        let mut tags = [0; 2];
        for _ in 0..case.alone {
            tags[0] = clock.charge(tags[0], 300, case.weights[0]);
        }
        tags[1] = clock.activated_tag(tags[1]);
        let mut served = [0usize; 2];
        for _ in 0..60 {
            let first = usize::from(tags[1] < tags[0]);
            tags[first] = clock.charge(tags[first], 300, case.weights[first]);
            served[first] += 1;
        }
        let difference = served[0].abs_diff(case.served[0]);
        assert!(difference <= 1, "{}: {served:?}", case.name);
    }
}
