//! Errors of the load tool.

use thiserror::Error;

/// Why a run or a comparison failed.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The options name no entry process.
    #[error("no caller address of an entry process is given")]
    NoTargets,
    /// An option is not a finite positive number.
    #[error("option {name} is {value}, but has to be a positive number")]
    OutOfRange {
        /// Name of the option.
        name: &'static str,
        /// Rejected value.
        value: f64,
    },
    /// Rate and length of the scenario give more arrivals than a run may have.
    #[error("the run would have {expected:.0} arrivals, more than {limit:.0}")]
    TooManyArrivals {
        /// Expected number of arrivals.
        expected: f64,
        /// Maximum number of arrivals of one run.
        limit: f64,
    },
    /// No scenario has the given name.
    #[error("scenario {name:?} does not exist; the scenarios are {known}")]
    UnknownScenario {
        /// Given name.
        name: String,
        /// Names of all scenarios, separated by commas.
        known: String,
    },
    /// A time histogram could not be built.
    #[error("a time histogram could not be built: {cause}")]
    Histogram {
        /// Error of the histogram library.
        cause: String,
    },
    /// The thread that starts each call at its intended send time ended early.
    #[error("the sender ended early: {cause}")]
    Sender {
        /// Why the thread ended.
        cause: String,
    },
    /// A call of a comparison failed or got an unexpected reply.
    #[error("comparison: {cause}")]
    Compare {
        /// Error of the call, or the unexpected reply.
        cause: String,
    },
}
