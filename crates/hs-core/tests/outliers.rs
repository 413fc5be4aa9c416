//! Ejection of failing workers, and straggler detection.

mod common;

use std::time::{Duration, Instant};

use common::{amount, policy, request, worker};
use hs_core::{CustomerKey, Decision, Placer, TaskEnd, WorkBand, WorkerState};

fn single_worker() -> (Placer, CustomerKey, Instant) {
    let now = Instant::now();
    let mut placer = Placer::new(policy(1), now);
    placer.add_worker(worker(0, 0, amount(64, 64)), now);
    let customer = placer.customer("c0").expect("a known customer");
    (placer, customer, now)
}

/// Guards against too few usable workers after others left: the limit on ejections follows the
/// number of workers.
#[test]
fn ejection_limit_follows_the_worker_count() {
    let now = Instant::now();
    let mut placer = Placer::new(policy(1), now);
    let add = |index| placer.add_worker(worker(index, 0, amount(1, 1)), now);
    let keys: Vec<_> = (0..10).map(add).collect();
    let customer = placer.customer("c0").unwrap();
    for key in &keys[..3] {
        for _ in 0..5 {
            let request = request(customer, WorkBand::Short, amount(1, 1));
            let work = placer.adopt(*key, request, now);
            placer.finish(work, 0, TaskEnd::Failed, now);
        }
    }
    let ejected = std::iter::from_fn(|| placer.poll(now)).count();
    assert_eq!(ejected, 3);
    for key in &keys[4..] {
        placer.set_worker_state(*key, WorkerState::Draining, now);
    }
    let decisions = std::iter::from_fn(|| placer.poll(now));
    let readmitted = decisions.filter(|decision| matches!(decision, Decision::Readmit { .. }));
    assert_eq!(readmitted.count(), 2);
}

struct EjectCase {
    name: &'static str,
    workers: usize,
    /// Number of workers, from the first, whose tasks all fail.
    failing: usize,
    max_ejected: usize,
}

/// Guards against workers that keep getting work although their tasks fail, and against ejecting so
/// many workers that the others are overloaded.
#[test]
fn failing_workers_are_ejected_up_to_the_limit() {
    let case = |name, workers, failing, max_ejected| EjectCase {
        name,
        workers,
        failing,
        max_ejected,
    };
    let cases = [
        case("none fails", 10, 0, 0),
        case("one fails", 10, 1, 1),
        case("half fail", 10, 5, 3),
        case("all fail", 10, 10, 3),
        case("the only one fails", 1, 1, 1),
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut placer = Placer::new(policy(1), now);
        let keys: Vec<_> = (0..case.workers)
            .map(|index| placer.add_worker(worker(index, 0, amount(1, 1)), now))
            .collect();
        let customer = placer.customer("c0").unwrap();
        let (mut ejected, mut max_ejected, mut failed) = (Vec::new(), 0, 0);
        for _ in 0..400 {
            for _ in 0..case.workers {
                let request = request(customer, WorkBand::Short, amount(1, 1));
                placer.submit(request, now).unwrap();
            }
            let decisions: Vec<_> = std::iter::from_fn(|| placer.poll(now)).collect();
            for decision in decisions {
                match decision {
                    Decision::Place { work, workers, .. } => {
                        let fails = keys[..case.failing].contains(&workers[0]);
                        let end = if fails {
                            TaskEnd::Failed
                        } else {
                            TaskEnd::Done
                        };
                        failed += usize::from(fails);
                        placer.finish(work, 0, end, now);
                    }
                    Decision::Eject { worker, .. } if !ejected.contains(&worker) => {
                        ejected.push(worker)
                    }
                    Decision::Readmit { worker } => ejected.retain(|known| *known != worker),
                    _ => {}
                }
            }
            max_ejected = max_ejected.max(ejected.len());
            now += Duration::from_millis(10);
        }
        assert_eq!(max_ejected, case.max_ejected, "{}", case.name);
        // Five failures cause the ejection, then each probe adds one. Within the 4 s of the test
        // there is one probe, after 2 s; the next one would be at 6 s.
        let contained = case.failing > case.max_ejected || failed <= 6 * case.failing;
        assert!(contained, "{}: {failed} failed", case.name);
    }
}

