//! Counts and time histograms of a run.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call::CallResult;
use crate::{LoadError, LoadRow, TimeSummary};

/// Longest time that a histogram records, one hour in microseconds. Longer times are recorded as
/// this one.
const MAX_RECORDED_MICROS: u64 = 3_600_000_000;

/// Significant decimal digits of a histogram. Three keep the relative error of a quantile under
/// 0.1 %.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum number of wrong answers that the report describes.
const MAX_WRONG_ANSWER_EXAMPLES: usize = 10;

/// Class, and customer with phase; the latter are absent for the row of a whole class.
type RowKey = (&'static str, Option<(&'static str, &'static str)>);

/// Counts and histograms of all submissions so far.
#[derive(Default)]
pub(crate) struct LoadTally {
    rows: BTreeMap<RowKey, RowTally>,
    pub(crate) max_send_delay: Duration,
    pub(crate) wrong_answers: u64,
    pub(crate) unanswered: u64,
    pub(crate) examples: Vec<String>,
}

/// Counts and histograms behind one [`LoadRow`].
struct RowTally {
    count: u64,
    retries: u64,
    outcomes: BTreeMap<String, u64>,
    wait: Histogram<u64>,
    total: Histogram<u64>,
    added: Histogram<u64>,
}

impl LoadTally {
    /// Counts a submission, in the row of its class and in that of its class, customer and phase.
    pub(crate) fn add(
        &mut self,
        class: &'static str,
        customer: &'static str,
        phase: &'static str,
        result: CallResult,
    ) -> Result<(), LoadError> {
        self.max_send_delay = self.max_send_delay.max(result.send_delay);
        self.unanswered += u64::from(result.outcome.is_unanswered());
        for key in [(class, None), (class, Some((customer, phase)))] {
            match self.rows.entry(key) {
                Entry::Occupied(mut row) => row.get_mut().add(&result),
                Entry::Vacant(slot) => slot.insert(RowTally::new()?).add(&result),
            }
        }
        if let Some(example) = result.wrong_answer {
            self.wrong_answers += 1;
            if self.examples.len() < MAX_WRONG_ANSWER_EXAMPLES {
                self.examples.push(example);
            }
        }
        Ok(())
    }

    /// Returns all rows, those of whole classes first.
    pub(crate) fn rows(&self) -> Vec<LoadRow> {
        let (classes, parts): (Vec<_>, Vec<_>) =
            self.rows.iter().partition(|(key, _)| key.1.is_none());
        let all = classes.into_iter().chain(parts);
        all.map(|(key, row)| row.to_row(*key)).collect()
    }
}

impl RowTally {
    fn new() -> Result<Self, LoadError> {
        Ok(Self {
            count: 0,
            retries: 0,
            outcomes: BTreeMap::new(),
            wait: new_histogram()?,
            total: new_histogram()?,
            added: new_histogram()?,
        })
    }

    fn add(&mut self, result: &CallResult) {
        self.count += 1;
        self.retries += u64::from(result.retries);
        *self.outcomes.entry(result.label()).or_default() += 1;
        self.total.saturating_record(micros(result.total));
        if let Some(wait) = result.wait {
            self.wait.saturating_record(micros(wait));
            let added = result.total.saturating_sub(result.run_time);
            self.added.saturating_record(micros(added));
        }
    }

    fn to_row(&self, (class, breakdown): RowKey) -> LoadRow {
        LoadRow {
            class: class.to_owned(),
            customer: breakdown.map(|(customer, _)| customer.to_owned()),
            phase: breakdown.map(|(_, phase)| phase.to_owned()),
            count: self.count,
            outcomes: self.outcomes.clone(),
            resent: self.retries,
            wait: summarize(&self.wait),
            total: summarize(&self.total),
            added: summarize(&self.added),
        }
    }
}

/// Returns an empty histogram of times in microseconds.
pub(crate) fn new_histogram() -> Result<Histogram<u64>, LoadError> {
    let built = Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    built.map_err(|error| LoadError::Histogram {
        cause: error.to_string(),
    })
}

pub(crate) fn summarize(histogram: &Histogram<u64>) -> TimeSummary {
    if histogram.is_empty() {
        return TimeSummary::default();
    }
    TimeSummary {
        count: histogram.len(),
        mean_us: histogram.mean().round() as u64,
        p50_us: histogram.value_at_quantile(0.5),
        p90_us: histogram.value_at_quantile(0.9),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
    }
}

pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
