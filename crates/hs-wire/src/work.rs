//! Classes and ids of work.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The policy under which a workload is scheduled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// A short request whose answer goes straight back to the caller. Nothing durable is kept.
    Check,
    /// One durable task. It runs at most once unless the manifest marks it repeatable.
    Order,
    /// Durable tasks that may wait long and finish exactly once.
    Batch,
    /// Durable tasks that all start together or not at all.
    Gang,
    /// Long-running replicas, kept at a stated count in each data centre.
    Service,
}

impl WorkClass {
    /// Returns whether submissions of this class are recorded in the ledger before they start.
    pub fn is_durable(self) -> bool {
        match self {
            Self::Check | Self::Service => false,
            Self::Order | Self::Batch | Self::Gang => true,
        }
    }

    /// Returns the name used in JSON, logs and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Check => "check",
            Self::Order => "order",
            Self::Batch => "batch",
            Self::Gang => "gang",
            Self::Service => "service",
        }
    }
}

impl fmt::Display for WorkClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The identity of one task, unique for the life of the installation.
///
/// It consists of letters, digits, `-`, `_`, `.` and `:`, so that it can stand in a path. Workers treat
/// it as an opaque string.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WorkId(pub String);

impl fmt::Display for WorkId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
