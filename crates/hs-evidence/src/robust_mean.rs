//! Mean of clipped samples, with its weight, spread and age.

use std::time::{Duration, Instant};

/// Time without samples after which half of the weight is left.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// Spread that an estimate begins with, as a variance of logarithms of rates. Members of a step differ by about as much.
const PRIOR_VARIANCE: f64 = 0.06;

/// Variance below which no estimate is taken to be, since progress is reported in whole percent.
const MIN_VARIANCE: f64 = 0.01;

/// Estimate of a logarithm of a factor, which follows its samples.
///
/// Samples are clipped, so that a task that runs many times longer by itself moves the estimate no further than one
/// that runs twice as long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RobustMean {
    value: f64,
    weight: f64,
    variance: f64,
    updated_at: Instant,
}

impl RobustMean {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            weight: 0.0,
            variance: PRIOR_VARIANCE,
            updated_at: now,
        }
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Returns the sum of the weights of the samples, less what has faded.
    pub(crate) fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.weight * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Returns the standard error of the estimate.
    pub(crate) fn error(&self, now: Instant) -> f64 {
        let weight = self.weight(now).max(f64::MIN_POSITIVE);
        (self.variance.max(MIN_VARIANCE) / weight).sqrt()
    }

    /// Adds a sample that differs by `residual` from what the estimate predicts at a lever of `lever`, that is, the
    /// part of the estimate that the sample shows.
    pub(crate) fn add(&mut self, sample: WeightedSample, max_weight: f64, now: Instant) {
        let added = sample.weight * sample.lever * sample.lever;
        if added <= 0.0 {
            return;
        }
        let earlier = self.weight(now).min(max_weight - added).max(0.0);
        self.weight = earlier + added;
        let step = sample.weight * sample.lever * sample.residual * sample.share / self.weight;
        self.value += step.clamp(-sample.max_step, sample.max_step);
        // The prior counts as a sample of weight 1.
        let share = added / (self.weight + 1.0);
        self.variance += share * (sample.residual * sample.residual - self.variance);
        self.updated_at = now;
    }

    /// Moves the zero point of the estimate.
    pub(crate) fn shift(&mut self, by: f64) {
        self.value += by;
    }

    pub(crate) fn limit(&mut self, min: f64, max: f64) {
        self.value = self.value.clamp(min, max);
    }
}

/// Sample of a [`RobustMean`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightedSample {
    pub residual: f64,
    /// Part of the estimate that the sample shows, between -1 and 1.
    pub lever: f64,
    pub weight: f64,
    /// Part of the residual that the estimate accounts for, if others account for the rest.
    pub share: f64,
    /// Maximum change of the estimate.
    pub max_step: f64,
}
