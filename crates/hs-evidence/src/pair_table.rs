//! Slow-down of a kind of task by another kind beside it.

use std::collections::HashMap;
use std::time::Instant;

use crate::ids::ObservedWorker;
use crate::kind_arena::KindKey;
use crate::robust_mean::{RobustMean, WeightedSample};

/// Maximum number of pairs that are known at a time.
pub const MAX_PAIRS: usize = 4096;

/// Number of pairs that are forgotten together when there are too many, since finding them goes through all.
const FORGOTTEN_TOGETHER: usize = 64;

/// Weight that a slow-down keeps at most.
const MAX_WEIGHT: f64 = 48.0;

/// Weight from which a slow-down is confident. A run beside the other kind among runs of the step of which half are
/// beside it has a weight of a quarter.
const MIN_WEIGHT: f64 = 4.0;

/// Weight below which it is no longer confident.
const MIN_WEIGHT_EXIT: f64 = 1.0;

/// Weight below which a pair is dropped.
const MIN_KEPT_WEIGHT: f64 = 0.01;

/// Number of workers on which a pair must have been seen. On fewer, an unknown fault of a worker could be the cause.
const MIN_WORKERS: u32 = 4;

/// Smallest slow-down that counts, as a factor.
const MIN_SLOW_DOWN: f64 = 1.1;

/// Number of standard errors by which the slow-down must exceed the smallest one. Thousands of pairs are tested.
const CONFIDENT_ERRORS: f64 = 4.0;

/// Number of standard errors at which it stops being confident.
const CONFIDENT_ERRORS_EXIT: f64 = 2.0;

/// Largest difference, as a logarithm, by which a run moves a slow-down.
const MAX_RESIDUAL: f64 = 0.8;

/// Limits of a slow-down as a logarithm. A kind does not speed up another one.
const LOG_SLOW_DOWN_LIMITS: (f64, f64) = (-0.1, 2.0);

/// Two kinds of which the first is slowed down by the second.
pub(crate) type KindPair = (KindKey, KindKey);

/// Change of the confidence in the interference of a pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PairChange {
    /// Kind that is slowed down.
    pub kind: KindKey,
    /// Kind beside it.
    pub beside: KindKey,
    /// Estimated factor by which a task takes longer.
    pub slow_down: f64,
    /// Whether the interference is confident now.
    pub is_confident: bool,
}

#[derive(Clone, Copy, Debug)]
struct PairEstimate {
    log_slow_down: RobustMean,
    /// Bits that stand for the workers on which the pair was seen.
    workers: u64,
    is_confident: bool,
}

/// Estimated slow-downs.
#[derive(Clone, Debug, Default)]
pub(crate) struct PairTable {
    pairs: HashMap<KindPair, PairEstimate>,
    confident: usize,
}

/// Sample of the slow-down of a pair.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PairSample {
    pub pair: KindPair,
    pub worker: ObservedWorker,
    /// Logarithm of the factor by which the run is slower than the estimates predict.
    pub residual: f64,
    /// Exposure to the other kind, less the mean exposure of the other runs of the step.
    pub contrast: f64,
    /// Part of the residual that the pair accounts for, if other pairs account for the rest.
    pub share: f64,
    pub weight: f64,
}

impl PairTable {
    pub(crate) fn log_slow_down(&self, pair: KindPair) -> f64 {
        let estimate = self.pairs.get(&pair);
        estimate.map_or(0.0, |estimate| estimate.log_slow_down.value())
    }

    pub(crate) fn is_confident(&self, pair: KindPair) -> bool {
        let estimate = self.pairs.get(&pair);
        estimate.is_some_and(|estimate| estimate.is_confident)
    }

    pub(crate) fn confident_count(&self) -> usize {
        self.confident
    }

    pub(crate) fn len(&self) -> usize {
        self.pairs.len()
    }

    pub(crate) fn add(&mut self, sample: PairSample, now: Instant) {
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&sample.pair) {
            self.forget_least_certain(now);
        }
        let estimate = self
            .pairs
            .entry(sample.pair)
            .or_insert_with(|| PairEstimate {
                log_slow_down: RobustMean::new(now),
                workers: 0,
                is_confident: false,
            });
        let weighted = WeightedSample {
            residual: sample.residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL),
            lever: sample.contrast,
            weight: sample.weight,
            share: sample.share,
            max_step: MAX_RESIDUAL / 2.0,
        };
        estimate.log_slow_down.add(weighted, MAX_WEIGHT, now);
        let (min, max) = LOG_SLOW_DOWN_LIMITS;
        estimate.log_slow_down.limit(min, max);
        if sample.contrast > 0.0 {
            estimate.workers |= worker_bit(sample.worker);
        }
    }

    /// Updates the confidence of all pairs, and returns those that have changed. Pairs of forgotten kinds and faded
    /// ones are dropped.
    pub(crate) fn refresh(
        &mut self,
        is_kind: impl Fn(KindKey) -> bool,
        now: Instant,
    ) -> Vec<PairChange> {
        let mut changes = Vec::new();
        self.pairs.retain(|(kind, beside), estimate| {
            let was_confident = estimate.is_confident;
            estimate.is_confident = estimate.is_confident_at(now);
            if was_confident != estimate.is_confident {
                changes.push(PairChange {
                    kind: *kind,
                    beside: *beside,
                    slow_down: estimate.log_slow_down.value().exp(),
                    is_confident: estimate.is_confident,
                });
            }
            let is_faded = estimate.log_slow_down.weight(now) < MIN_KEPT_WEIGHT;
            estimate.is_confident || (!is_faded && is_kind(*kind) && is_kind(*beside))
        });
        self.confident = self.pairs.values().filter(|pair| pair.is_confident).count();
        changes
    }

    fn forget_least_certain(&mut self, now: Instant) {
        let weight = |estimate: &PairEstimate| estimate.log_slow_down.weight(now);
        let certainty = |estimate: &PairEstimate| (estimate.is_confident, weight(estimate));
        let mut all: Vec<((bool, f64), KindPair)> = self
            .pairs
            .iter()
            .map(|(pair, estimate)| (certainty(estimate), *pair))
            .collect();
        all.select_nth_unstable_by(FORGOTTEN_TOGETHER, |(a, _), (b, _)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        for (_, pair) in &all[..FORGOTTEN_TOGETHER] {
            if self
                .pairs
                .remove(pair)
                .is_some_and(|pair| pair.is_confident)
            {
                self.confident -= 1;
            }
        }
    }
}

impl PairEstimate {
    fn is_confident_at(&self, now: Instant) -> bool {
        let (errors, min_weight) = match self.is_confident {
            true => (CONFIDENT_ERRORS_EXIT, MIN_WEIGHT_EXIT),
            false => (CONFIDENT_ERRORS, MIN_WEIGHT),
        };
        let margin = errors * self.log_slow_down.error(now);
        self.log_slow_down.weight(now) >= min_weight
            && self.workers.count_ones() >= MIN_WORKERS
            && self.log_slow_down.value() - margin >= MIN_SLOW_DOWN.ln()
    }
}

fn worker_bit(worker: ObservedWorker) -> u64 {
    // The multiplier spreads consecutive numbers (64-bit golden ratio).
    1 << (worker.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (u64::BITS - 6))
}
