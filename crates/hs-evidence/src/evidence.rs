//! State of the estimates, and how observations change them.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::ids::{ObservedRun, ObservedWorker};
use crate::kind_arena::{KindArena, KindKey, KindName};
use crate::options::LearningOptions;
use crate::pair_table::{PairChange, PairSample, PairTable};
use crate::run_watch::{Exposures, Observation, RunWatch};
use crate::speed_table::{SpeedClass, SpeedTable, median};
use crate::step_samples::{RateSample, SAMPLES_PER_STEP, StepSamples};

/// Maximum number of steps whose rates are kept.
pub const MAX_OBSERVED_STEPS: usize = 1024;

/// Number of other runs of the step that an observation is compared with at least.
const MIN_PEERS: usize = 2;

/// Number of other runs of the step that an observation is compared with at least to say something about a pair. The
/// median of three is not moved by one that runs long by itself.
const MIN_PAIR_PEERS: usize = 3;

/// Interval at which classes and confidences are updated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Contrast of exposures below which an observation says nothing about a pair.
const MIN_CONTRAST: f64 = 0.2;

/// Maximum number of changes of pairs that wait to be taken. Further ones are only counted in the estimates.
const MAX_WAITING_CHANGES: usize = 64;

/// Numbers for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EvidenceCounts {
    /// Workers that are faster than usual.
    pub fast: usize,
    /// Workers of the usual speed.
    pub usual: usize,
    /// Workers that are slower than usual.
    pub slow: usize,
    /// Observed workers whose speed is not known with confidence.
    pub unknown: usize,
    /// Pairs of kinds that are known to interfere.
    pub confident_pairs: usize,
    /// Pairs of kinds with an estimate.
    pub pairs: usize,
    /// Known kinds.
    pub kinds: usize,
    /// Steps whose rates are kept.
    pub steps: usize,
    /// Runs that are watched.
    pub runs: usize,
    /// Workers with an estimate.
    pub workers: usize,
}

/// Estimates of the speed of workers and of the interference between kinds.
#[derive(Clone, Debug)]
pub struct Evidence {
    pub(crate) options: LearningOptions,
    pub(crate) kinds: KindArena,
    pub(crate) watch: RunWatch,
    pub(crate) speeds: SpeedTable,
    pub(crate) pairs: PairTable,
    steps: StepSamples,
    changes: Vec<PairChange>,
    refreshed_at: Option<Instant>,
}

impl Evidence {
    /// Creates estimates without observations, or `None` if both switches are off.
    pub fn new(options: LearningOptions) -> Option<Box<Self>> {
        options.is_on().then(|| {
            Box::new(Self {
                options,
                kinds: KindArena::default(),
                watch: RunWatch::default(),
                speeds: SpeedTable::default(),
                pairs: PairTable::default(),
                steps: StepSamples::default(),
                changes: Vec::new(),
                refreshed_at: None,
            })
        })
    }

    /// Returns the key of a kind, which is known from then on.
    pub fn kind(&mut self, name: &KindName, now: Instant) -> KindKey {
        self.kinds.intern(name, now)
    }

    /// Returns the name of a kind, unless it was forgotten.
    pub fn kind_name(&self, key: KindKey) -> Option<&KindName> {
        self.kinds.name(key)
    }

    /// Records the placement of a run.
    pub fn run_placed(
        &mut self,
        worker: ObservedWorker,
        run: ObservedRun,
        kind: &KindName,
        now: Instant,
    ) {
        let kind = self.kinds.intern(kind, now);
        self.watch.place(worker, run, kind, now);
    }

    /// Returns whether a run was placed or seen on a worker.
    pub fn is_watched(&self, worker: ObservedWorker, run: ObservedRun) -> bool {
        self.watch.is_watched(worker, run)
    }

    /// Records that a run has started from the beginning.
    pub fn run_started(&mut self, worker: ObservedWorker, run: ObservedRun, now: Instant) {
        self.watch.start(worker, run, 0, now);
    }

