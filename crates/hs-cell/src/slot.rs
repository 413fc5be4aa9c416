//! Runs on a worker, as the owner knows them.

use std::time::{Duration, Instant};

use hs_wire::Resources;

use crate::reservation::Backfill;
use crate::team_usage::TeamKey;

/// Phase of a run on a worker, as known to the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotPhase {
    /// The placement is not committed to the store yet.
    Recording,
    /// The start was sent and is not answered yet.
    Sent,
    /// The worker has confirmed the run.
    Running,
    /// A stop was requested and the run has not been seen to end.
    Stopping,
}

/// Resources that a run occupies on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub need: Resources,
    /// Team that the run is counted for.
    pub team: Option<TeamKey>,
    pub phase: SlotPhase,
    /// Time from which the worker knows the run. A report requested later without the run proves that it is
    /// gone.
    pub visible_since: Option<Instant>,
    /// Time until which an incarnation that the owner has not heard from may have the run, since nobody knows which one
    /// has taken the start.
    pub unconfirmed_until: Option<Instant>,
    /// Whether other runs of the worker were released before this one, when the lease ended.
    pub has_outlasted_others: bool,
    pub percent: u8,
    /// Time at which the reported progress last changed.
    pub last_progress_at: Instant,
    /// Time at which the run began, as far as the owner knows.
    pub started_at: Instant,
    /// Whether nothing else may be placed on the worker while it has the run.
    pub is_isolated: bool,
    /// Whether workers have crashed under the task.
    pub is_suspect: bool,
    /// Mark of a run that was placed on a worker which a gang had reserved.
    pub backfill: Option<Backfill>,
}

/// Minimum time without progress after which a run counts as stalled. Reports are up to a second apart.
const MIN_STALL_TIME: Duration = Duration::from_millis(1600);

/// Time after which a run at 0 percent counts as stalled. Its average time per percent is not known yet.
const ZERO_PROGRESS_STALL_TIME: Duration = Duration::from_millis(2600);

/// Time without progress after which a run counts as stalled, as a multiple of its average time per percent.
const STALL_FACTOR: u32 = 5;

impl Slot {
    /// Creates the slot of a run that begins now, or is known from now on, and of which nothing special is known.
    pub(crate) fn new(
        need: Resources,
        team: Option<TeamKey>,
        phase: SlotPhase,
        now: Instant,
    ) -> Self {
        Self {
            need,
            team,
            phase,
            visible_since: match phase {
                SlotPhase::Running => Some(now),
                SlotPhase::Recording | SlotPhase::Sent | SlotPhase::Stopping => None,
            },
            unconfirmed_until: None,
            has_outlasted_others: false,
            percent: 0,
            last_progress_at: now,
            started_at: now,
            is_isolated: false,
            is_suspect: false,
            backfill: None,
        }
    }

    /// Returns whether a report at `reported_at` shows that the run is stalled, compared with its own progress so
    /// far.
    pub(crate) fn is_stalled(&self, reported_at: Instant) -> bool {
        if self.phase != SlotPhase::Running || self.percent >= 100 {
            return false;
        }
        let elapsed = self
            .last_progress_at
            .saturating_duration_since(self.started_at);
        let limit = match self.percent {
            0 => ZERO_PROGRESS_STALL_TIME,
            percent => (elapsed / u32::from(percent) * STALL_FACTOR).max(MIN_STALL_TIME),
        };
        reported_at.saturating_duration_since(self.last_progress_at) > limit
    }
}
