//! What is known about the workers that crashed while they ran a task.
//!
//! A deadly task crashes each worker that starts it. The other runs on such a worker end too, although their
//! tasks are not at fault. A task under which workers have crashed is therefore a suspect, which runs alone on
//! its worker, and a crash counts against it in full only if nothing else ran there:
//!
//! - After one crash, the tasks that were on the worker run on different ones if there is room. If one of them is
//!   deadly, it then crashes its next worker without the others.
//! - From [`SUSPECT_CRASHES`] a task runs alone if a worker is empty.
//! - From [`CONFIRMED_SUSPECT_CRASHES`] it waits for a worker of its own.
//! - With [`GIVE_UP_CRASHES`], of which it was alone in [`GIVE_UP_ALONE_CRASHES`], it is given up.
//! - With [`MAX_CRASHES`] it is given up in any case. It comes to that if no worker can be set aside for it, or if
//!   it takes long to crash its workers. From [`LAST_START_CRASHES`] it runs alone however long that took, so that
//!   the last crash is not that of a neighbour.
//!
//! A deadly task that shares its first three workers is thus started twice more at most. A task that others
//! brought down is not given up, since no worker crashes while it is alone there, and it is cleared meanwhile.
//!
//! Workers also crash for other reasons, often many at a time. Runs that have lasted for [`EARLY_RUN_TIME`] are
//! rarely at fault and many tasks have such runs, so only the last start has to be alone because of those crashes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::job_record::{CrashRecord, LossRecord, WorkerIncarnation};
use crate::record::worker_index;

/// Number of crashes from which a task is a suspect. One crash would make suspects of all tasks on a worker that
/// crashed for another reason.
const SUSPECT_CRASHES: u32 = 2;

/// Number of crashes from which a task only runs alone.
const CONFIRMED_SUSPECT_CRASHES: u32 = 3;

/// Number of crashes, early in the run or not, from which a task only runs alone. Its next crash is the last, and must
/// not be that of a neighbour.
const LAST_START_CRASHES: u32 = MAX_CRASHES - 1;

/// Number of crashes after which a task may be given up.
const GIVE_UP_CRASHES: u32 = 4;

/// Number of crashes that a task must have had alone on its worker before it may be given up. A single one may
/// have another reason.
const GIVE_UP_ALONE_CRASHES: u32 = 2;

/// Number of crashes after which a task is given up in any case.
const MAX_CRASHES: u32 = 5;

/// Minimum time for which a run has to make progress before its task is cleared of suspicion. A task that crashes its
/// worker at the start takes less.
const MIN_CLEARING_TIME: Duration = Duration::from_secs(3);

/// Maximum time for which a run has to make progress before its task is cleared of suspicion. A longer one would
/// withhold workers from others for too long.
const MAX_CLEARING_TIME: Duration = Duration::from_secs(60);

/// Time for which a run has to make progress before its task is cleared, as a multiple of the longest time after
/// which a worker has crashed under the task. Tasks take up to three times as long on other racks.
const CLEARING_FACTOR: u32 = 4;

/// Maximum time for which a run that makes progress stays alone on its worker if its task may share one.
const MAX_PREFERRED_TIME: Duration = Duration::from_secs(10);

/// Time after its start within which a run makes its task a suspect if the worker crashes.
const EARLY_RUN_TIME: Duration = Duration::from_secs(10);

/// Duration assumed for a run that crashed its worker while no owner watched it.
const UNWATCHED_RUN_TIME: Duration = Duration::from_secs(5);

/// Time for which a suspect waits for the return of a worker on which it was alone. Whether the worker then is
/// the same incarnation shows whether it has crashed.
const LOSS_HOLD: Duration = Duration::from_secs(15);

/// Maximum number of lost workers that are remembered for a task.
const MAX_LOSSES: usize = 8;

/// How a task may share a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Isolation {
    /// Beside any others.
    Unneeded,
    /// On another worker than other tasks under which workers have crashed, if there is room.
    Apart,
    /// Alone if a worker is empty, and else as [`Isolation::Apart`].
    Preferred,
    /// Only alone.
    Required,
}

impl Isolation {
    /// Returns whether the task is suspected of crashing workers.
    pub(crate) fn is_of_suspect(self) -> bool {
        matches!(self, Self::Preferred | Self::Required)
    }
}

/// Run that ended with its worker.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    /// Number of the run.
    pub run: u32,
    /// Whether nothing else ran on the worker.
    pub alone: bool,
    /// Time for which the run had lasted; `None` if it is not known.
    pub lasted: Option<Duration>,
}

impl Crash {
    fn run_time(&self) -> Duration {
        self.lasted.unwrap_or(UNWATCHED_RUN_TIME)
    }

    fn is_early(&self) -> bool {
        self.run_time() < EARLY_RUN_TIME
    }
}

/// Worker whose lease expired while it may have run a task.
#[derive(Clone, Debug)]
pub(crate) struct Loss {
    /// ID of the worker.
    pub worker: Arc<str>,
    /// Start time of the worker's process in Unix milliseconds.
    pub started_ms: u64,
    pub crash: Crash,
    /// Time at which the lease expired.
    pub at: Instant,
}

