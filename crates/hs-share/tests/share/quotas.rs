//! What a quota admits.

use hs_share::{ResourceQuota, ResourceSum};
use hs_wire::Resources;

struct QuotaCase {
    name: &'static str,
    quota: ResourceQuota,
    used: (u32, u32),
    amount: (u32, u32),
    admits: bool,
    copies: u32,
}

fn amounts((cpu_milli, memory_mib): (u32, u32)) -> Resources {
    Resources {
        cpu_milli,
        memory_mib,
        ..Resources::ZERO
    }
}

fn case(
    name: &'static str,
    quota: ResourceQuota,
    used: (u32, u32),
    amount: (u32, u32),
    admits: bool,
    copies: u32,
) -> QuotaCase {
    QuotaCase {
        name,
        quota,
        used,
        amount,
        admits,
        copies,
    }
}

/// Guards against a team above its cap, and against one that is held back below it.
#[test]
fn a_quota_admits_sums_up_to_its_limit() {
    let limit = |cpu, memory| ResourceQuota::at_most(amounts((cpu, memory)));
    let cap = |cpu, memory| ResourceQuota::of_cap(amounts((cpu, memory)));
    let unlimited = ResourceQuota::UNLIMITED;
    let cases = [
        case("below", limit(10, 10), (4, 4), (3, 1), true, 2),
        case("equal", limit(10, 10), (4, 4), (6, 6), true, 1),
        case("above", limit(10, 10), (4, 4), (7, 1), false, 0),
        case("one dimension", limit(10, 10), (4, 9), (1, 2), false, 0),
        case("zero limit", limit(10, 0), (0, 0), (1, 1), false, 0),
        case("zero need", limit(10, 0), (0, 0), (1, 0), true, 10),
        case("used above limit", limit(10, 10), (20, 0), (0, 1), false, 0),
        case("zero cap", cap(10, 0), (0, 99), (1, 1), true, 10),
        case("no cap", cap(0, 0), (7, 7), (1, 1), true, u32::MAX),
        case("no limit", unlimited, (7, 7), (9, 9), true, u32::MAX),
        case(
            "largest limit",
            limit(u32::MAX, 9),
            (u32::MAX, 0),
            (5, 3),
            true,
            3,
        ),
    ];
    for case in cases {
        let mut used = ResourceSum::default();
        used.add(amounts(case.used), 1);
        let amount = amounts(case.amount);
        assert_eq!(
            case.quota.admits(used, amount),
            case.admits,
            "{}",
            case.name
        );
        let copies = case.quota.copies_admitted(used, amount);
        assert_eq!(copies, case.copies, "{}", case.name);
    }
}

/// Guards against a sum that saturates and then frees more than was added.
#[test]
fn sums_beyond_one_amount_are_exact() {
    let huge = amounts((u32::MAX, 1));
    let mut sum = ResourceSum::default();
    sum.add(huge, 2);
    sum.subtract(huge);
    assert_eq!(sum.clamped(), huge);
    sum.subtract(huge);
    assert!(sum.is_zero());
}
