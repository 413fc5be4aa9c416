//! Work classes and task ids.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Class of a workload, which determines how it is scheduled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// A short request whose result is returned directly to the caller. It is not recorded durably.
    Check,
    /// A single durable task. It runs at most once unless the manifest marks it as repeatable.
    Order,
    /// Durable tasks that may be queued for a long time and finish exactly once.
    Batch,
    /// Durable tasks that start all together or not at all.
    Gang,
    /// Long-running replicas, whose number in each data centre is kept at a configured count.
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

/// Id of a task, unique over the lifetime of the installation.
///
/// It consists of letters, digits, `-`, `_`, `.` and `:`, so that it can be part of a URL path.
/// Workers treat it as an opaque string.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WorkId(pub String);

impl fmt::Display for WorkId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
