//! The manifest: services, batch work, gangs, customers and their limits.

use hs_wire::{Resources, WorkClass};
use serde::{Deserialize, Serialize};

/// Everything that changes behaviour, the same on every entry process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Rises by one with each accepted manifest. `publish` sets it.
    #[serde(default)]
    pub revision: u64,
    /// Who may submit.
    pub customers: Vec<CustomerEntry>,
    /// What may be submitted.
    pub workloads: Vec<WorkloadEntry>,
    /// Room on each worker that only short and urgent work may take.
    #[serde(default)]
    pub short_reserve: ShortReserve,
    /// Most tasks of batch work and gangs on one worker. Absent: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub long_ceiling: Option<u32>,
    /// Names of workers that take no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<String>,
    /// Time in seconds that the record of an ended piece of work is kept, 60 to 604800.
    #[serde(default = "default_retention_s")]
    pub retention_s: u64,
    /// Placement policy.
    #[serde(default)]
    pub policy: PolicyName,
}

impl Manifest {
    /// Returns the text under which a manifest is published, the same for the same manifest.
    ///
    /// # Errors
    ///
    /// Returns the serialiser's message.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }
}

/// Name of a placement policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// Bands, fair queues, reserved room and best fit.
    #[default]
    Fair,
    /// First come, first served, with first fit; for comparisons.
    Baseline,
}

/// One customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// Unique name.
    pub name: String,
    /// Share of the capacity relative to the other customers, 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most that running tasks may take together in one data centre. Absent: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Resources>,
    /// Most pieces of work that wait in one band of one entry process, 1 to 100000.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
}

/// One workload.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadEntry {
    /// Unique name.
    pub name: String,
    /// Policy under which it is scheduled.
    pub class: WorkClass,
    /// Whether it goes ahead of every other band.
    #[serde(default)]
    pub urgent: bool,
    /// What one task takes.
    pub resources: Resources,
    /// Number of tasks of one submission, 1 to 1000. One for checks and orders. For a service, the
    /// number of replicas in each data centre.
    #[serde(default = "default_tasks")]
    pub tasks: u16,
    /// Declared run time of one task in milliseconds, 1 to 31536000000 (one year). Absent: not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub estimate_ms: Option<u64>,
    /// Whether a task whose first start is certainly over may be started again. Absent: true for
    /// checks and batch work, false for orders and gangs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// The customer that a service is accounted to. Required for services, only for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// Input of the replicas of a service; only for services. Absent: empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub payload: Option<String>,
}

impl WorkloadEntry {
    /// Returns whether a task whose first start is certainly over may be started again.
    pub fn is_repeatable(&self) -> bool {
        self.repeatable.unwrap_or(matches!(
            self.class,
            WorkClass::Check | WorkClass::Batch | WorkClass::Service
        ))
    }
}

/// Room on each worker that only short and urgent work may take.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShortReserve {
    /// How much is kept free.
    #[serde(default)]
    pub resources: Resources,
    /// Opening hours in which it is kept free. Empty: always.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub opening_hours: Vec<DayWindow>,
}

/// A time of day in UTC, the same every day.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DayWindow {
    /// First minute of the day, 0 to 1439.
    pub from_minute: u16,
    /// Minute of the day after the last one, 1 to 1440. Less than `from_minute`: over midnight.
    pub to_minute: u16,
}

impl ShortReserve {
    /// Returns whether the room is kept free at a minute of the day in UTC.
    pub fn is_open(&self, minute: u16) -> bool {
        let within = |window: &DayWindow| match window.from_minute <= window.to_minute {
            true => (window.from_minute..window.to_minute).contains(&minute),
            false => minute >= window.from_minute || minute < window.to_minute,
        };
        self.opening_hours.is_empty() || self.opening_hours.iter().any(within)
    }
}

fn default_retention_s() -> u64 {
    86_400
}

fn default_weight() -> u32 {
    1
}

fn default_queue_limit() -> u32 {
    1000
}

fn default_tasks() -> u16 {
    1
}