    /// Records the progress of a run. Where its start is not known, it is observed from there on.
    pub fn run_progressed(
        &mut self,
        worker: ObservedWorker,
        run: ObservedRun,
        percent: u8,
        now: Instant,
    ) {
        if let Some(observation) = self.watch.progress(worker, run, percent, now) {
            self.observe(observation, now);
        }
    }

    /// Records that a run has succeeded.
    pub fn run_done(&mut self, worker: ObservedWorker, run: ObservedRun, now: Instant) {
        self.run_progressed(worker, run, 100, now);
        self.watch.remove(worker, run, now);
    }

    /// Records that a run has ended without success, or that it never began.
    pub fn run_gone(&mut self, worker: ObservedWorker, run: ObservedRun, now: Instant) {
        self.watch.remove(worker, run, now);
    }

    /// Drops the runs that are missing in a report requested at `requested_at`.
    pub fn runs_listed(
        &mut self,
        worker: ObservedWorker,
        is_running: impl Fn(ObservedRun) -> bool,
        requested_at: Instant,
        now: Instant,
    ) {
        self.watch.retain(worker, is_running, requested_at, now);
    }

    /// Forgets a worker.
    pub fn worker_removed(&mut self, worker: ObservedWorker) {
        self.watch.remove_worker(worker);
        self.speeds.remove(worker);
    }

    /// Takes the pairs that have become confident or stopped being so.
    pub fn take_pair_changes(&mut self) -> Vec<PairChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the factor of a worker's speed to the median, if it is known with confidence.
    pub fn speed(&self, worker: ObservedWorker, now: Instant) -> Option<f64> {
        let is_known = self.speeds.is_known(worker, now);
        is_known.then(|| self.speeds.log_speed(worker).exp())
    }

    /// Returns whether tasks of a kind are known to be slowed down by another kind beside them.
    pub fn is_slowed_by(&self, kind: KindKey, beside: KindKey) -> bool {
        self.pairs.is_confident((kind, beside))
    }

    /// Returns the speed class of a worker.
    pub fn speed_class(&self, worker: ObservedWorker) -> SpeedClass {
        self.speeds.class(worker)
    }

    /// Returns the numbers for metrics.
    pub fn counts(&self) -> EvidenceCounts {
        EvidenceCounts {
            fast: self.speeds.count(SpeedClass::Fast),
            usual: self.speeds.count(SpeedClass::Usual),
            slow: self.speeds.count(SpeedClass::Slow),
            unknown: self.speeds.count(SpeedClass::Unknown),
            confident_pairs: self.pairs.confident_count(),
            pairs: self.pairs.len(),
            kinds: self.kinds.len(),
            steps: self.steps.len(),
            runs: self.watch.len(),
            workers: self.speeds.len(),
        }
    }

    /// Updates classes and confidences if it is time for that.
    pub fn refresh(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= REFRESH_INTERVAL;
        if !self.refreshed_at.is_none_or(is_due) {
            return;
        }
        self.refreshed_at = Some(now);
        self.speeds.refresh(now);
        self.steps.refresh(now);
        let kinds = &self.kinds;
        let changes = self.pairs.refresh(|kind| kinds.name(kind).is_some(), now);
        let free = MAX_WAITING_CHANGES - self.changes.len();
        self.changes.extend(changes.into_iter().take(free));
    }

    /// Compares an observation with the other runs of its step on other workers, and updates the estimates.
    pub fn observe(&mut self, observation: Observation, now: Instant) {
        let seconds = observation.time.as_secs_f64();
        if observation.progress == 0 || seconds <= 0.0 {
            return;
        }
        let sample = RateSample {
            run: observation.run,
            worker: observation.worker,
            log_rate: (f64::from(observation.progress) / seconds).ln(),
            beside: observation.beside,
        };
        // All observations of a run together have the weight 1, since they are not independent.
        let weight = f64::from(observation.progress) / 100.0;
        if let Some((speed_residual, pair_samples)) =
            self.compare(observation.kind, &sample, weight, now)
        {
            self.speeds.add(sample.worker, speed_residual, weight, now);
            for pair_sample in pair_samples {
                self.pairs.add(pair_sample, now);
            }
        }
        self.steps.add(sample, MAX_OBSERVED_STEPS, now);
        self.refresh(now);
    }

