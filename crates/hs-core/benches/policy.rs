//! Wait times and utilization under `Fair` and `Baseline`, simulated with a virtual clock and the
//! same seed.

mod bench_load;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bench_load::{SeededNumbers, amount, cluster, percentile, policy, request};
use hs_core::{Decision, Placer, PolicyMode, TaskEnd, WorkBand, WorkKey, WorkRequest};
use hs_wire::Resources;

const SEED: u64 = 7;
const MODES: [PolicyMode; 2] = [PolicyMode::Fair, PolicyMode::Baseline];

/// Returns an exponentially distributed time.
fn exponential(numbers: &mut SeededNumbers, mean: Duration) -> Duration {
    let share = (numbers.below(1 << 31) as f64 + 1.0) / (1u64 << 31) as f64;
    mean.mul_f64(-share.ln())
}

/// Work with its arrival time and its real run time.
struct Arrival {
    at: Duration,
    run: Duration,
    request: WorkRequest,
}

/// Result of a simulation.
#[derive(Default)]
struct Outcome {
    /// Wait time of each work item by arrival index.
    waits: Vec<Option<Duration>>,
    /// Mean utilization of each resource dimension from `measure_from` to the end.
    used: [f64; 5],
}

/// Simulates a placer on arrivals sorted by time until `end`.
fn simulate(
    mut placer: Placer,
    start: Instant,
    mut arrivals: Vec<Arrival>,
    capacity: Resources,
    (measure_from, end): (Duration, Duration),
) -> Outcome {
    let mut outcome = Outcome {
        waits: vec![None; arrivals.len()],
        ..Outcome::default()
    };
    let mut ends: BinaryHeap<Reverse<(Duration, WorkKey, usize)>> = BinaryHeap::new();
    let (mut next, mut now) = (0, Duration::ZERO);
    let mut used = Resources::ZERO;
    loop {
        let arrival = arrivals.get(next).map(|arrival| arrival.at);
        let finish = ends.peek().map(|Reverse((at, ..))| *at);
        let wake = placer.next_wake().map(|wake| (wake - start).max(now));
        let Some(at) = [arrival, finish, wake].into_iter().flatten().min() else {
            break;
        };
        let (from, to) = (now.max(measure_from), at.min(end));
        let share = to.saturating_sub(from).as_secs_f64() / (end - measure_from).as_secs_f64();
        let pairs = used.dimensions().into_iter().zip(capacity.dimensions());
        for (sum, (used, total)) in outcome.used.iter_mut().zip(pairs) {
            *sum += share * f64::from(used) / f64::from(total.max(1));
        }
        now = at;
        if now >= end {
            break;
        }
        while let Some(Reverse((_, work, index))) =
            ends.peek().copied().filter(|top| top.0.0 <= now)
        {
            ends.pop();
            used = used.saturating_sub(arrivals[index].request.resources);
            placer.finish(work, 0, TaskEnd::Done, start + now);
        }
        while arrivals.get(next).is_some_and(|arrival| arrival.at <= now) {
            let request = &mut arrivals[next].request;
            request.tag = next as u64;
            let admitted = placer.submit(request.clone(), start + now);
            assert!(admitted.is_ok(), "{admitted:?}");
            next += 1;
        }
        while let Some(decision) = placer.poll(start + now) {
            if let Decision::Place {
                work, tag, waited, ..
            } = decision
            {
                let arrival = &arrivals[tag as usize];
                outcome.waits[tag as usize] = Some(waited);
                used = used.saturating_add(arrival.request.resources);
                ends.push(Reverse((now + arrival.run, work, tag as usize)));
            }
        }
    }
    // For work that is still queued, the wait until the end is a lower bound.
    for (wait, arrival) in outcome.waits.iter_mut().zip(&arrivals) {
        wait.get_or_insert(end.saturating_sub(arrival.at));
    }
    outcome
}