/// Guards against an ejection time that does not grow, a worker that is never readmitted, and old
/// failures that count forever.
#[test]
fn ejection_time_doubles_and_a_passed_probe_readmits() {
    let (mut placer, customer, mut now) = single_worker();
    let mut pauses: Vec<u64> = Vec::new();
    let (mut placements, mut readmitted) = (0, false);
    for step in 0..20_000 {
        let is_healthy = (18_000..19_000).contains(&step);
        if placer.capacity_summary().queued < 4 {
            let request = request(customer, WorkBand::Short, amount(1, 1));
            placer.submit(request, now).unwrap();
        }
        while let Some(decision) = placer.poll(now) {
            match decision {
                Decision::Place { work, .. } => {
                    placements += 1;
                    let end = if is_healthy {
                        TaskEnd::Done
                    } else {
                        TaskEnd::Refused
                    };
                    placer.finish(work, 0, end, now);
                }
                Decision::Eject { pause, .. } => pauses.push(pause.as_secs()),
                Decision::Readmit { .. } => readmitted = true,
                Decision::Refuse { .. } => panic!("no deadline is set"),
            }
        }
        if step < 18_000 {
            assert!(placements <= 4 + pauses.len(), "one probe for each pause");
        }
        now += Duration::from_millis(10);
    }
    assert_eq!(pauses, [2, 4, 8, 16, 32, 60, 60, 2, 4, 8]);
    assert!(readmitted);
    assert!(placements > 20, "the worker is in full use again");
}

/// Guards against a probe that runs for hours and keeps a healthy worker out of service meanwhile.
#[test]
fn long_probe_passes() {
    let (mut placer, customer, mut now) = single_worker();
    for _ in 0..5 {
        let request = request(customer, WorkBand::Long, amount(1, 1));
        let Some(Decision::Place { work, .. }) = placer.place_now(request, now) else {
            panic!("the task fits");
        };
        placer.finish(work, 0, TaskEnd::Failed, now);
    }
    assert!(matches!(placer.poll(now), Some(Decision::Eject { .. })));
    for _ in 0..2 {
        placer
            .submit(request(customer, WorkBand::Long, amount(1, 1)), now)
            .unwrap();
    }
    let mut seen = Vec::new();
    while let Some(wake) = placer.next_wake() {
        now = now.max(wake);
        while let Some(decision) = placer.poll(now) {
            seen.push(decision);
        }
        if seen.len() >= 3 {
            break;
        }
    }
    let (place, readmit) = (
        |index: usize| matches!(seen[index], Decision::Place { .. }),
        &seen[1],
    );
    assert!(
        place(0) && place(2) && matches!(readmit, Decision::Readmit { .. }),
        "{seen:?}"
    );
}

/// Guards against stragglers that are not reported or reported twice, and against reports of tasks
/// whose run time is within the normal spread.
#[test]
fn stragglers_are_reported_once() {
    let (mut placer, customer, mut now) = single_worker();
    let mut place =
        |now| match placer.place_now(request(customer, WorkBand::Long, amount(1, 1)), now) {
            Some(Decision::Place { work, .. }) => work,
            other => panic!("{other:?}"),
        };
    let slow = place(now);
    let works: Vec<_> = (0..20).map(|_| place(now)).collect();
    for (index, work) in works.into_iter().enumerate() {
        now += Duration::from_millis(10);
        assert!(placer.take_stragglers(now).is_empty(), "{index}");
        placer.finish(work, 0, TaskEnd::Done, now);
    }
    now += Duration::from_millis(350);
    assert!(placer.take_stragglers(now).is_empty(), "below the limit");
    now += Duration::from_millis(50);
    let found = placer.take_stragglers(now);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].work, slow);
    assert_eq!(found[0].p95, Duration::from_millis(190));
    assert!(placer.take_stragglers(now).is_empty(), "reported once");
}
