//! Load tool: open-loop arrivals against running entry processes.
//!
//! [`run_load`] sends submissions at times that are fixed before the run by a seed, round-robin
//! over the entry processes, whether or not earlier ones have been answered. Times count from the
//! intended send time, so that a slow process or a slow load tool lengthens the measured times
//! instead of thinning out the samples (coordinated omission).
//!
//! Each payload is `sleep=MS echo=KEY` with a key that is unique in the run. A worker that honours
//! these words returns the key, and any other result counts as a wrong answer.
//!
//! Durable work is followed to its outcome: an accepted submission is queried until it ends, and
//! one without a usable answer is sent again with the same key. Checks are sent once.
//!
//! The entry processes need the customers and workloads of [`SAMPLE_MANIFEST`]: the customers
//! `north`, `south`, `east` and `surge`, and the workloads `check`, `order`, `reconcile` (batch) and
//! `train` (gang of four).
//!
//! | scenario | length | arrivals |
//! |---|---|---|
//! | `smoke` | 2 s | a few of each class |
//! | `steady` | 30 s | checks of all customers at `rate` |
//! | `burst` | 15 s | as `steady`; `surge` sends ten times as much from 5 s to 10 s |
//! | `long` | 30 s | checks at `rate`, behind batch tasks of 2 s at `long_rate` |
//! | `mixed` | 30 s | 80 % checks, 15 % orders, 4 % batch tasks, 1 % gangs at `rate`; 1 % stragglers |

mod call;
mod compare;
mod draw;
mod error;
mod manifest;
mod options;
mod report;
mod run;
mod scenario;
mod schedule;
mod table;
mod tally;

pub use compare::{CompareOptions, CompareReport, run_compare};
pub use error::LoadError;
pub use manifest::SAMPLE_MANIFEST;
pub use options::LoadOptions;
pub use report::{LoadReport, LoadRow, TimeSummary};
pub use run::run_load;
pub use scenario::Scenario;
