//! The memory of the estimates is bounded, whatever is observed.

use std::time::{Duration, Instant};

use hs_evidence::{
    KindKey, MAX_KINDS, MAX_OBSERVED_STEPS, MAX_PAIRS, MAX_RUNS_PER_WORKER, MAX_WORKERS,
    Observation, ObservedRun, ObservedStep, ObservedWorker,
};
use quickcheck::{QuickCheck, TestResult};
use smallvec::smallvec;

use crate::cluster::{both_on, image};

fn run(job: u64, index: u16) -> ObservedRun {
    let step = ObservedStep {
        job,
        occurrence: 0,
        step: 0,
    };
    ObservedRun {
        step,
        index,
        run: 1,
    }
}

/// Guards against memory that grows with the number of kinds, pairs, steps or workers.
#[test]
fn all_tables_are_bounded() {
    let mut evidence = both_on();
    let mut now = Instant::now();
    let kinds: Vec<KindKey> = (0..MAX_KINDS + 100)
        .map(|number| evidence.kind(&image(&number.to_string()), now))
        .collect();
    for number in 0..30_000_u64 {
        now += Duration::from_micros(10);
        let kind = |offset: u64| kinds[100 + (number / 8 * 7 + offset) as usize % MAX_KINDS];
        let beside = if number % 2 == 0 {
            smallvec![(kind(1 + number / 64), 1.0)]
        } else {
            smallvec![]
        };
        let observation = Observation {
            worker: ObservedWorker((number + number / 8) % 8),
            run: run(number / 8, (number % 8) as u16),
            kind: kind(0),
            progress: 100,
            time: Duration::from_secs(1),
            beside,
        };
        evidence.observe(observation, now);
        let counts = evidence.counts();
        assert!(counts.pairs <= MAX_PAIRS);
        assert!(counts.steps <= MAX_OBSERVED_STEPS);
    }
    assert!(evidence.counts().pairs > MAX_PAIRS / 2);
    for number in 0..3 * (MAX_WORKERS as u64 + 500) {
        let observation = Observation {
            worker: ObservedWorker(1_000_000 + number),
            run: run(number / 3, (number % 3) as u16),
            kind: kinds[200],
            progress: 100,
            time: Duration::from_secs(1),
            beside: smallvec![],
        };
        evidence.observe(observation, now);
        assert!(evidence.counts().workers <= MAX_WORKERS);
    }
    assert_eq!(evidence.counts().kinds, MAX_KINDS);
}

/// Guards against runs that are never dropped.
#[test]
fn runs_of_a_worker_are_bounded() {
    let mut evidence = both_on();
    let now = Instant::now();
    let worker = ObservedWorker(1);
    for job in 0..1000 {
        evidence.run_placed(worker, run(job, 0), &image("a"), now);
    }
    assert_eq!(evidence.counts().runs, MAX_RUNS_PER_WORKER);
    let later = now + Duration::from_secs(1);
    evidence.runs_listed(worker, |_| false, later, later);
    assert_eq!(evidence.counts().runs, 0);
}

/// Guards against estimates that leave their range or lose their bounds on any sequence of observations.
#[test]
fn any_observations_keep_the_estimates_finite() {
    fn holds(observations: Vec<(u8, u8, u8, u8, u32, u16)>) -> TestResult {
        let mut evidence = both_on();
        let mut now = Instant::now();
        for (worker, job, kind, beside, millis, pause) in observations {
            now += Duration::from_millis(u64::from(pause));
            let kind = evidence.kind(&image(&(kind % 5).to_string()), now);
            let other = evidence.kind(&image(&(beside % 5).to_string()), now);
            let observation = Observation {
                worker: ObservedWorker(u64::from(worker % 9)),
                run: run(u64::from(job % 3), u16::from(worker)),
                kind,
                progress: worker % 101,
                time: Duration::from_millis(u64::from(millis % 100_000)),
                beside: smallvec![(other, f64::from(beside) / 255.0)],
            };
            evidence.observe(observation, now);
            for worker in 0..9 {
                if let Some(speed) = evidence.speed(ObservedWorker(worker), now)
                    && !(speed.is_finite() && speed > 0.0)
                {
                    return TestResult::error(format!("speed {speed}"));
                }
            }
        }
        let counts = evidence.counts();
        TestResult::from_bool(counts.pairs <= 25 && counts.workers <= 9 && counts.steps <= 3)
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<(u8, u8, u8, u8, u32, u16)>) -> TestResult);
}
