//! Errors of a run.

use thiserror::Error;

/// Why a run did not take place.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No entry process is given.
    #[error("no caller address of an entry process is given")]
    NoTargets,
    /// An option is not a positive number.
    #[error("option {name} is {value}, but has to be a positive number")]
    OutOfRange {
        /// Name of the option.
        name: &'static str,
        /// Its value.
        value: f64,
    },
    /// Rate and length give more arrivals than a run may have.
    #[error("the run would have {expected:.0} arrivals, more than {limit:.0}")]
    TooManyArrivals {
        /// Expected arrivals.
        expected: f64,
        /// Most arrivals of one run.
        limit: f64,
    },
    /// The name is not that of a scenario.
    #[error("scenario {name:?} does not exist; the scenarios are {known}")]
    UnknownScenario {
        /// The name.
        name: String,
        /// All names, separated by commas.
        known: String,
    },
    /// A time histogram could not be built.
    #[error("a time histogram could not be built: {cause}")]
    Histogram {
        /// What went wrong.
        cause: String,
    },
    /// The thread that sends at the intended times ended early.
    #[error("the sender ended early: {cause}")]
    Sender {
        /// What went wrong.
        cause: String,
    },
    /// A call of a comparison did not end as expected.
    #[error("comparison: {cause}")]
    Compare {
        /// What went wrong.
        cause: String,
    },
}
