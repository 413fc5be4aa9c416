//! Shares of the parties that a scheduler serves: the customers of a placer and the teams of a cell.
//!
//! Each module has one rule, which is a pure function of its inputs:
//!
//! - [`ResourceQuota`]: what a party may use in all
//! - [`VirtualClock`]: which party's work is placed next when all of them queue
//! - [`NormalizedShare`]: which team goes first by what its runs hold
//! - [`TokenBucket`]: which jobs of a team are owed to it
//! - [`AdmissionGrants`]: which jobs have taken their token before they were offered
//! - [`ServiceMeter`] and [`SurplusBacklog`]: whether a further surplus job could be served in time
//!
//! This crate performs no I/O and reads no clock.

mod admission_grants;
mod normalized_share;
mod resource_quota;
mod resource_sum;
mod service_meter;
mod surplus_backlog;
mod token_bucket;
mod virtual_clock;

pub use admission_grants::AdmissionGrants;
pub use normalized_share::{NormalizedShare, valid_weight};
pub use resource_quota::ResourceQuota;
pub use resource_sum::ResourceSum;
pub use service_meter::ServiceMeter;
pub use surplus_backlog::{AdmissionVerdict, SurplusBacklog};
pub use token_bucket::{JobClass, TokenBucket};
pub use virtual_clock::VirtualClock;