/// Crashes of workers under a task.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashHistory {
    pub crashes: u32,
    /// Number of the crashes early in the run.
    pub early_crashes: u32,
    /// Number of the early crashes in which nothing else ran on the worker.
    pub alone_crashes: u32,
    /// Number of the last run that `crashes` includes. It prevents counting a crash twice.
    pub last_crashed_run: u32,
    /// Longest time for which a run had lasted when its worker crashed.
    pub longest_run: Duration,
    /// Workers of which it is not known whether they have crashed.
    pub losses: Vec<Loss>,
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl CrashHistory {
    /// Counts the crash of the worker of a placed run. Returns whether it was not counted before.
    pub(crate) fn count(&mut self, crash: &Crash) -> bool {
        let is_new = crash.run > self.last_crashed_run;
        if is_new {
            self.add(crash);
        }
        is_new
    }

    /// Takes the losses of a worker that is back. Those of its earlier incarnations are counted as crashes. Those
    /// of this one are dropped once it has reported, since it has not crashed. Returns the counted ones.
    pub(crate) fn settle(
        &mut self,
        worker: &str,
        started_ms: u64,
        has_reported: bool,
    ) -> Vec<Crash> {
        let mut counted = Vec::new();
        for loss in std::mem::take(&mut self.losses) {
            let is_same = loss.started_ms == started_ms;
            match &*loss.worker == worker {
                true if !is_same => counted.push(loss.crash),
                true if has_reported => {}
                _ => self.losses.push(loss),
            }
        }
        for crash in &counted {
            self.add(crash);
        }
        counted
    }

    fn add(&mut self, crash: &Crash) {
        self.last_crashed_run = self.last_crashed_run.max(crash.run);
        self.crashes += 1;
        self.early_crashes += u32::from(crash.is_early());
        self.alone_crashes += u32::from(crash.is_early() && crash.alone);
        self.longest_run = self.longest_run.max(crash.run_time());
    }

    /// Remembers a lost worker until it is known whether it has crashed.
    pub(crate) fn add_loss(&mut self, loss: Loss) {
        if self.losses.len() >= MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(loss);
    }

    /// Returns how the task may share a worker. Lost workers count like crashed ones until they return.
    pub(crate) fn isolation(&self) -> Isolation {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let early_losses = self.losses.iter().filter(|loss| loss.crash.is_early());
        let early = self
            .early_crashes
            .saturating_add(count(early_losses.count()));
        let all = self.crashes.saturating_add(count(self.losses.len()));
        match early {
            CONFIRMED_SUSPECT_CRASHES.. => Isolation::Required,
            _ if all >= LAST_START_CRASHES => Isolation::Required,
            SUSPECT_CRASHES.. => Isolation::Preferred,
            _ if self.is_empty() => Isolation::Unneeded,
            _ => Isolation::Apart,
        }
    }

    /// Returns whether the task waits until it is known whether the workers on which it was alone have crashed.
    pub(crate) fn is_on_hold(&self, now: Instant) -> bool {
        let mut losses = self.losses.iter();
        self.isolation().is_of_suspect()
            && losses.any(|loss| loss.crash.alone && now < loss.at + LOSS_HOLD)
    }

    /// Returns whether the task is not started again.
    pub(crate) fn is_given_up(&self) -> bool {
        let is_at_fault =
            self.crashes >= GIVE_UP_CRASHES && self.alone_crashes >= GIVE_UP_ALONE_CRASHES;
        is_at_fault || self.crashes >= MAX_CRASHES
    }

    /// Returns whether a run that has made progress for this time shows that the task crashes no workers.
    pub(crate) fn is_cleared_after(&self, time: Duration) -> bool {
        let longest = self.longest_run * CLEARING_FACTOR;
        time >= longest.clamp(MIN_CLEARING_TIME, MAX_CLEARING_TIME)
    }

    /// Returns whether a run that has made progress for this time may share its worker.
    pub(crate) fn may_share_after(&self, time: Duration) -> bool {
        let may_share = self.isolation() != Isolation::Required && time >= MAX_PREFERRED_TIME;
        may_share || self.is_cleared_after(time)
    }

    /// Drops the suspicion. The run numbers and times are kept, so that a deadly task that takes long to crash its
    /// worker is not cleared again.
    pub(crate) fn clear(&mut self) {
        self.crashes = 0;
        self.early_crashes = 0;
        self.alone_crashes = 0;
        self.losses.clear();
    }

    /// Returns the record of the history. Lost workers are added to those of the record.
    pub(crate) fn to_record(
        &self,
        isolated: bool,
        workers: &mut Vec<WorkerIncarnation>,
    ) -> CrashRecord {
        let losses = self.losses.iter().map(|loss| LossRecord {
            worker: worker_index(workers, &loss.worker, loss.started_ms),
            alone: loss.crash.alone,
            run: loss.crash.run,
            lasted_ms: to_millis(loss.crash.run_time()),
        });
        CrashRecord {
            crashes: self.crashes,
            early_crashes: self.early_crashes,
            alone_crashes: self.alone_crashes,
            last_crashed_run: self.last_crashed_run,
            longest_run_ms: to_millis(self.longest_run),
            isolated,
            losses: losses.collect(),
        }
    }

    /// Restores a history. Lost workers count as lost just now.
    pub(crate) fn from_record(
        record: &CrashRecord,
        workers: &[WorkerIncarnation],
        now: Instant,
    ) -> Self {
        let losses = record.losses.iter().filter_map(|loss| {
            let incarnation = workers.get(usize::from(loss.worker))?;
            Some(Loss {
                worker: incarnation.id.as_str().into(),
                started_ms: incarnation.started_ms,
                crash: Crash {
                    run: loss.run,
                    alone: loss.alone,
                    lasted: Some(Duration::from_millis(loss.lasted_ms.into())),
                },
                at: now,
            })
        });
        Self {
            crashes: record.crashes,
            early_crashes: record.early_crashes,
            alone_crashes: record.alone_crashes,
            last_crashed_run: record.last_crashed_run,
            longest_run: Duration::from_millis(record.longest_run_ms.into()),
            losses: losses.collect(),
        }
    }

    /// Returns whether there is anything against the task.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes == 0 && self.losses.is_empty()
    }
}
