//! Recent rates of the runs of each step.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::ids::{ObservedRun, ObservedStep, ObservedWorker};
use crate::run_watch::Exposures;

/// Number of rates that are kept for each step.
pub(crate) const SAMPLES_PER_STEP: usize = 8;

/// Time after which the rates of a step are dropped.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Part of the steps that is dropped when there are too many.
const DROPPED_DIVISOR: usize = 16;

/// Rate of a run in a part of its time.
#[derive(Clone, Debug)]
pub(crate) struct RateSample {
    pub run: ObservedRun,
    pub worker: ObservedWorker,
    /// Logarithm of the progress in percent a second.
    pub log_rate: f64,
    pub beside: Exposures,
}

#[derive(Clone, Debug)]
struct StepRates {
    samples: SmallVec<[RateSample; SAMPLES_PER_STEP]>,
    next: usize,
    updated_at: Instant,
}

/// Recent rates by step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepSamples {
    steps: HashMap<ObservedStep, StepRates>,
}

impl StepSamples {
    pub(crate) fn of(&self, step: ObservedStep) -> &[RateSample] {
        self.steps.get(&step).map_or(&[], |rates| &rates.samples)
    }

    pub(crate) fn len(&self) -> usize {
        self.steps.len()
    }

    pub(crate) fn add(&mut self, sample: RateSample, max_steps: usize, now: Instant) {
        let step = sample.run.step;
        if self.steps.len() >= max_steps && !self.steps.contains_key(&step) {
            self.drop_oldest(max_steps / DROPPED_DIVISOR);
        }
        let rates = self.steps.entry(step).or_insert_with(|| StepRates {
            samples: SmallVec::new(),
            next: 0,
            updated_at: now,
        });
        rates.updated_at = now;
        // A run counts once, since a long one would otherwise outnumber the others.
        let mut samples = rates.samples.iter_mut();
        if let Some(earlier) = samples.find(|other| other.run == sample.run) {
            *earlier = sample;
        } else if rates.samples.len() < SAMPLES_PER_STEP {
            rates.samples.push(sample);
        } else {
            rates.samples[rates.next] = sample;
            rates.next = (rates.next + 1) % SAMPLES_PER_STEP;
        }
    }

    pub(crate) fn refresh(&mut self, now: Instant) {
        self.steps
            .retain(|_, rates| now.saturating_duration_since(rates.updated_at) < MAX_AGE);
    }

    fn drop_oldest(&mut self, count: usize) {
        let mut ages: Vec<(Instant, ObservedStep)> = self
            .steps
            .iter()
            .map(|(step, rates)| (rates.updated_at, *step))
            .collect();
        ages.sort_unstable();
        for (_, step) in ages.into_iter().take(count.max(1)) {
            self.steps.remove(&step);
        }
    }
}
