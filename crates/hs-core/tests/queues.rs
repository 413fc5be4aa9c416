//! Fairness between customers, bands, reserved capacity, deadlines, cancellation and `place_now`.

mod common;

use std::time::{Duration, Instant};

use common::{amount, policy, request, worker};
use hs_core::{
    CustomerPolicy, Decision, Placer, PlacerPolicy, PolicyMode, TaskEnd, WorkBand, WorkKey,
    WorkRequest,
};
use hs_wire::{NotRunReason, Resources};

const MS: Duration = Duration::from_millis(1);

fn build(policy: PlacerPolicy, workers: usize, capacity: Resources) -> (Placer, Instant) {
    let now = Instant::now();
    let mut placer = Placer::new(policy, now);
    for index in 0..workers {
        placer.add_worker(worker(index, 0, capacity), now);
    }
    (placer, now)
}

fn submit(placer: &mut Placer, now: Instant, mut request: WorkRequest, tag: u64) -> WorkKey {
    request.tag = tag;
    placer.submit(request, now).expect("admitted")
}

fn poll_tags(placer: &mut Placer, now: Instant) -> Vec<(u64, WorkKey)> {
    let decisions = std::iter::from_fn(|| placer.poll(now));
    let placed = decisions.filter_map(|decision| match decision {
        Decision::Place { work, tag, .. } => Some((tag, work)),
        _ => None,
    });
    placed.collect()
}

/// Guards against a burst of one customer that delays the others: with ten times as much work as
/// the others, it gets no more than its share by weight.
#[test]
fn burst_gets_its_share_only() {
    for (weight, share) in [(1, 25), (3, 50)] {
        let mut policy = policy(4);
        policy.customers[0].weight = weight;
        let (mut placer, now) = build(policy, 1, amount(1, 1));
        for tag in 0..4u64 {
            let customer = placer.customer(&format!("c{tag}")).unwrap();
            let mut request = request(customer, WorkBand::Short, amount(1, 1));
            request.tag = tag;
            for _ in 0..if tag == 0 { 1000 } else { 100 } {
                placer.submit(request.clone(), now).unwrap();
            }
        }
        let mut of_burst = 0;
        for _ in 0..100 {
            let (tag, work) = poll_tags(&mut placer, now)[0];
            of_burst += usize::from(tag == 0);
            placer.finish(work, 0, TaskEnd::Done, now);
        }
        assert!(of_burst.abs_diff(share) <= 1, "weight {weight}: {of_burst}");
    }
}

/// Guards against a burst that takes all capacity, so that each check of the others has to wait for
/// a task to end, and against capacity that stays free although no other customer has work.
#[test]
fn burst_leaves_a_margin() {
    for (others, expected) in [(false, 256), (true, 239)] {
        let (mut placer, now) = build(policy(2), 16, amount(16, 16));
        let customers = ["c0", "c1"].map(|name| placer.customer(name).unwrap());
        let check = |index| request(customers[index], WorkBand::Short, amount(1, 1));
        if others {
            assert!(placer.place_now(check(1), now).is_some());
        }
        for _ in 0..1000 {
            placer.submit(check(0), now).unwrap();
        }
        let placed = poll_tags(&mut placer, now);
        assert_eq!(placed.len(), expected, "others: {others}");
        assert_eq!(placer.place_now(check(0), now), None);
        if others {
            let now_placed = (0..20).filter(|_| placer.place_now(check(1), now).is_some());
            assert_eq!(now_placed.count(), 16);
        }
        // The burst continues as its own tasks end.
        for (_, work) in &placed[..100] {
            placer.finish(*work, 0, TaskEnd::Done, now);
        }
        let again = poll_tags(&mut placer, now).len();
        assert_eq!(again, if others { 84 } else { 100 });
    }
}

/// Guards against a customer that accumulates credit while its work does not fit, and then delays
/// all others.
#[test]
fn waiting_earns_no_credit() {
    let (mut placer, now) = build(policy(2), 1, amount(8, 8));
    let customers = ["c0", "c1"].map(|name| placer.customer(name).unwrap());
    let blocker = request(customers[1], WorkBand::Short, amount(1, 1));
    placer.submit(blocker, now).unwrap();
    placer.poll(now);
    // The first customer's large task waits while the second one is served many times.
    let large = request(customers[0], WorkBand::Short, amount(8, 8));
    let large = placer.submit(large, now).unwrap();
    for _ in 0..500 {
        let small = request(customers[1], WorkBand::Short, amount(7, 7));
        placer.submit(small, now).unwrap();
        let (_, work) = poll_tags(&mut placer, now)[0];
        placer.finish(work, 0, TaskEnd::Done, now);
    }
    placer.cancel(large, now);
    for tag in 0..2u64 {
        for _ in 0..100 {
            let small = request(customers[tag as usize], WorkBand::Short, amount(7, 7));
            submit(&mut placer, now, small, tag);
        }
    }
    let mut counts = [0; 2];
    for _ in 0..40 {
        let (tag, work) = poll_tags(&mut placer, now)[0];
        counts[tag as usize] += 1;
        placer.finish(work, 0, TaskEnd::Done, now);
    }
    assert!(counts[1] >= 19, "{counts:?}");
}

