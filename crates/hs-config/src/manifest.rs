//! The manifest: customers, workloads, their limits and the placement policy.

use hs_wire::{Resources, WorkClass};
use serde::{Deserialize, Serialize};

/// The configuration that affects behaviour, which is the same on all entry processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Revision, which increases by one with each accepted manifest. `publish` sets it.
    #[serde(default)]
    pub revision: u64,
    /// Customers that may submit work.
    pub customers: Vec<CustomerEntry>,
    /// Workloads that may be submitted, and services.
    pub workloads: Vec<WorkloadEntry>,
    /// Resources on each worker that are reserved for short and urgent work.
    #[serde(default)]
    pub short_reserve: ShortReserve,
    /// Maximum number of tasks of batch work and gangs per worker. No limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub long_ceiling: Option<u32>,
    /// Names of workers that are being drained and get no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<String>,
    /// Time in seconds for which the record of finished work is retained, 60 to 604800.
    #[serde(default = "default_retention_s")]
    pub retention_s: u64,
    /// Name of the placement policy.
    #[serde(default)]
    pub policy: PolicyName,
}

impl Manifest {
    /// Returns the JSON text that is published. Equal manifests have the same text.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest can't be serialised.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }
}

/// Name of a placement policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// Priority bands, fair queueing, reserved resources and best-fit placement.
    #[default]
    Fair,
    /// First come, first served, with first-fit placement. Serves as a baseline for comparisons.
    Baseline,
}

/// A customer and its limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// Unique name.
    pub name: String,
    /// Weight of the customer's share of the capacity relative to other customers, 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum of resources that all running tasks may take in one data centre. No limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Resources>,
    /// Maximum number of pieces of work that are queued in one band of one entry process, 1 to
    /// 100000.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
}

/// A workload, which submissions refer to by its name, or a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadEntry {
    /// Unique name.
    pub name: String,
    /// Class, which determines how the work is scheduled.
    pub class: WorkClass,
    /// Whether the work is scheduled before the work of all other bands.
    #[serde(default)]
    pub urgent: bool,
    /// Resources that each task takes.
    pub resources: Resources,
    /// Number of tasks per submission, 1 to 1000; always 1 for checks and orders. For a service,
    /// the number of replicas in each data centre.
    #[serde(default = "default_tasks")]
    pub tasks: u16,
    /// Expected run time of a task in milliseconds, 1 to 31536000000 (one year). Unknown if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub estimate_ms: Option<u64>,
    /// Whether a task may be started again once its previous run has certainly ended. Defaults to
    /// true for checks, batch work and services and to false for orders and gangs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Customer to whom a service is accounted. Required for services, and not allowed for other
    /// classes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// Input of the replicas of a service, empty if absent. Not allowed for other classes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub payload: Option<String>,
}

impl WorkloadEntry {
    /// Returns whether a task may be started again once its previous run has certainly ended.
    pub fn is_repeatable(&self) -> bool {
        self.repeatable.unwrap_or(matches!(
            self.class,
            WorkClass::Check | WorkClass::Batch | WorkClass::Service
        ))
    }
}

/// Resources on each worker that are reserved for short and urgent work.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShortReserve {
    /// Reserved resources per worker.
    #[serde(default)]
    pub resources: Resources,
    /// Times of day at which the resources are reserved. Empty means always.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub opening_hours: Vec<DayWindow>,
}

/// A daily time window in UTC.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DayWindow {
    /// First minute of the window, counted from midnight, 0 to 1439.
    pub from_minute: u16,
    /// End of the window (exclusive) in minutes from midnight, 1 to 1440. If it is less than
    /// `from_minute`, the window extends over midnight.
    pub to_minute: u16,
}

impl ShortReserve {
    /// Returns whether the resources are reserved at a minute of the day in UTC.
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
