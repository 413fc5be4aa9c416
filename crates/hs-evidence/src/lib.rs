//! Speed of workers and interference between kinds of tasks, estimated from the progress of runs.
//!
//! [`Evidence`] is fed with the starts, the progress and the ends of runs. It compares the rates of runs of one job
//! step, which have similar lengths, and estimates
//!
//! - the speed of each worker relative to all workers, and
//! - by how much a task of one kind slows down beside a task of another kind, corrected for the speed of the worker.
//!
//! The estimates only order workers on which a task fits. This crate performs no I/O and reads no clock.

mod evidence;
mod ids;
mod kind_arena;
mod options;
mod pair_table;
mod preference;
mod robust_mean;
mod run_watch;
mod speed_table;
mod step_samples;

pub use evidence::{Evidence, EvidenceCounts, MAX_OBSERVED_STEPS};
pub use ids::{ObservedRun, ObservedStep, ObservedWorker};
pub use kind_arena::{KindKey, KindName, MAX_KINDS};
pub use options::LearningOptions;
pub use pair_table::{MAX_PAIRS, PairChange};
pub use preference::{TaskOutlook, WorkerPreference, WorkerStanding};
pub use run_watch::{Exposures, MAX_RUNS_PER_WORKER, Observation};
pub use speed_table::{MAX_WORKERS, SpeedClass};
