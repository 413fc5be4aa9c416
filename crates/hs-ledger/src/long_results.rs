//! Cache of results that are too long for the store value.

use std::collections::VecDeque;

use crate::RecordKey;

/// Maximum size of all held results. The oldest result is dropped first; its record keeps the
/// beginning.
const MAX_HELD_BYTES: usize = 16 << 20;

/// Complete results of tasks whose records contain only the beginning.
#[derive(Debug, Default)]
pub(crate) struct LongResults {
    /// Results in the order in which they arrived, each with its record and task index.
    results: VecDeque<(RecordKey, usize, String)>,
    /// Size of all results.
    bytes: usize,
}

impl LongResults {
    /// Holds the complete result of a task. A result that is larger than the limit is not held.
    pub fn insert(&mut self, record: RecordKey, task: usize, result: &str) {
        if result.len() > MAX_HELD_BYTES {
            return;
        }
        self.bytes += result.len();
        self.results.push_back((record, task, result.to_owned()));
        while self.bytes > MAX_HELD_BYTES
            && let Some((_, _, dropped)) = self.results.pop_front()
        {
            self.bytes -= dropped.len();
        }
    }

    /// Returns the complete result of a task if it is held.
    pub fn get(&self, record: RecordKey, task: usize) -> Option<&str> {
        let mut results = self.results.iter();
        let found = results.find(|(key, index, _)| (*key, *index) == (record, task));
        found.map(|(_, _, result)| result.as_str())
    }

    /// Drops the results of all tasks of a record.
    pub fn remove(&mut self, record: RecordKey) {
        self.results.retain(|(key, _, _)| *key != record);
        self.bytes = self.results.iter().map(|(_, _, result)| result.len()).sum();
    }
}