/// Guards against short work that waits for long work: long work that uses all it may leaves the
/// short reserve free, and neither the queue nor the task limit of long work delays checks.
#[test]
fn short_work_passes_long_work() {
    let mut policy = policy(2);
    policy.short_reserve = amount(2, 2);
    policy.long_ceiling = Some(5);
    let (mut placer, now) = build(policy, 4, amount(8, 8));
    let customer = placer.customer("c0").unwrap();
    for tag in 0..100 {
        let long = request(customer, WorkBand::Long, amount(1, 1));
        submit(&mut placer, now, long, tag);
    }
    assert_eq!(poll_tags(&mut placer, now).len(), 20, "five on each worker");
    for _ in 0..12 {
        placer
            .submit(request(customer, WorkBand::Short, amount(1, 1)), now)
            .unwrap();
    }
    let placed = poll_tags(&mut placer, now).len();
    assert_eq!(placed, 12, "all the capacity that long work leaves");
}

struct HeadOfLineCase {
    name: &'static str,
    mode: PolicyMode,
    /// Customers of the large and the small task.
    customers: [usize; 2],
    placed: Vec<u64>,
}

/// Guards against head-of-line blocking, and against a baseline mode that avoids it, which would
/// make comparisons meaningless.
#[test]
fn large_head_blocks_only_the_baseline() {
    let case = |name, mode, customers, placed| HeadOfLineCase {
        name,
        mode,
        customers,
        placed,
    };
    let (fair, baseline) = (PolicyMode::Fair, PolicyMode::Baseline);
    let cases = [
        case("same customer", fair, [0, 0], vec![2]),
        case("other customer", fair, [0, 1], vec![2]),
        case("baseline", baseline, [0, 1], vec![]),
    ];
    for case in cases {
        let mut policy = policy(2);
        policy.mode = case.mode;
        let (mut placer, now) = build(policy, 1, amount(8, 8));
        let customers = ["c0", "c1"].map(|name| placer.customer(name).unwrap());
        placer
            .submit(request(customers[0], WorkBand::Normal, amount(4, 1)), now)
            .unwrap();
        placer.poll(now);
        for (tag, cores) in [(1, 8), (2, 1)] {
            let customer = customers[case.customers[tag as usize - 1]];
            let request = request(customer, WorkBand::Normal, amount(cores, 1));
            submit(&mut placer, now, request, tag);
        }
        let placed: Vec<_> = poll_tags(&mut placer, now)
            .into_iter()
            .map(|(tag, _)| tag)
            .collect();
        assert_eq!(placed, case.placed, "{}", case.name);
    }
}

/// Guards against a `place_now` that overtakes queued work which could start, or that yields to
/// queued work which could not.
#[test]
fn place_now_does_not_overtake() {
    let (mut placer, now) = build(policy(2), 1, amount(8, 8));
    let customers = ["c0", "c1"].map(|name| placer.customer(name).unwrap());
    let short = |cores| request(customers[1], WorkBand::Short, amount(cores, 1));
    placer
        .submit(request(customers[0], WorkBand::Long, amount(1, 1)), now)
        .unwrap();
    assert!(
        placer.place_now(short(1), now).is_some(),
        "lower band waits"
    );
    placer
        .submit(request(customers[0], WorkBand::Short, amount(1, 1)), now)
        .unwrap();
    assert_eq!(placer.place_now(short(1), now), None, "same band first");
    poll_tags(&mut placer, now);
    placer
        .submit(request(customers[0], WorkBand::Urgent, amount(8, 1)), now)
        .unwrap();
    assert!(
        placer.place_now(short(1), now).is_some(),
        "nothing else fits"
    );
    assert_eq!(placer.place_now(short(8), now), None, "does not fit");
    assert_eq!(
        placer.capacity_summary().queued,
        1,
        "place_now queues nothing"
    );
}

