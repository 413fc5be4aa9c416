//! Simulated workers that run tasks of several kinds, and feed their progress to the estimates.

use std::time::{Duration, Instant};

use hs_evidence::{
    Evidence, KindKey, KindName, LearningOptions, ObservedRun, ObservedStep, ObservedWorker,
};

/// Interval of the reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// One task in this many runs longer by itself by [`LONG_FACTOR`].
const LONG_ONE_IN: u64 = 30;

const LONG_FACTOR: f64 = 7.0;

/// Kind of task in a simulation.
pub struct TestKind {
    pub name: &'static str,
    /// Length of a task in seconds on a worker of speed 1.
    pub length: f64,
    /// Number of tasks of a step.
    pub tasks: u16,
}

/// What a simulation runs.
pub struct Scenario {
    pub speeds: &'static [f64],
    pub kinds: &'static [TestKind],
    /// Kind that is slowed down, kind beside it, and the factor by which it takes longer.
    pub interference: &'static [(usize, usize, f64)],
    pub has_long_runs: bool,
    /// Number of tasks on a worker at a time.
    pub slots: usize,
}

struct SimRun {
    run: ObservedRun,
    kind: usize,
    work: f64,
    done: f64,
}

pub struct Cluster {
    pub evidence: Box<Evidence>,
    pub now: Instant,
    scenario: Scenario,
    workers: Vec<Vec<SimRun>>,
    waiting: Vec<SimRun>,
    jobs: u64,
    /// Number of runs that have ended.
    pub ended: u64,
    seed: u64,
}

pub fn image(name: &str) -> KindName {
    KindName::Image(name.into())
}

pub fn worker(number: usize) -> ObservedWorker {
    ObservedWorker(number as u64)
}

pub fn both_on() -> Box<Evidence> {
    Evidence::new(LearningOptions {
        learn_speeds: true,
        separate_interfering: true,
    })
    .expect("both switches are on")
}

impl Cluster {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let workers = scenario.speeds.iter().map(|_| Vec::new()).collect();
        Self {
            evidence: both_on(),
            now: Instant::now(),
            scenario,
            workers,
            waiting: Vec::new(),
            jobs: 0,
            ended: 0,
            seed,
        }
    }

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.seed;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound
    }

    pub fn key(&mut self, kind: usize) -> KindKey {
        let name = image(self.scenario.kinds[kind].name);
        self.evidence.kind(&name, self.now)
    }

    /// Returns whether a kind is known to be slowed down by another one.
    pub fn is_slowed(&mut self, kind: usize, beside: usize) -> bool {
        let (kind, beside) = (self.key(kind), self.key(beside));
        self.evidence.is_slowed_by(kind, beside)
    }

    /// Runs for a time, with all slots occupied by tasks of steps in random order.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.fill();
            self.now += REPORT_INTERVAL / 10;
            let is_report = self.random_below(10) == 0;
            for number in 0..self.workers.len() {
                self.work(number, is_report);
            }
        }
    }

    fn fill(&mut self) {
        for number in 0..self.workers.len() {
            while self.workers[number].len() < self.scenario.slots {
                if self.waiting.len() < 2 * self.workers.len() {
                    self.submit();
                    continue;
                }
                let at = self.random_below(self.waiting.len() as u64) as usize;
                let run = self.waiting.swap_remove(at);
                let kind = image(self.scenario.kinds[run.kind].name);
                let place = worker(number);
                self.evidence.run_placed(place, run.run, &kind, self.now);
                self.evidence.run_started(place, run.run, self.now);
                self.workers[number].push(run);
            }
        }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let kind = self.random_below(self.scenario.kinds.len() as u64) as usize;
        // The length of a step differs from that of others of its kind by up to half.
        let step_factor = 0.5 + self.random_below(1000) as f64 / 1000.0;
        for index in 0..self.scenario.kinds[kind].tasks {
            let own_factor = 0.85 + self.random_below(300) as f64 / 1000.0;
            let is_long = self.scenario.has_long_runs && self.random_below(LONG_ONE_IN) == 0;
            let long_factor = if is_long { LONG_FACTOR } else { 1.0 };
            let step = ObservedStep {
                job: self.jobs,
                occurrence: 0,
                step: 0,
            };
            self.waiting.push(SimRun {
                run: ObservedRun {
                    step,
                    index,
                    run: 1,
                },
                kind,
                work: self.scenario.kinds[kind].length * step_factor * own_factor * long_factor,
                done: 0.0,
            });
        }
    }

    fn work(&mut self, number: usize, is_report: bool) {
        let tick = (REPORT_INTERVAL / 10).as_secs_f64();
        let kinds: Vec<usize> = self.workers[number].iter().map(|run| run.kind).collect();
        for (at, run) in self.workers[number].iter_mut().enumerate() {
            let mut rate = self.scenario.speeds[number];
            for (kind, beside, factor) in self.scenario.interference {
                let mut others = kinds.iter().enumerate().filter(|(other, _)| *other != at);
                if run.kind == *kind && others.any(|(_, other)| other == beside) {
                    rate /= factor;
                }
            }
            run.done += rate * tick;
        }
        let (place, now) = (worker(number), self.now);
        let runs = std::mem::take(&mut self.workers[number]);
        for run in runs {
            if run.done >= run.work {
                self.ended += 1;
                self.evidence.run_done(place, run.run, now);
                continue;
            }
            if is_report {
                let percent = (run.done / run.work * 100.0) as u8;
                self.evidence.run_progressed(place, run.run, percent, now);
            }
            self.workers[number].push(run);
        }
    }
}
