//! Cost of a decision at the target cluster sizes: percentiles, and the ratio to the baseline mode
//! in the same run.
//!
//! One cycle ends a running task, submits work until the queue is full again and polls until there
//! are no more decisions.

mod bench_load;

use std::hint::black_box;
use std::time::{Duration, Instant};

use bench_load::{SeededNumbers, amount, cluster, percentile, policy, request};
use criterion::{BenchmarkId, Criterion};
use hs_core::{CustomerKey, Decision, Placer, PolicyMode, TaskEnd, WorkBand, WorkKey, WorkRequest};

/// Size of a scenario.
#[derive(Clone, Copy)]
struct Scale {
    name: &'static str,
    workers: usize,
    customers: usize,
    queued: usize,
    /// Maximum number of tasks that run at the same time; fewer if no more fit.
    running: usize,
    /// Factor on the CPU cores of each task: the large cluster runs few large tasks, the small one
    /// many small tasks.
    cores: u32,
}

const SMALL: Scale = Scale {
    name: "48 workers, 10000 queued",
    workers: 48,
    customers: 40,
    queued: 10_000,
    running: usize::MAX,
    cores: 1,
};

const LARGE: Scale = Scale {
    name: "3300 workers, 12000 running, 800 customers",
    workers: 3300,
    customers: 800,
    queued: 2000,
    running: 12_000,
    cores: 8,
};

/// A placer under constant load.
struct LoadedPlacer {
    placer: Placer,
    scale: Scale,
    customers: Vec<CustomerKey>,
    numbers: SeededNumbers,
    now: Instant,
    running: Vec<WorkKey>,
    /// Number of queued work items.
    queued_count: usize,
    /// Duration of each call of `poll`.
    polls: Vec<Duration>,
}

impl LoadedPlacer {
    fn new(scale: Scale, mode: PolicyMode) -> Self {
        // About 7,700 accelerators on 3,300 workers: eight on about 29 % of the workers.
        let accelerators = |index| if index % 7 < 2 { 8 } else { 0 };
        let workers = (0..scale.workers).map(|index| amount(64, 256, accelerators(index), 8, 64));
        let workers: Vec<_> = workers.collect();
        let (placer, now, _) = cluster(policy(mode, scale.customers), &workers);
        let customers = (0..scale.customers).map(|index| placer.customer(&format!("c{index}")));
        let mut loaded = Self {
            customers: customers.flatten().collect(),
            placer,
            scale,
            numbers: SeededNumbers::new(42),
            now,
            running: Vec::new(),
            queued_count: 0,
            polls: Vec::new(),
        };
        // Fills the workers and the queue, then runs cycles so that the sizes of the running tasks
        // mix.
        while loaded.running.len() < loaded.scale.running.min(30 * loaded.scale.workers)
            && loaded.queued_count < loaded.scale.queued
        {
            loaded.submit();
            loaded.poll();
        }
        while loaded.queued_count < loaded.scale.queued {
            loaded.submit();
        }
        loaded.cycle_until(loaded.scale.queued);
        loaded.polls.clear();
        loaded
    }

    fn request(&mut self) -> WorkRequest {
        let customer = self.numbers.below(self.customers.len() as u64) as usize;
        let cores = self.scale.cores;
        let (band, need, run_ms) = match self.numbers.below(20) {
            0 => (WorkBand::Urgent, amount(cores, 1, 0, 0, 1), 50),
            1..=7 => (WorkBand::Short, amount(cores, 1, 0, 0, 1), 50),
            8..=10 => (WorkBand::Short, amount(2 * cores, 4, 0, 0, 1), 100),
            11..=13 => (WorkBand::Normal, amount(cores, 4, 0, 1, 1), 200),
            14..=15 => (WorkBand::Normal, amount(3 * cores, 8, 0, 1, 1), 400),
            16..=17 => (WorkBand::Long, amount(4 * cores, 16, 0, 1, 0), 2000),
            18 => (WorkBand::Long, amount(4 * cores, 16, 2, 1, 0), 2000),
            _ => (WorkBand::Long, amount(7 * cores, 64, 0, 2, 0), 4000),
        };
        request(
            self.customers[customer],
            band,
            need,
            Duration::from_millis(run_ms),
        )
    }

