//! Distribution of advice requests over processes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{AdviceCaller, AdviceQueue, AdviceRequest, AdviceSpec, JobClass, StepId};

use crate::fixture::id;

fn step(number: u64) -> StepId {
    StepId {
        job: id(number),
        occurrence: 0,
        step: 0,
    }
}

fn request(number: u64, base_ms: u64) -> AdviceRequest {
    AdviceRequest {
        step: step(number),
        workers: Vec::new(),
        spec: AdviceSpec {
            base_cost: Duration::from_millis(base_ms),
            cost_per_worker: Duration::from_millis(1),
            ticket_validity: Duration::from_secs(2),
        },
        class: JobClass::Owed,
        priority: 1,
        start_by: Instant::now(),
    }
}

fn workers(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| format!("w{number}").into())
        .collect()
}

fn peers(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| format!("peer{number}").into())
        .collect()
}

/// Guards against a request that counts as answered while some of its workers still wait for an idle process, so
/// that the step sends the next request and the waiting part is dropped.
#[test]
fn a_request_is_answered_after_its_last_part() {
    let mut queue = AdviceQueue::default();
    queue.enqueue(request(1, 300), workers(150));
    let first = queue.take_parts();
    assert_eq!(first.len(), 1, "one process sends one call at a time");
    assert!(
        !queue.part_ended(step(1), &first[0].caller),
        "50 workers wait"
    );
    let second = queue.take_parts();
    assert_eq!(first[0].workers.len() + second[0].workers.len(), 150);
    assert!(queue.part_ended(step(1), &second[0].caller));
}

/// Guards against short requests of urgent queues that wait behind long ones.
#[test]
fn long_requests_leave_processes_to_short_ones() {
    struct Case {
        name: &'static str,
        base_ms: u64,
        /// Number of processes that send requests of this duration at the same time, of six.
        callers: usize,
    }
    let cases = [
        Case {
            name: "short",
            base_ms: 10,
            callers: 6,
        },
        Case {
            name: "medium",
            base_ms: 200,
            callers: 5,
        },
        Case {
            name: "long",
            base_ms: 500,
            callers: 4,
        },
    ];
    for Case {
        name,
        base_ms,
        callers,
    } in cases
    {
        let mut queue = AdviceQueue::default();
        queue.set_peers(&peers(5));
        for number in 0..10 {
            queue.enqueue(request(number, base_ms), workers(5));
        }
        assert_eq!(queue.take_parts().len(), callers, "{name}");
    }
}

/// Guards against a process that left and returned, and stays busy with a call that was lost with it.
#[test]
fn a_process_that_returns_is_idle() {
    let mut queue = AdviceQueue::default();
    queue.set_peers(&peers(1));
    queue.enqueue(request(1, 10), workers(1));
    queue.enqueue(request(2, 10), workers(1));
    assert_eq!(queue.take_parts().len(), 2);
    queue.set_peers(&[]);
    queue.set_peers(&peers(1));
    queue.enqueue(request(3, 10), workers(1));
    let parts = queue.take_parts();
    assert_eq!(parts[0].caller, AdviceCaller::Peer("peer0".into()));
}

/// Guards against requests whose cost grows with the number of those that wait already, so that a backlog of
/// requests takes all the time of the owner.
#[test]
fn a_request_costs_the_same_behind_thousands_of_others() {
    const REQUESTS: u64 = 5000;
    /// A hundred times of what the requests take, and a twentieth of what they take if each visits all others.
    const MAX_TIME: Duration = Duration::from_secs(3);
    let mut queue = AdviceQueue::default();
    queue.set_peers(&peers(146));
    let begun = Instant::now();
    for number in 0..REQUESTS {
        queue.enqueue(request(number, 10), workers(8));
        queue.take_parts();
    }
    let time = begun.elapsed();
    assert!(time < MAX_TIME, "{time:?}");
}

/// Guards against a process that is gone and takes most requests, since its calls fail at once and it is idle again
/// before all others.
#[test]
fn a_process_whose_calls_fail_is_the_last_to_get_a_part() {
    let mut queue = AdviceQueue::default();
    queue.set_peers(&peers(2));
    let take = |queue: &mut AdviceQueue, number: u64| {
        queue.enqueue(request(number, 10), workers(5));
        queue.take_parts().remove(0).caller
    };
    let first = take(&mut queue, 1);
    assert!(queue.part_failed(step(1), &first));
    let others = [take(&mut queue, 2), take(&mut queue, 3)];
    assert!(!others.contains(&first), "{others:?}");
    assert_eq!(take(&mut queue, 4), first, "no other process is idle");
    assert!(queue.part_ended(step(4), &first));
    assert_eq!(take(&mut queue, 5), first, "its last call was answered");
}