/// Guards against work that stays queued past its deadline or beyond the queue limit, a wrong
/// reason for a refusal, and a missing wake-up.
#[test]
fn refusals_carry_their_reason() {
    let mut policy = policy(2);
    policy.customers[0] = CustomerPolicy {
        queue_limit: 2,
        quota: Some(amount(4, 4)),
        ..policy.customers[0].clone()
    };
    let (mut placer, now) = build(policy, 1, amount(8, 8));
    let customers = ["c0", "c1"].map(|name| placer.customer(name).unwrap());
    let mut limited = request(customers[0], WorkBand::Short, amount(3, 1));
    limited.deadline = Some(now + 50 * MS);
    placer.submit(limited.clone(), now).unwrap();
    assert_eq!(poll_tags(&mut placer, now).len(), 1);
    placer.submit(limited.clone(), now).unwrap();
    placer.submit(limited.clone(), now).unwrap();
    let refused = placer.submit(limited, now);
    assert_eq!(refused, Err(NotRunReason::QueueFull));
    let mut other = request(customers[1], WorkBand::Short, amount(6, 1));
    other.deadline = Some(now + 80 * MS);
    placer.submit(other, now).unwrap();
    assert_eq!(placer.poll(now), None);
    for (at, expected) in [
        (50, vec![NotRunReason::QuotaExceeded; 2]),
        (80, vec![NotRunReason::DeadlinePassed]),
    ] {
        let now = now + at * MS;
        assert!(placer.next_wake().is_some_and(|wake| wake <= now));
        let decisions = std::iter::from_fn(|| placer.poll(now));
        let reasons: Vec<_> = decisions
            .map(|decision| match decision {
                Decision::Refuse { reason, .. } => reason,
                other => panic!("{other:?}"),
            })
            .collect();
        assert_eq!(reasons, expected, "{at} ms");
    }
    assert_eq!(placer.next_wake(), None);
}

/// Guards against a change of the policy mode that loses queued work or changes its order.
#[test]
fn mode_change_keeps_queued_work() {
    let (mut placer, now) = build(policy(1), 0, Resources::ZERO);
    let customer = placer.customer("c0").unwrap();
    for tag in 0..10 {
        let request = request(customer, WorkBand::Short, amount(1, 1));
        submit(&mut placer, now, request, tag);
    }
    let mut changed = policy(1);
    for mode in [PolicyMode::Baseline, PolicyMode::Fair] {
        changed.mode = mode;
        placer.apply_policy(changed.clone(), now);
    }
    placer.add_worker(worker(0, 0, amount(16, 16)), now);
    let tags = poll_tags(&mut placer, now).into_iter().map(|(tag, _)| tag);
    assert!(tags.eq(0..10));
}

struct FitCase {
    name: &'static str,
    /// Cores and slots in use on each worker of 16 cores and 16 slots.
    held: [(u32, u32); 3],
    expected: usize,
}

/// Guards against a choice by a single resource dimension, or one that fragments large free
/// capacity.
#[test]
fn best_fit_counts_every_dimension() {
    let case = |name, held, expected| FitCase {
        name,
        held,
        expected,
    };
    let cases = [
        case("fullest by cores", [(1, 1), (12, 1), (4, 1)], 1),
        case("fullest by slots", [(1, 12), (1, 1), (1, 4)], 0),
        case("fullest lacks one dimension", [(15, 1), (1, 1), (4, 1)], 2),
        case("sum decides in one level", [(8, 2), (8, 7), (8, 4)], 1),
    ];
    for case in cases {
        let now = Instant::now();
        let mut placer = Placer::new(policy(1), now);
        let customer = placer.customer("c0").unwrap();
        let keys = case.held.map(|(cores, slots)| {
            let key = placer.add_worker(worker(0, 0, amount(16, 16)), now);
            let held = request(customer, WorkBand::Short, amount(cores, slots));
            placer.adopt(key, held, now);
            key
        });
        let need = request(customer, WorkBand::Normal, amount(2, 1));
        let Some(Decision::Place { workers, .. }) = placer.place_now(need, now) else {
            panic!("{}", case.name);
        };
        assert_eq!(workers[0], keys[case.expected], "{}", case.name);
    }
}

/// Guards against a search that stops at the first workers that fit: as long as a used worker fits,
/// no idle worker is used.
#[test]
fn used_worker_is_preferred_to_idle_ones() {
    let (mut placer, now) = build(policy(1), 40, amount(16, 16));
    let customer = placer.customer("c0").unwrap();
    let used = placer.add_worker(worker(40, 0, amount(16, 16)), now);
    placer.adopt(used, request(customer, WorkBand::Short, amount(4, 4)), now);
    for _ in 0..12 {
        let check = request(customer, WorkBand::Short, amount(1, 1));
        let Some(Decision::Place { workers, .. }) = placer.place_now(check, now) else {
            panic!("the task fits");
        };
        assert_eq!(workers[0], used);
    }
}
