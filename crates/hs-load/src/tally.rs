//! Counts and histograms of a run.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call::CallResult;
use crate::{LoadError, LoadRow, TimeSummary};

/// Longest time that a histogram distinguishes: one hour, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;

/// Significant digits of a histogram; three keep the error of a quantile under 0.1 %.
const DIGITS: u8 = 3;

/// Most wrong answers that are described in the report.
const MAX_EXAMPLES: usize = 10;

/// Class, customer and phase; the last two are absent for the row of a whole class.
type RowKey = (&'static str, Option<(&'static str, &'static str)>);

#[derive(Default)]
pub(crate) struct LoadTally {
    rows: BTreeMap<RowKey, RowTally>,
    pub(crate) latest_send: Duration,
    pub(crate) wrong_answers: u64,
    pub(crate) unanswered: u64,
    pub(crate) examples: Vec<String>,
}

struct RowTally {
    count: u64,
    resent: u64,
    outcomes: BTreeMap<String, u64>,
    wait: Histogram<u64>,
    total: Histogram<u64>,
    added: Histogram<u64>,
}

impl LoadTally {
    /// Counts one submission.
    pub(crate) fn add(
        &mut self,
        class: &'static str,
        customer: &'static str,
        phase: &'static str,
        result: CallResult,
    ) -> Result<(), LoadError> {
        self.latest_send = self.latest_send.max(result.late);
        self.unanswered += u64::from(result.end.is_unanswered());
        for key in [(class, None), (class, Some((customer, phase)))] {
            match self.rows.entry(key) {
                Entry::Occupied(mut row) => row.get_mut().add(&result),
                Entry::Vacant(slot) => slot.insert(RowTally::new()?).add(&result),
            }
        }
        if let Some(example) = result.wrong_answer {
            self.wrong_answers += 1;
            if self.examples.len() < MAX_EXAMPLES {
                self.examples.push(example);
            }
        }
        Ok(())
    }

    /// Returns the rows of whole classes first.
    pub(crate) fn rows(&self) -> Vec<LoadRow> {
        let (classes, parts): (Vec<_>, Vec<_>) =
            self.rows.iter().partition(|(key, _)| key.1.is_none());
        let all = classes.into_iter().chain(parts);
        all.map(|(key, row)| row.row(*key)).collect()
    }
}

impl RowTally {
    fn new() -> Result<Self, LoadError> {
        Ok(Self {
            count: 0,
            resent: 0,
            outcomes: BTreeMap::new(),
            wait: new_histogram()?,
            total: new_histogram()?,
            added: new_histogram()?,
        })
    }

    fn add(&mut self, result: &CallResult) {
        self.count += 1;
        self.resent += u64::from(result.resent);
        *self.outcomes.entry(result.label()).or_default() += 1;
        self.total.saturating_record(micros(result.total));
        if let Some(wait) = result.wait {
            self.wait.saturating_record(micros(wait));
            let added = result.total.saturating_sub(result.run_time);
            self.added.saturating_record(micros(added));
        }
    }

    fn row(&self, (class, part): RowKey) -> LoadRow {
        LoadRow {
            class: class.to_owned(),
            customer: part.map(|(customer, _)| customer.to_owned()),
            phase: part.map(|(_, phase)| phase.to_owned()),
            count: self.count,
            outcomes: self.outcomes.clone(),
            resent: self.resent,
            wait: summary(&self.wait),
            total: summary(&self.total),
            added: summary(&self.added),
        }
    }
}

/// Builds an empty histogram of microseconds.
pub(crate) fn new_histogram() -> Result<Histogram<u64>, LoadError> {
    let built = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS);
    built.map_err(|error| LoadError::Histogram {
        cause: error.to_string(),
    })
}

pub(crate) fn summary(histogram: &Histogram<u64>) -> TimeSummary {
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