    fn submit(&mut self) {
        let request = self.request();
        let result = self.placer.submit(black_box(request), self.now);
        self.queued_count += usize::from(result.is_ok());
    }

    fn poll(&mut self) -> usize {
        let mut placed = 0;
        loop {
            let start = Instant::now();
            let decision = black_box(self.placer.poll(self.now));
            self.polls.push(start.elapsed());
            match decision {
                Some(Decision::Place { work, .. }) => {
                    self.running.push(work);
                    self.queued_count -= 1;
                    placed += 1;
                }
                Some(_) => {}
                None => return placed,
            }
        }
    }

    /// Runs cycles until `decisions` work items were placed.
    fn cycle_until(&mut self, decisions: usize) {
        let mut placed = 0;
        while placed < decisions {
            self.now += Duration::from_millis(1);
            if let Some(last) = self.running.len().checked_sub(1) {
                let index = self.numbers.below(last as u64 + 1) as usize;
                let work = self.running.swap_remove(index);
                self.placer.finish(work, 0, TaskEnd::Done, self.now);
            }
            while self.queued_count < self.scale.queued {
                self.submit();
            }
            placed += self.poll();
        }
    }
}

/// Prints the percentiles of the duration of `poll` and the decisions per second. Returns the mean
/// time per decision, including the submission and the end of tasks.
fn report(scale: Scale, mode: PolicyMode, decisions: usize) -> Duration {
    let mut loaded = LoadedPlacer::new(scale, mode);
    let start = Instant::now();
    loaded.cycle_until(decisions);
    let mean = start.elapsed() / decisions as u32;
    let mut polls = std::mem::take(&mut loaded.polls);
    println!(
        "{:<44} {mode:>8?} {:>8} {:>9.1?} {:>9.1?} {:>9.1?} {:>9.1?} {:>10.0}",
        scale.name,
        loaded.running.len(),
        percentile(&mut polls, 50.0),
        percentile(&mut polls, 99.0),
        percentile(&mut polls, 99.9),
        percentile(&mut polls, 100.0),
        1.0 / mean.as_secs_f64(),
    );
    mean
}

fn main() {
    println!(
        "{:<44} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>10}",
        "poll", "mode", "running", "p50", "p99", "p99.9", "max", "decision/s"
    );
    for scale in [SMALL, LARGE] {
        let fair = report(scale, PolicyMode::Fair, 100_000);
        let baseline = report(scale, PolicyMode::Baseline, 100_000);
        let ratio = fair.as_secs_f64() / baseline.as_secs_f64();
        println!("    cost of a decision, Fair to Baseline: {ratio:.2}");
    }
    let sizes = [
        ("330 workers", 330),
        ("3300 workers", 3300),
        ("33000 workers", 33_000),
    ];
    let costs = sizes.map(|(name, workers)| {
        let growth = Scale {
            name,
            workers,
            queued: 2000,
            running: 12_000 * workers / 3300,
            ..LARGE
        };
        report(growth, PolicyMode::Fair, 20_000)
    });
    let growth = costs.map(|cost| cost.as_secs_f64() / costs[0].as_secs_f64());
    println!("    growth of the cost with ten and a hundred times the workers: {growth:.2?}");

    let mut criterion = Criterion::default()
        .sample_size(20)
        .measurement_time(Duration::from_secs(3))
        .configure_from_args();
    let mut group = criterion.benchmark_group("decision");
    for scale in [SMALL, LARGE] {
        for mode in [PolicyMode::Fair, PolicyMode::Baseline] {
            let mut loaded = LoadedPlacer::new(scale, mode);
            let id = BenchmarkId::new(scale.name, format!("{mode:?}"));
            group.bench_function(id, |bencher| {
                bencher.iter_custom(|decisions| {
                    loaded.polls.clear();
                    let start = Instant::now();
                    loaded.cycle_until(decisions as usize);
                    start.elapsed()
                });
            });
        }
    }
    group.finish();
    criterion.final_summary();
}