/// Returns the 50th and 99th percentile of the other customers' wait times during a burst of 5 s.
/// `load_percent` is the load without the burst, `factor` the increase of the bursting customer's
/// rate.
fn burst(mode: PolicyMode, load_percent: u32, factor: u32) -> [Duration; 2] {
    let capacities = [amount(64, 256, 0, 8, 64); 48];
    let (placer, start, total) = cluster(policy(mode, 10), &capacities);
    let mean = Duration::from_millis(40);
    // Ten customers share the load of 384 slots equally.
    let gap = mean * 10 * 100 / 384 / load_percent;
    let mut arrivals = Vec::new();
    let window = Duration::from_secs(5)..Duration::from_secs(10);
    for index in 0..10 {
        let mut numbers = SeededNumbers::new(SEED + index);
        let customer = placer.customer(&format!("c{index}")).expect("a customer");
        let mut at = Duration::ZERO;
        while at < Duration::from_secs(15) {
            let in_burst = index == 0 && window.contains(&at);
            at += exponential(&mut numbers, if in_burst { gap / factor } else { gap });
            // One task in a hundred is a straggler that runs ten times as long. The divisor 109
            // keeps the mean the same.
            let is_straggler = numbers.below(100) == 0;
            let factor = if is_straggler { 1000 } else { 100 };
            let run = exponential(&mut numbers, mean * factor / 109);
            let request = request(customer, WorkBand::Short, amount(1, 1, 0, 1, 1), mean);
            arrivals.push(Arrival { at, run, request });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    let first = placer.customer("c0").expect("a customer");
    let is_counted =
        |arrival: &Arrival| arrival.request.customer != first && window.contains(&arrival.at);
    let counted: Vec<bool> = arrivals.iter().map(is_counted).collect();
    let end = Duration::from_secs(40);
    let outcome = simulate(placer, start, arrivals, total, (Duration::ZERO, end));
    let waits = outcome.waits.into_iter().zip(counted);
    let mut waits: Vec<_> = waits
        .filter(|(_, is_counted)| *is_counted)
        .filter_map(|(wait, _)| wait)
        .collect();
    [50.0, 99.0].map(|percent| percentile(&mut waits, percent))
}

/// Returns the 50th and 99th percentile of the wait times of checks behind a backlog of long work,
/// and the longest run time of a check.
fn short_behind_long(mode: PolicyMode) -> ([Duration; 2], Duration) {
    let capacities = [amount(64, 128, 0, 8, 64); 48];
    let mut policy = policy(mode, 2);
    policy.short_reserve = amount(0, 0, 0, 2, 0);
    let (placer, start, total) = cluster(policy, &capacities);
    let customers = ["c0", "c1"].map(|name| placer.customer(name).expect("a customer"));
    let mut numbers = SeededNumbers::new(SEED);
    let (long, check) = (amount(8, 8, 0, 1, 0), amount(1, 1, 0, 1, 1));
    let mut arrivals = Vec::new();
    let mut push = |at: Duration, band, customer, need, run: Duration| {
        let request = request(customer, band, need, run);
        arrivals.push(Arrival { at, run, request });
    };
    for _ in 0..2000 {
        let run = Duration::from_millis(20_000 + numbers.below(40_000));
        push(Duration::ZERO, WorkBand::Long, customers[0], long, run);
    }
    let (mut at, mut longest) = (Duration::from_secs(1), Duration::ZERO);
    // The checks load 60 % of the 96 slots in the short reserve.
    while at < Duration::from_secs(60) {
        at += exponential(&mut numbers, Duration::from_micros(520));
        let run = exponential(&mut numbers, Duration::from_millis(30));
        longest = longest.max(run);
        push(at, WorkBand::Short, customers[1], check, run);
    }
    let end = Duration::from_secs(600);
    let outcome = simulate(placer, start, arrivals, total, (Duration::ZERO, end));
    let mut waits: Vec<_> = outcome.waits.into_iter().skip(2000).flatten().collect();
    (
        [50.0, 99.0].map(|percent| percentile(&mut waits, percent)),
        longest,
    )
}

/// Returns the mean utilization of each resource dimension while more work of mixed sizes is queued
/// than fits.
fn packing(mode: PolicyMode, accelerators: u32) -> [f64; 5] {
    let accelerators_of = |index| if index % 3 == 0 { accelerators } else { 0 };
    let capacities = (0..48).map(|index| amount(64, 256, accelerators_of(index), 8, 64));
    let capacities: Vec<_> = capacities.collect();
    let (placer, start, total) = cluster(policy(mode, 4), &capacities);
    let mut numbers = SeededNumbers::new(SEED);
    let (all_cores, all_gib) = (
        [4, 6, 8, 12, 16, 24, 32, 48],
        [8, 40, 16, 24, 96, 32, 48, 64],
    );
    let arrivals = (0..12_000).map(|index| {
        let size = numbers.below(8) as usize;
        let mut need = amount(all_cores[size], all_gib[size], 0, 1, 0);
        if accelerators > 0 && numbers.below(6) == 0 {
            need = amount(8, 16, 2, 1, 0);
        }
        let run = Duration::from_millis(500 + numbers.below(1500));
        let customer = placer.customer(&format!("c{}", index % 4));
        let customer = customer.expect("a customer");
        let request = request(customer, WorkBand::Long, need, run);
        Arrival {
            at: Duration::ZERO,
            run,
            request,
        }
    });
    let arrivals: Vec<_> = arrivals.collect();
    let window = (Duration::from_secs(5), Duration::from_secs(40));
    simulate(placer, start, arrivals, total, window).used
}

fn main() {
    println!("wait of the other customers, burst of one customer for 5 s");
    println!(
        "{:>9} {:>5} {:>6} {:>12} {:>12}",
        "mode", "load", "burst", "p50", "p99"
    );
    for (load, mode) in [70, 85, 90, 95]
        .into_iter()
        .flat_map(|load| MODES.map(|mode| (load, mode)))
    {
        for factor in [1, 10] {
            let [p50, p99] = burst(mode, load, factor);
            println!("{mode:>9?} {load:>4}% {factor:>5}x {p50:>12.2?} {p99:>12.2?}");
        }
    }
    println!("wait of checks behind long work");
    println!(
        "{:>9} {:>12} {:>12} {:>14}",
        "mode", "p50", "p99", "longest check"
    );
    for mode in MODES {
        let ([p50, p99], longest) = short_behind_long(mode);
        println!("{mode:>9?} {p50:>12.2?} {p99:>12.2?} {longest:>14.2?}");
    }
    println!("packing with mixed sizes, mean use in percent");
    println!(
        "{:>9} {:>13} {:>6} {:>7} {:>12} {:>6}",
        "mode", "accelerators", "cpu", "memory", "accelerators", "slots"
    );
    for (accelerators, mode) in [(0, MODES[0]), (0, MODES[1]), (4, MODES[0]), (4, MODES[1])] {
        let [cpu, memory, used, slots, _] = packing(mode, accelerators).map(|share| share * 100.0);
        println!(
            "{mode:>9?} {accelerators:>13} {cpu:>6.1} {memory:>7.1} {used:>12.1} {slots:>6.1}"
        );
    }
}
