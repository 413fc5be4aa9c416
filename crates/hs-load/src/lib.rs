//! Open-loop load generator for running entry processes.
//!
//! [`run_load`] generates the schedule of a run from a seed and sends each submission at its
//! intended send time, round-robin over the entry processes, without waiting for the replies to
//! earlier ones. Times are measured from the intended send time, so that a slow entry process or a
//! slow load tool lengthens the measured times instead of reducing the number of samples
//! (coordinated omission).
//!
//! Each payload is `sleep=MS echo=KEY` with a key that is unique in the run. A worker that
//! interprets these words returns the key, and any other result counts as a wrong answer.
//!
//! Durable work is followed to its outcome: an accepted submission is queried until it ends, and
//! one without a usable reply is sent again with the same key. Checks are sent only once.
//!
//! The entry processes need the customers and workloads of [`SAMPLE_MANIFEST`]: the customers
//! `north`, `south`, `east` and `surge`, and the workloads `check`, `order`, `reconcile` (batch)
//! and `train` (gang of four).
//!
//! | scenario | length | arrivals |
//! |---|---|---|
//! | `smoke` | 2 s | a few of each class |
//! | `steady` | 30 s | checks of all customers at `rate` |
//! | `burst` | 15 s | as `steady`; `surge` sends at ten times its rate from 5 s to 10 s |
//! | `long` | 30 s | checks at `rate`, competing with batch tasks of 2 s at `long_rate` |
//! | `mixed` | 30 s | 80 % checks, 15 % orders, 4 % batch tasks, 1 % gangs at `rate`; 1 % stragglers |

mod call;
mod compare;
mod error;
mod manifest;
mod options;
mod report;
mod run;
mod scenario;
mod schedule;
mod split_mix;
mod table;
mod tally;

pub use compare::{CompareOptions, CompareReport, run_compare};
pub use error::LoadError;
pub use manifest::SAMPLE_MANIFEST;
pub use options::LoadOptions;
pub use report::{LoadReport, LoadRow, TimeSummary};
pub use run::run_load;
pub use scenario::Scenario;
