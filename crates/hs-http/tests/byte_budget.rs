//! Decisions of the budget for what has arrived and is not handled yet.

use std::time::{Duration, Instant};

use hs_http::byte_budget::{ByteBudget, Grant, HolderKind, SMALL_BODY_BYTES};

const KIB: usize = 1 << 10;

/// Capacity of the budgets, an eighth of which is for small bodies.
const CAPACITY: usize = 1024 * KIB;

/// A request that already holds bytes.
struct Held {
    kibibytes: usize,
    age_ms: u64,
}

struct BudgetCase {
    name: &'static str,
    held: Vec<Held>,
    asks: HolderKind,
    kibibytes: usize,
    /// Positions of the requests that are closed, or `None` if the asking one is refused.
    closed: Option<Vec<usize>>,
}

const fn held(kibibytes: usize, age_ms: u64) -> Held {
    Held { kibibytes, age_ms }
}

/// Guards against crowds that keep others out, large bodies that take the part of small ones, and requests that are
/// closed for one that is larger and slower.
#[test]
fn the_slowest_and_largest_bodies_make_room() {
    let cases = [
        BudgetCase {
            name: "there is room",
            held: vec![held(256, 1000)],
            asks: HolderKind::Request,
            kibibytes: 256,
            closed: Some(vec![]),
        },
        BudgetCase {
            name: "of equal bodies, the slowest is closed",
            held: vec![held(256, 10), held(256, 1000), held(256, 100)],
            asks: HolderKind::Request,
            kibibytes: 256,
            closed: Some(vec![1]),
        },
        BudgetCase {
            name: "of bodies of the same age, the largest is closed",
            held: vec![held(128, 1000), held(512, 1000), held(256, 1000)],
            asks: HolderKind::Request,
            kibibytes: 128,
            closed: Some(vec![1]),
        },
        BudgetCase {
            name: "several are closed if one does not suffice",
            held: vec![held(224, 1000), held(224, 900), held(448, 800)],
            asks: HolderKind::Request,
            kibibytes: 512,
            closed: Some(vec![2, 0]),
        },
        BudgetCase {
            name: "large bodies leave the reserve to small ones",
            held: vec![held(880, 1000)],
            asks: HolderKind::Request,
            kibibytes: 32,
            closed: Some(vec![0]),
        },
        BudgetCase {
            name: "nothing is closed for a body that would not fit either",
            held: vec![held(896, 0)],
            asks: HolderKind::Request,
            kibibytes: 1024,
            closed: None,
        },
        BudgetCase {
            name: "a small body takes the reserve",
            held: vec![held(896, 1000)],
            asks: HolderKind::Request,
            kibibytes: SMALL_BODY_BYTES / KIB,
            closed: Some(vec![]),
        },
        BudgetCase {
            name: "the oldest reply takes what it needs",
            held: vec![held(448, 1000), held(448, 10)],
            asks: HolderKind::Reply,
            kibibytes: 256,
            closed: Some(vec![]),
        },
    ];
    for case in cases {
        let now = Instant::now() + Duration::from_secs(60);
        let mut budget = ByteBudget::new(CAPACITY);
        let holders = case.held.iter().map(|held| {
            let since = now - Duration::from_millis(held.age_ms);
            let id = budget.add(HolderKind::Request, since);
            let grant = budget.take(id, held.kibibytes * KIB, since);
            assert_eq!(grant, Grant::Granted, "{}", case.name);
            id
        });
        let holders: Vec<_> = holders.collect();
        let id = budget.add(case.asks, now);
        let grant = budget.take(id, case.kibibytes * KIB, now);
        let expected = match case.closed {
            None => Grant::Refused,
            Some(closed) if closed.is_empty() => Grant::Granted,
            Some(closed) => Grant::Wait(closed.iter().map(|place| holders[*place]).collect()),
        };
        assert_eq!(grant, expected, "{}", case.name);
    }
}

/// Guards against bytes that stay counted, and against a holder that waits for ever for bytes that were released.
#[test]
fn released_bytes_can_be_taken_again() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut budget = ByteBudget::new(CAPACITY);
    let slow = budget.add(HolderKind::Request, now);
    assert_eq!(budget.take(slow, 800 * KIB, now), Grant::Granted);
    let other = budget.add(HolderKind::Request, later);
    assert_eq!(
        budget.take(other, 200 * KIB, later),
        Grant::Wait(vec![slow])
    );
    assert_eq!(
        budget.take(other, 200 * KIB, later),
        Grant::Wait(Vec::new())
    );
    assert_eq!(budget.take(slow, KIB, later), Grant::Refused);
    assert!(!budget.complete(slow), "a closing body is not handled");
    budget.remove(slow);
    assert_eq!(budget.take(other, 200 * KIB, later), Grant::Granted);
    budget.remove(other);
    assert_eq!(budget.used(), 0);
}

/// Guards against bodies that are dropped while their request is handled.
#[test]
fn complete_bodies_are_not_closed() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut budget = ByteBudget::new(CAPACITY);
    let handled = budget.add(HolderKind::Request, now);
    assert_eq!(budget.take(handled, 800 * KIB, now), Grant::Granted);
    assert!(
        budget.complete(handled),
        "it is complete for the first time"
    );
    let other = budget.add(HolderKind::Request, later);
    assert_eq!(budget.take(other, 200 * KIB, later), Grant::Refused);
    assert_eq!(budget.add_connection(512 * KIB, later), []);
}

/// Guards against replies that wait for each other for ever, each with a part of its bytes.
#[test]
fn the_oldest_reply_never_waits() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(CAPACITY);
    let replies = [0, 1].map(|_| budget.add(HolderKind::Reply, now));
    for reply in replies {
        assert_eq!(budget.take(reply, 500 * KIB, now), Grant::Granted);
    }
    let [first, second] = replies;
    assert_eq!(budget.take(second, 100 * KIB, now), Grant::Wait(Vec::new()));
    assert_eq!(budget.take(first, 100 * KIB, now), Grant::Granted);
    budget.remove(first);
    assert_eq!(budget.take(second, 600 * KIB, now), Grant::Granted);
}

/// Guards against connections that together take the memory of bodies without any body being closed for them.
#[test]
fn connections_make_bodies_close() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(CAPACITY);
    let body = budget.add(HolderKind::Request, now);
    assert_eq!(budget.take(body, 800 * KIB, now), Grant::Granted);
    assert_eq!(budget.add_connection(200 * KIB, now), []);
    assert_eq!(budget.add_connection(200 * KIB, now), [body]);
    assert_eq!(budget.add_connection(200 * KIB, now), []);
    budget.remove(body);
    budget.remove_connection(600 * KIB);
    assert_eq!(budget.used(), 0);
}
