//! The arrival patterns of the scenarios.

use std::fmt;
use std::str::FromStr;

use hs_wire::WorkClass;
use serde::{Deserialize, Serialize};

use crate::{LoadError, LoadOptions};

/// A pattern of arrivals that [`crate::run_load`] can send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// A few submissions of each class.
    Smoke,
    /// Checks at a constant rate.
    Steady,
    /// Checks at a constant rate, with a tenfold burst of one customer for 5 s.
    Burst,
    /// Short checks that compete with long batch tasks.
    Long,
    /// All classes, with stragglers.
    Mixed,
}

/// Poisson arrivals of one customer and workload at a constant mean rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadStream {
    pub(crate) customer: &'static str,
    pub(crate) workload: &'static str,
    pub(crate) class: WorkClass,
    /// Number of tasks of one submission.
    pub(crate) tasks: usize,
    pub(crate) arrivals_per_second: f64,
    /// Beginning and end, in seconds from the beginning of the run.
    pub(crate) span_seconds: (f64, f64),
    /// Run time of each task in milliseconds.
    pub(crate) run_ms: f64,
    /// Fraction of the submissions that run [`STRAGGLER_FACTOR`] times as long.
    pub(crate) straggler_share: f64,
}

/// A time interval of a scenario that the report shows separately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadPhase {
    pub(crate) name: &'static str,
    /// Beginning, in seconds from the beginning of the run. The phase lasts until the next one.
    pub(crate) from_second: f64,
}

/// Run time of a straggler, as a multiple of the run time of its workload.
pub(crate) const STRAGGLER_FACTOR: f64 = 10.0;

const CUSTOMERS: [&str; 4] = ["north", "south", "east", "surge"];
const ORDER_RUN_MS: f64 = 20.0;
const BATCH_RUN_MS: f64 = 2000.0;
const GANG_RUN_MS: f64 = 1000.0;
/// Rate of a customer during its burst, as a multiple of its rate before.
const BURST_FACTOR: f64 = 10.0;

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 5] = [
        Self::Smoke,
        Self::Steady,
        Self::Burst,
        Self::Long,
        Self::Mixed,
    ];

    /// Returns the name that the command line and reports use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Smoke => "smoke",
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::Long => "long",
            Self::Mixed => "mixed",
        }
    }

    /// Returns the length in seconds at scale 1.
    fn length_seconds(self) -> f64 {
        match self {
            Self::Smoke => 2.0,
            Self::Burst => 15.0,
            Self::Steady | Self::Long | Self::Mixed => 30.0,
        }
    }

    pub(crate) fn phases(self, scale: f64) -> Vec<LoadPhase> {
        let phases: &[(&str, f64)] = match self {
            Self::Burst => &[("before", 0.0), ("burst", 5.0), ("after", 10.0)],
            Self::Smoke | Self::Steady | Self::Long | Self::Mixed => &[("all", 0.0)],
        };
        let scaled = phases.iter().map(|&(name, from_second)| LoadPhase {
            name,
            from_second: from_second * scale,
        });
        scaled.collect()
    }

    pub(crate) fn streams(self, options: &LoadOptions) -> Vec<LoadStream> {
        let rate = options.rate;
        let mut streams = Vec::new();
        match self {
            Self::Smoke => {
                streams.extend(self.customer_streams(options, WorkClass::Check, 50.0, 0.0));
                streams.extend(self.customer_streams(options, WorkClass::Order, 8.0, 0.0));
                streams.extend(self.customer_streams(options, WorkClass::Batch, 4.0, 0.0));
                streams.extend(self.customer_streams(options, WorkClass::Gang, 2.0, 0.0));
            }
            Self::Steady => {
                streams.extend(self.customer_streams(options, WorkClass::Check, rate, 0.0))
            }
            Self::Burst => {
                streams.extend(self.customer_streams(options, WorkClass::Check, rate, 0.0));
                let customer = CUSTOMERS[3];
                let extra = rate / CUSTOMERS.len() as f64 * (BURST_FACTOR - 1.0);
                let mut burst = self.stream(options, WorkClass::Check, customer, extra, 0.0);
                burst.span_seconds = (5.0 * options.scale, 10.0 * options.scale);
                streams.push(burst);
            }
            Self::Long => {
                let long_rate = options.long_rate;
                streams.extend(self.customer_streams(options, WorkClass::Check, rate, 0.0));
                streams.extend(self.customer_streams(options, WorkClass::Batch, long_rate, 0.0));
            }
            Self::Mixed => {
                for (class, share) in [
                    (WorkClass::Check, 0.80),
                    (WorkClass::Order, 0.15),
                    (WorkClass::Batch, 0.04),
                    (WorkClass::Gang, 0.01),
                ] {
                    streams.extend(self.customer_streams(options, class, rate * share, 0.01));
                }
            }
        }
        streams
    }

    pub(crate) fn expected_arrivals(self, options: &LoadOptions) -> f64 {
        let streams = self.streams(options).into_iter();
        streams
            .map(|stream| {
                stream.arrivals_per_second * (stream.span_seconds.1 - stream.span_seconds.0)
            })
            .sum()
    }

    /// Returns one stream for each customer, each with an equal part of the rate.
    fn customer_streams(
        self,
        options: &LoadOptions,
        class: WorkClass,
        arrivals_per_second: f64,
        straggler_share: f64,
    ) -> Vec<LoadStream> {
        let share = arrivals_per_second / CUSTOMERS.len() as f64;
        let streams = CUSTOMERS.into_iter();
        streams
            .map(|customer| self.stream(options, class, customer, share, straggler_share))
            .collect()
    }

    fn stream(
        self,
        options: &LoadOptions,
        class: WorkClass,
        customer: &'static str,
        arrivals_per_second: f64,
        straggler_share: f64,
    ) -> LoadStream {
        let scale = options.scale;
        let (workload, tasks, run_ms) = match class {
            WorkClass::Check | WorkClass::Service => ("check", 1, options.check_run_ms as f64),
            WorkClass::Order => ("order", 1, ORDER_RUN_MS),
            WorkClass::Batch => ("reconcile", 1, BATCH_RUN_MS * scale),
            WorkClass::Gang => ("train", 4, GANG_RUN_MS * scale),
        };
        LoadStream {
            customer,
            workload,
            class,
            tasks,
            arrivals_per_second,
            span_seconds: (0.0, self.length_seconds() * scale),
            run_ms,
            straggler_share,
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for Scenario {
    type Err = LoadError;

    fn from_str(name: &str) -> Result<Self, LoadError> {
        let mut all = Self::ALL.into_iter();
        all.find(|scenario| scenario.name() == name)
            .ok_or_else(|| LoadError::UnknownScenario {
                name: name.to_owned(),
                known: Self::ALL.map(Self::name).join(", "),
            })
    }
}
