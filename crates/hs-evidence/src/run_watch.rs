//! Turns starts, progress and ends of runs into observations.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::ids::{ObservedRun, ObservedWorker};
use crate::kind_arena::KindKey;

/// Maximum number of runs that are watched on one worker.
pub const MAX_RUNS_PER_WORKER: usize = 256;

/// Progress in percent that one observation covers at least. Less would be dominated by the rounding to whole percent.
const MIN_PROGRESS: u8 = 20;

/// Time that one observation covers at least. Less would be dominated by the latency of reports.
const MIN_TIME: Duration = Duration::from_millis(100);

/// Share of the time of a run from which another kind counts as beside it.
const MIN_EXPOSURE: f64 = 0.1;

/// Maximum number of other kinds in an observation: those that were there for the longest time.
const MAX_EXPOSURES: usize = 4;

/// Number of kinds of a worker from which those without a run are dropped.
const MAX_PRESENCES: usize = 32;

/// Shares of a run's time in which other runs of these kinds were beside it.
pub type Exposures = SmallVec<[(KindKey, f64); MAX_EXPOSURES]>;

/// Progress of a run in a part of its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Worker of the run.
    pub worker: ObservedWorker,
    /// Run that has made the progress. It is compared with the other runs of its step.
    pub run: ObservedRun,
    /// Kind of the task.
    pub kind: KindKey,
    /// Progress in percent.
    pub progress: u8,
    /// Time that the progress took.
    pub time: Duration,
    /// Kinds beside the run.
    pub beside: Exposures,
}

/// Begin of the part of a run that the next observation covers.
#[derive(Clone, Debug)]
struct Window {
    at: Instant,
    percent: u8,
    /// Presence of each kind until then, in run-seconds.
    presences: SmallVec<[(KindKey, f64); MAX_EXPOSURES]>,
}

#[derive(Clone, Debug)]
struct WatchedRun {
    run: ObservedRun,
    kind: KindKey,
    /// Time at which the watch of the run began or its start was confirmed.
    known_since: Instant,
    window: Option<Window>,
}

/// Presence of the runs of a kind on a worker.
#[derive(Clone, Copy, Debug)]
struct KindPresence {
    kind: KindKey,
    /// Number of runs now.
    count: u32,
    /// Sum of the numbers of runs over time, in seconds.
    run_seconds: f64,
}

#[derive(Clone, Debug)]
struct WatchedWorker {
    runs: Vec<WatchedRun>,
    presences: Vec<KindPresence>,
    updated_at: Instant,
}

/// Runs in progress, by worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunWatch {
    workers: HashMap<ObservedWorker, WatchedWorker>,
}

impl RunWatch {
    /// Adds a run that is placed but has not started.
    pub(crate) fn place(
        &mut self,
        worker: ObservedWorker,
        run: ObservedRun,
        kind: KindKey,
        now: Instant,
    ) {
        let watched = self.workers.entry(worker).or_insert_with(|| WatchedWorker {
            runs: Vec::new(),
            presences: Vec::new(),
            updated_at: now,
        });
        watched.place(run, kind, now);
    }

    pub(crate) fn is_watched(&self, worker: ObservedWorker, run: ObservedRun) -> bool {
        let watched = self.workers.get(&worker);
        watched.is_some_and(|watched| watched.runs.iter().any(|other| other.run == run))
    }

    /// Begins to observe a run with the progress that it has now.
    pub(crate) fn start(
        &mut self,
        worker: ObservedWorker,
        run: ObservedRun,
        percent: u8,
        now: Instant,
    ) {
        if let Some(watched) = self.workers.get_mut(&worker) {
            watched.start(run, percent, now);
        }
    }

    /// Records the progress of a run, and returns an observation if it has made enough.
    pub(crate) fn progress(
        &mut self,
        worker: ObservedWorker,
        run: ObservedRun,
        percent: u8,
        now: Instant,
    ) -> Option<Observation> {
        let watched = self.workers.get_mut(&worker)?;
        watched.advance(now);
        let at = watched.runs.iter().position(|other| other.run == run)?;
        let Some(window) = &watched.runs[at].window else {
            watched.start(run, percent, now);
            return None;
        };
        let (progress, time) = (
            percent.saturating_sub(window.percent),
            now.saturating_duration_since(window.at),
        );
        if progress < MIN_PROGRESS || time < MIN_TIME {
            return None;
        }
        let kind = watched.runs[at].kind;
        let beside = watched.exposures(kind, window, time);
        watched.start(run, percent, now);
        Some(Observation {
            worker,
            run,
            kind,
            progress,
            time,
            beside,
        })
    }

