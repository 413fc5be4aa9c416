//! Speed of workers relative to all workers, and their speed classes.

use std::collections::HashMap;
use std::time::Instant;

use crate::ids::ObservedWorker;
use crate::robust_mean::{RobustMean, WeightedSample};

/// Maximum number of workers whose speed is known at a time.
pub const MAX_WORKERS: usize = 8192;

/// Weight that a speed keeps at most, so that it follows a worker that becomes faster or slower.
const MAX_WEIGHT: f64 = 8.0;

/// Weight from which a speed is used. One whole run has a weight of 1.
const MIN_WEIGHT: f64 = 3.0;

/// Standard error up to which a speed is used.
const MAX_ERROR: f64 = 0.16;

/// Largest difference, as a logarithm, by which one run moves a speed: a factor of 2.
const MAX_RESIDUAL: f64 = 0.7;

/// Factor to the median speed from which a worker becomes fast, and its inverse below which it becomes slow.
const CLASS_FACTOR: f64 = 1.2;

/// Factor at which a fast or a slow worker becomes usual again.
const CLASS_EXIT_FACTOR: f64 = 1.1;

/// Factor between the speeds of the fastest and the slowest class from which speeds decide anything.
const MIN_SPREAD: f64 = 1.5;

/// Factor below which speeds decide nothing any more.
const MIN_SPREAD_EXIT: f64 = 1.4;

/// Share of the workers of known speed up to which the fast ones count as scarce.
const SCARCE_SHARE: f64 = 0.5;

/// Speed of a worker compared with the median of all workers.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SpeedClass {
    /// Faster than the median by more than a fifth.
    Fast,
    /// Close to the median.
    Usual,
    /// Slower than the median by more than a fifth.
    Slow,
    /// Not known with confidence.
    #[default]
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct WorkerSpeed {
    log_speed: RobustMean,
    class: SpeedClass,
}

/// Estimated speeds of workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedTable {
    workers: HashMap<ObservedWorker, WorkerSpeed>,
    /// Whether the speeds differ enough to decide anything.
    is_spread: bool,
    are_fast_scarce: bool,
}

impl SpeedTable {
    /// Returns the logarithm of the speed as far as it is known, which is 0 for an unknown worker.
    pub(crate) fn log_speed(&self, worker: ObservedWorker) -> f64 {
        let speed = self.workers.get(&worker);
        speed.map_or(0.0, |speed| speed.log_speed.value())
    }

    pub(crate) fn is_known(&self, worker: ObservedWorker, now: Instant) -> bool {
        let speed = self.workers.get(&worker);
        speed.is_some_and(|speed| is_confident(&speed.log_speed, now))
    }

    pub(crate) fn class(&self, worker: ObservedWorker) -> SpeedClass {
        let speed = self.workers.get(&worker);
        speed.map_or(SpeedClass::Unknown, |speed| speed.class)
    }

    pub(crate) fn is_spread(&self) -> bool {
        self.is_spread
    }

    pub(crate) fn are_fast_scarce(&self) -> bool {
        self.are_fast_scarce
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn count(&self, class: SpeedClass) -> usize {
        let speeds = self.workers.values();
        speeds.filter(|speed| speed.class == class).count()
    }

    pub(crate) fn add(&mut self, worker: ObservedWorker, residual: f64, weight: f64, now: Instant) {
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(&worker) {
            self.forget_least_certain(now);
        }
        let speed = self.workers.entry(worker).or_insert_with(|| WorkerSpeed {
            log_speed: RobustMean::new(now),
            class: SpeedClass::Unknown,
        });
        let sample = WeightedSample {
            residual: residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL),
            lever: 1.0,
            weight,
            share: 1.0,
            max_step: MAX_RESIDUAL,
        };
        speed.log_speed.add(sample, MAX_WEIGHT, now);
    }

    pub(crate) fn remove(&mut self, worker: ObservedWorker) {
        self.workers.remove(&worker);
    }

    /// Measures the speeds from the median worker, and updates the classes.
    pub(crate) fn refresh(&mut self, now: Instant) {
        let confident = |speed: &&WorkerSpeed| is_confident(&speed.log_speed, now);
        let known = self.workers.values().filter(confident);
        let mut values: Vec<f64> = known.map(|speed| speed.log_speed.value()).collect();
        let center = median(&mut values).unwrap_or(0.0);
        for speed in self.workers.values_mut() {
            speed.log_speed.shift(-center);
            speed.class = match is_confident(&speed.log_speed, now) {
                true => next_class(speed.class, speed.log_speed.value()),
                false => SpeedClass::Unknown,
            };
        }
        let limit = if self.is_spread {
            MIN_SPREAD_EXIT
        } else {
            MIN_SPREAD
        };
        self.is_spread = self.spread() >= limit.ln();
        let fast = self.count(SpeedClass::Fast);
        self.are_fast_scarce = (fast as f64) <= SCARCE_SHARE * values.len() as f64;
    }

    /// Returns the logarithm of the factor between the fastest and the slowest class.
    fn spread(&self) -> f64 {
        let class_median = |class| {
            let of_class = self.workers.values().filter(|speed| speed.class == class);
            let mut values: Vec<f64> = of_class.map(|speed| speed.log_speed.value()).collect();
            median(&mut values)
        };
        let classes = [SpeedClass::Fast, SpeedClass::Usual, SpeedClass::Slow];
        let mut medians = classes.into_iter().filter_map(class_median);
        let first = medians.next();
        first
            .zip(medians.next_back())
            .map_or(0.0, |(fast, slow)| fast - slow)
    }

    fn forget_least_certain(&mut self, now: Instant) {
        let certainty = |speed: &WorkerSpeed| speed.log_speed.weight(now);
        let least = self
            .workers
            .iter()
            .min_by(|a, b| certainty(a.1).total_cmp(&certainty(b.1)));
        if let Some(worker) = least.map(|(worker, _)| *worker) {
            self.workers.remove(&worker);
        }
    }
}

fn is_confident(speed: &RobustMean, now: Instant) -> bool {
    speed.weight(now) >= MIN_WEIGHT && speed.error(now) <= MAX_ERROR
}

fn next_class(class: SpeedClass, log_speed: f64) -> SpeedClass {
    let enter = CLASS_FACTOR.ln();
    let exit = CLASS_EXIT_FACTOR.ln();
    match class {
        SpeedClass::Fast if log_speed >= exit => SpeedClass::Fast,
        SpeedClass::Slow if log_speed <= -exit => SpeedClass::Slow,
        _ if log_speed >= enter => SpeedClass::Fast,
        _ if log_speed <= -enter => SpeedClass::Slow,
        _ => SpeedClass::Usual,
    }
}

/// Returns the median of the values, and sorts them in part.
pub(crate) fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    let is_even = values.len().is_multiple_of(2);
    let (lower, upper, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    let upper = *upper;
    let below = lower.iter().copied().max_by(f64::total_cmp);
    Some(match below {
        Some(below) if is_even => f64::midpoint(below, upper),
        _ => upper,
    })
}
