//! Shares of the parties that a scheduler serves: the customers of a placer and the teams of a cell.
//!
//! Each module has one rule, which is a pure function of its inputs:
//!
//! - [`ResourceQuota`]: what a party may use in all
//! - [`VirtualClock`]: which party's work is placed next when all of them queue
//!
//! This crate performs no I/O and reads no clock.

mod resource_quota;
mod resource_sum;
mod virtual_clock;

pub use resource_quota::ResourceQuota;
pub use resource_sum::ResourceSum;
pub use virtual_clock::VirtualClock;