    pub(crate) fn remove(&mut self, worker: ObservedWorker, run: ObservedRun, now: Instant) {
        if let Some(watched) = self.workers.get_mut(&worker) {
            watched.retain(|other| other.run != run, now);
        }
    }

    /// Drops the runs that a report requested at `requested_at` lacks.
    pub(crate) fn retain(
        &mut self,
        worker: ObservedWorker,
        is_running: impl Fn(ObservedRun) -> bool,
        requested_at: Instant,
        now: Instant,
    ) {
        if let Some(watched) = self.workers.get_mut(&worker) {
            let is_kept = |run: &WatchedRun| run.known_since >= requested_at || is_running(run.run);
            watched.retain(is_kept, now);
            if watched.runs.is_empty() {
                self.workers.remove(&worker);
            }
        }
    }

    pub(crate) fn remove_worker(&mut self, worker: ObservedWorker) {
        self.workers.remove(&worker);
    }

    /// Returns the kinds of the runs on a worker.
    pub(crate) fn kinds_on(&self, worker: ObservedWorker) -> impl Iterator<Item = KindKey> + '_ {
        let presences = self.workers.get(&worker).map(|watched| &watched.presences);
        let presences = presences.into_iter().flatten();
        presences
            .filter(|kind| kind.count > 0)
            .map(|kind| kind.kind)
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.values().map(|worker| worker.runs.len()).sum()
    }
}

impl WatchedWorker {
    fn advance(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.updated_at).as_secs_f64();
        for presence in &mut self.presences {
            presence.run_seconds += f64::from(presence.count) * time;
        }
        self.updated_at = self.updated_at.max(now);
    }

    fn place(&mut self, run: ObservedRun, kind: KindKey, now: Instant) {
        let is_known = self.runs.iter().any(|other| other.run == run);
        if is_known || self.runs.len() >= MAX_RUNS_PER_WORKER {
            return;
        }
        self.advance(now);
        self.runs.push(WatchedRun {
            run,
            kind,
            known_since: now,
            window: None,
        });
        match self.presences.iter_mut().find(|other| other.kind == kind) {
            Some(presence) => presence.count += 1,
            None => {
                if self.presences.len() >= MAX_PRESENCES {
                    self.presences.retain(|presence| presence.count > 0);
                }
                self.presences.push(KindPresence {
                    kind,
                    count: 1,
                    run_seconds: 0.0,
                });
            }
        }
    }

    fn start(&mut self, run: ObservedRun, percent: u8, now: Instant) {
        self.advance(now);
        let presences = self.presences.iter();
        let presences = presences
            .map(|kind| (kind.kind, kind.run_seconds))
            .collect();
        if let Some(watched) = self.runs.iter_mut().find(|other| other.run == run) {
            watched.known_since = now;
            watched.window = Some(Window {
                at: now,
                percent,
                presences,
            });
        }
    }

    fn exposures(&self, own: KindKey, window: &Window, time: Duration) -> Exposures {
        let earlier = |kind| {
            let presence = window.presences.iter().find(|(other, _)| *other == kind);
            presence.map_or(0.0, |(_, run_seconds)| *run_seconds)
        };
        let mut shares: SmallVec<[(KindKey, f64); 8]> = SmallVec::new();
        for presence in &self.presences {
            let runs = (presence.run_seconds - earlier(presence.kind)) / time.as_secs_f64();
            let others = if presence.kind == own {
                runs - 1.0
            } else {
                runs
            };
            if others >= MIN_EXPOSURE {
                shares.push((presence.kind, others.min(1.0)));
            }
        }
        shares.sort_by(|a, b| b.1.total_cmp(&a.1));
        shares.truncate(MAX_EXPOSURES);
        shares.into_iter().collect()
    }

    fn retain(&mut self, is_kept: impl Fn(&WatchedRun) -> bool, now: Instant) {
        self.advance(now);
        let presences = &mut self.presences;
        self.runs.retain(|run| {
            let is_kept = is_kept(run);
            if !is_kept && let Some(presence) = presences.iter_mut().find(|p| p.kind == run.kind) {
                presence.count -= 1;
            }
            is_kept
        });
    }
}
