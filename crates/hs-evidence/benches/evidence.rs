//! Cost of an observation, of a refresh and of a standing with 3,300 workers and full tables.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::Criterion;
use hs_evidence::{
    Evidence, KindKey, KindName, LearningOptions, Observation, ObservedRun, ObservedStep,
    ObservedWorker, TaskOutlook,
};
use smallvec::smallvec;

const WORKERS: u64 = 3300;

const KINDS: usize = 64;

/// Number of observations before a measurement, which fill all tables.
const WARM_UP: u64 = 200_000;

const TASKS_PER_STEP: u64 = 16;

struct Load {
    evidence: Box<Evidence>,
    kinds: Vec<KindKey>,
    now: Instant,
    count: u64,
}

impl Load {
    fn new() -> Self {
        let options = LearningOptions {
            learn_speeds: true,
            separate_interfering: true,
        };
        let mut evidence = Evidence::new(options).expect("both switches are on");
        let now = Instant::now();
        let kinds = (0..KINDS).map(|number| evidence.kind(&name(number), now));
        let kinds = kinds.collect();
        let mut load = Self {
            evidence,
            kinds,
            now,
            count: 0,
        };
        for _ in 0..WARM_UP {
            let observation = load.next();
            load.evidence.observe(observation, load.now);
        }
        load
    }

    /// Returns the next observation: 16 tasks of a step on workers of two speeds, beside two of 64 kinds.
    fn next(&mut self) -> Observation {
        let count = self.count;
        self.count += 1;
        self.now += Duration::from_micros(800);
        let job = count / TASKS_PER_STEP;
        let worker = (count.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % WORKERS;
        let kind = |number: u64| self.kinds[number as usize % KINDS];
        let millis = if worker.is_multiple_of(3) { 600 } else { 1400 };
        Observation {
            worker: ObservedWorker(worker),
            run: ObservedRun {
                step: ObservedStep {
                    job,
                    occurrence: 0,
                    step: 0,
                },
                index: (count % TASKS_PER_STEP) as u16,
                run: 1,
            },
            kind: kind(job),
            progress: 100,
            time: Duration::from_millis(millis + count % 97),
            beside: smallvec![(kind(count * 7 + count / 64), 0.8), (kind(count * 11), 0.3)],
        }
    }
}

fn name(number: usize) -> KindName {
    KindName::Image(number.to_string().into())
}

fn observe(c: &mut Criterion) {
    let mut load = Load::new();
    println!("{:?}", load.evidence.counts());
    c.bench_function("observe", |b| {
        b.iter(|| {
            let observation = load.next();
            load.evidence.observe(observation, load.now);
        });
    });
}

fn refresh(c: &mut Criterion) {
    let mut load = Load::new();
    c.bench_function("refresh", |b| {
        b.iter(|| {
            load.now += Duration::from_millis(500);
            load.evidence.refresh(black_box(load.now));
        });
    });
}

fn standing(c: &mut Criterion) {
    let load = Load::new();
    let outlook = TaskOutlook {
        is_gang: true,
        ..TaskOutlook::default()
    };
    c.bench_function("standing", |b| {
        let preference = load.evidence.preference(&name(1), &outlook);
        let preference = preference.expect("the speeds of the workers differ");
        let mut number = 0;
        b.iter(|| {
            number = (number + 1) % WORKERS;
            preference.standing(black_box(ObservedWorker(number)))
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    observe(&mut criterion);
    refresh(&mut criterion);
    standing(&mut criterion);
    criterion.final_summary();
}
