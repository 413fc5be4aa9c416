//! Which team goes first.

use hs_share::{NormalizedShare, ResourceSum};
use hs_wire::Resources;

fn sum(cpu_milli: u32, memory_mib: u32, accelerators: u32) -> ResourceSum {
    let mut sum = ResourceSum::default();
    let amount = Resources {
        cpu_milli,
        memory_mib,
        accelerators,
        slots: 1000,
        ..Resources::ZERO
    };
    sum.add(amount, 1);
    sum
}

struct OrderCase {
    name: &'static str,
    /// Usage and weight of the team that goes first.
    first: (ResourceSum, f64),
    second: (ResourceSum, f64),
}

/// Guards against a team that crowds out others by the resource of which it uses most.
#[test]
fn the_least_dominant_share_by_weight_goes_first() {
    let capacity = sum(1000, 1000, 10);
    let cases = [
        OrderCase {
            name: "less of the same resource",
            first: (sum(100, 0, 0), 1.0),
            second: (sum(101, 0, 0), 1.0),
        },
        OrderCase {
            name: "the largest share counts, not the sum",
            first: (sum(300, 300, 3), 1.0),
            second: (sum(400, 0, 0), 1.0),
        },
        OrderCase {
            name: "few accelerators are a large share",
            first: (sum(500, 0, 0), 1.0),
            second: (sum(10, 10, 6), 1.0),
        },
        OrderCase {
            name: "more weight, more use",
            first: (sum(300, 0, 0), 4.0),
            second: (sum(100, 0, 0), 1.0),
        },
        OrderCase {
            name: "no use",
            first: (sum(0, 0, 0), 1e-9),
            second: (sum(1, 0, 0), 1e9),
        },
        OrderCase {
            name: "an unusable weight counts as one",
            first: (sum(100, 0, 0), f64::NAN),
            second: (sum(101, 0, 0), -3.0),
        },
    ];
    for case in cases {
        let share = |(used, weight)| NormalizedShare::new(used, capacity, weight);
        let (first, second) = (share(case.first), share(case.second));
        assert!(first < second, "{}: {first:?} {second:?}", case.name);
    }
}

/// Guards against a division by zero while no worker has reported.
#[test]
fn use_without_capacity_counts_as_all() {
    let share = NormalizedShare::new(sum(1, 0, 0), ResourceSum::default(), 1.0);
    assert_eq!(share, NormalizedShare::new(sum(9, 0, 0), sum(9, 0, 0), 1.0));
    let idle = NormalizedShare::new(sum(0, 0, 0), ResourceSum::default(), 1.0);
    assert_eq!(idle, NormalizedShare::ZERO);
}

/// Guards against an order of teams that is updated with each start and end.
#[test]
fn small_changes_do_not_count() {
    let share = |cpu| NormalizedShare::new(sum(cpu, 0, 0), sum(10_000, 1, 1), 1.0);
    let cases = [
        (1000, 1010, false),
        (1000, 1030, true),
        (1000, 970, true),
        (0, 1, true),
        (1, 0, true),
        (0, 0, false),
    ];
    for (earlier, now, differs) in cases {
        let found = share(now).differs_coarsely_from(share(earlier));
        assert_eq!(found, differs, "{earlier} {now}");
    }
}
