//! Cost of ownership decisions, heartbeats, ticks, the retry budget and the circuit breaker.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use hs_peer::message::{HeartbeatRequest, Resources};
use hs_peer::{BreakerOptions, CircuitBreaker, MemberOptions, Membership, RetryBudget};
use hs_wire::{VmEntry, VmList, VmRole, VmState};

/// Numbers of members: the current deployment size, and one above the planned scale.
const MEMBER_COUNTS: [usize; 2] = [7, 200];
const WORKER_COUNT: usize = 3_300;
const PARTITION_COUNT: u32 = 4;

fn entry_name(number: usize) -> String {
    format!("entry-{number}")
}

fn heartbeat(number: usize) -> HeartbeatRequest {
    HeartbeatRequest {
        id: entry_name(number),
        data_centre: "a".to_owned(),
        address: format!("10.0.0.{number}:9000"),
        incarnation: 1,
        free: Some(Resources {
            slots: 8,
            connections: 64,
            ..Resources::default()
        }),
        queued: 3,
        manifest_revision: 17,
        vm_list_version: 1,
        leaving: false,
    }
}

/// Builds a membership with `size` live members in one data centre.
fn membership(size: usize, now: Instant) -> Membership {
    let options = MemberOptions {
        id: entry_name(0),
        data_centre: "a".to_owned(),
        address: "10.0.0.0:9000".to_owned(),
        ..MemberOptions::default()
    };
    let vm = |number| VmEntry {
        id: entry_name(number),
        addr: format!("10.0.0.{number}:9000"),
        data_centre: "a".to_owned(),
        rack: String::new(),
        role: VmRole::Entry,
        state: VmState::Live,
        capacity: hs_wire::Resources::ZERO,
    };
    let mut membership = Membership::new(options, now);
    let vms = (0..size).map(vm).collect();
    membership.set_vm_list(
        &VmList {
            version: 1,
            vms,
            ..VmList::default()
        },
        now,
    );
    for number in 1..size {
        membership.handle_heartbeat(&heartbeat(number), now);
    }
    assert_eq!(membership.live_peers().count(), size - 1);
    membership
}

fn ownership(criterion: &mut Criterion) {
    let workers: Vec<_> = (0..WORKER_COUNT).map(|n| format!("worker-{n}")).collect();
    let membership = membership(MEMBER_COUNTS[0], Instant::now());
    criterion.bench_function("preferred_owner/3300_workers_7_members", |bencher| {
        bencher.iter(|| {
            let owners = workers
                .iter()
                .map(|worker| membership.preferred_owner(black_box(worker)));
            owners.flatten().filter(|owner| owner.is_self).count()
        });
    });
    criterion.bench_function("candidates/4_partitions_7_members", |bencher| {
        bencher.iter(|| {
            let candidates =
                (0..PARTITION_COUNT).map(|n| membership.candidates(black_box(n)).len());
            candidates.sum::<usize>()
        });
    });
}

fn liveness(criterion: &mut Criterion) {
    for size in MEMBER_COUNTS {
        let mut now = Instant::now();
        let mut state = membership(size, now);
        let heartbeats: Vec<_> = (1..size).map(heartbeat).collect();
        let mut next = 0;
        criterion.bench_function(&format!("heard/{size}_members"), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % heartbeats.len();
                state
                    .handle_heartbeat(black_box(&heartbeats[next]), now)
                    .len()
            });
        });
        criterion.bench_function(&format!("tick/{size}_members"), |bencher| {
            bencher.iter(|| {
                // The total stays far below the timeout, so all members stay live.
                now += Duration::from_nanos(1);
                state.tick(black_box(now)).len()
            });
        });
        assert_eq!(state.live_peers().count(), size - 1);
        let mut flapping = membership(size, now);
        let last = heartbeats.last().expect("at least one peer").clone();
        let leaving = HeartbeatRequest {
            leaving: true,
            ..last.clone()
        };
        let mut incarnation = 1;
        criterion.bench_function(&format!("leave_and_join/{size}_members"), |bencher| {
            let mut heartbeats = [leaving.clone(), last.clone()];
            bencher.iter(|| {
                heartbeats[0].incarnation = incarnation;
                incarnation += 1;
                heartbeats[1].incarnation = incarnation;
                let events = heartbeats
                    .each_ref()
                    .map(|heartbeat| flapping.handle_heartbeat(heartbeat, now).len());
                assert_eq!(events, [1, 1]);
            });
        });
    }
}

/// Measures the calls of the retry budget and the circuit breaker that each request makes.
fn links(criterion: &mut Criterion) {
    let mut now = Instant::now();
    let mut budget = RetryBudget::new(now);
    criterion.bench_function("retry_budget/request_and_try_retry", |bencher| {
        bencher.iter(|| {
            now += Duration::from_micros(100);
            budget.record_request(now);
            budget.try_retry(now)
        });
    });
    criterion.bench_function("retry_budget/after_a_break_of_5_s", |bencher| {
        bencher.iter(|| {
            now += Duration::from_secs(5);
            budget.try_retry(now)
        });
    });
    let mut breaker = CircuitBreaker::new(BreakerOptions::default());
    criterion.bench_function("circuit_breaker/admit_and_succeed", |bencher| {
        bencher.iter(|| {
            let permit = breaker.admit(black_box(now));
            permit
                .into_iter()
                .for_each(|permit| breaker.record_success(permit));
        });
    });
}

criterion_group!(benches, ownership, liveness, links);
criterion_main!(benches);