    /// Returns by how much a run is faster than the estimates predict, and what that says about pairs.
    fn compare(
        &self,
        kind: KindKey,
        sample: &RateSample,
        weight: f64,
        now: Instant,
    ) -> Option<(f64, SmallVec<[PairSample; 8]>)> {
        let others = self.steps.of(sample.run.step).iter();
        let peers: SmallVec<[&RateSample; SAMPLES_PER_STEP]> =
            others.filter(|peer| peer.worker != sample.worker).collect();
        if peers.len() < MIN_PEERS {
            return None;
        }
        let residual = self.residual(kind, sample, peers.iter().copied());
        let pair_samples = self.pair_samples(kind, sample, &peers, weight, now);
        Some((residual, pair_samples))
    }

    /// Returns the logarithm of the factor by which a run is faster than the estimates predict.
    fn residual<'a>(
        &self,
        kind: KindKey,
        sample: &RateSample,
        peers: impl Iterator<Item = &'a RateSample>,
    ) -> f64 {
        let mut rates: SmallVec<[f64; SAMPLES_PER_STEP]> =
            peers.map(|peer| self.corrected_rate(kind, peer)).collect();
        let usual = median(&mut rates).unwrap_or(0.0);
        self.corrected_rate(kind, sample) - usual
    }

    /// Returns the logarithm of the rate that the run would have alone on a worker of the usual speed.
    fn corrected_rate(&self, kind: KindKey, sample: &RateSample) -> f64 {
        let slow_downs = sample.beside.iter();
        let slow_down: f64 = slow_downs
            .map(|(other, share)| share * self.pairs.log_slow_down((kind, *other)))
            .sum();
        sample.log_rate - self.speeds.log_speed(sample.worker) + slow_down
    }

    /// Returns what an observation says about the kinds beside the run and beside the others of its step. Only workers
    /// of known speed count, since a slow one would look like interference.
    fn pair_samples(
        &self,
        kind: KindKey,
        sample: &RateSample,
        peers: &[&RateSample],
        weight: f64,
        now: Instant,
    ) -> SmallVec<[PairSample; 8]> {
        let is_known = |sample: &RateSample| self.speeds.is_known(sample.worker, now);
        let peers: SmallVec<[&RateSample; SAMPLES_PER_STEP]> = peers
            .iter()
            .copied()
            .filter(|peer| is_known(peer))
            .collect();
        if peers.len() < MIN_PAIR_PEERS || !is_known(sample) {
            return SmallVec::new();
        }
        let residual = -self.residual(kind, sample, peers.iter().copied());
        let mut others: SmallVec<[KindKey; 8]> = SmallVec::new();
        for (other, _) in std::iter::once(sample)
            .chain(peers.iter().copied())
            .flat_map(|sample| &sample.beside)
        {
            if !others.contains(other) && others.len() < others.inline_size() {
                others.push(*other);
            }
        }
        let contrast = |other: &KindKey| {
            let exposures = peers.iter().map(|peer| exposure(&peer.beside, *other));
            let mean = exposures.sum::<f64>() / peers.len() as f64;
            let contrast = exposure(&sample.beside, *other) - mean;
            (contrast.abs() >= MIN_CONTRAST).then_some((*other, contrast))
        };
        let contrasts: SmallVec<[(KindKey, f64); 8]> = others.iter().filter_map(contrast).collect();
        // The kinds share the residual, since each alone would account for all of it.
        let share = 1.0 / contrasts.len().max(1) as f64;
        let pair_sample = |(other, contrast)| PairSample {
            pair: (kind, other),
            worker: sample.worker,
            residual,
            contrast,
            share,
            weight,
        };
        contrasts.into_iter().map(pair_sample).collect()
    }
}

fn exposure(beside: &Exposures, kind: KindKey) -> f64 {
    let share = beside.iter().find(|(other, _)| *other == kind);
    share.map_or(0.0, |(_, share)| *share)
}
